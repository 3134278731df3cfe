"""Requests and the targets that leave or rest, without a network."""

import asyncio
import logging
import random
import time
import types

import msgspec
import prometheus_client
import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import AnnouncementSource
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._announcements import AnnouncementRecorder
from apricotseam.forwarding._errors import OutdatedChoiceError
from apricotseam.forwarding._quarantine_gate import QuarantineGate
from apricotseam.forwarding._reach import TargetReach
from apricotseam.forwarding._replacement import ReplacementReserver
from apricotseam.forwarding._sender import Sender
from apricotseam.forwarding._unserved import refuse_unserved
from apricotseam.forwarding._unserved import SPREAD_FRACTION
from apricotseam.forwarding._unserved import SPREAD_SECONDS
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import RequestQueue
from apricotseam.forwarding import TargetSelector
from apricotseam.forwarding.tests.test_choice import PROFILE
from apricotseam.http1 import ResponseHead
from apricotseam.positions import Position
from apricotseam.quarantine import Quarantine
from apricotseam.routes import NO_FEATURES

OWN = AnnouncementSource.OWN_ANSWER
LAYERS = PROFILE.layers
HALVES = [LayerRange(0, LAYERS // 2), LayerRange(LAYERS // 2, LAYERS)]
ENGINE = types.SimpleNamespace(name="model", engine=PROFILE)
PLAIN = types.SimpleNamespace(name="plain", engine=None)


def make_fleet():
    """Return a fleet of two plain targets and two holders of each half."""
    fleet = Fleet()
    record = TargetRecord(
        identity="", service="", address="", zone="a", slots=8, born_ms=1
    )
    for number in range(6):
        is_engine = number < 4
        fleet.update(
            msgspec.structs.replace(
                record,
                identity=f"e{number}" if is_engine else f"p{number - 4}",
                service="model" if is_engine else "plain",
                address=f"10.0.0.{number}:80",
                kind="fast" if is_engine else "",
                layers=HALVES[number % 2] if is_engine else None,
                position=Position(number + 1),
            )
        )
    return fleet


def make_call(service):
    """Return a request to a service."""
    metadata = types.SimpleNamespace(
        prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
    )
    return types.SimpleNamespace(
        metadata=metadata,
        service=service,
        failed_targets=set(),
        connections=set(),
        load=NO_FEATURES,
        route=types.SimpleNamespace(is_repeatable=True),
        deadline=1e9,
        may_run_again=True,
        reserved_choice=None,
        traits=(),
        customer="c",
        trial_traits=frozenset(),
    )


def make_gate():
    """Return a gate that holds nothing back."""
    return QuarantineGate(Quarantine(lambda: 0.0))


def leave(fleet, *identities):
    """Record that targets leave."""
    for identity in identities:
        fleet.record_leaving(fleet.get(identity).incarnation, OWN, 0.0)


def rest(fleet, now, **seconds):
    """Record how long targets rest from a time on."""
    for identity, value in seconds.items():
        fleet.record_rest(fleet.get(identity).incarnation, value, now)


def choose(selector, service, now):
    """Return the identities of the targets chosen for a new request."""
    call = make_call(service)
    if service.engine is None:
        choice = selector.choose_target(call, now)
    else:
        choice = selector.choose_chain(call, now)
    return [t.identity for t, _ in choice.stages] if choice else None


def check_choice(found, expected):
    """Check chosen targets against the allowed ones of each stage."""
    assert (found is None) is (expected is None)
    for identity, allowed in zip(found or (), expected or ()):
        assert allowed == "*" or identity in allowed


# Description, service, targets that leave, rests by target in seconds, the
# targets chosen.
CHOICES = [
    ("head leaves", ENGINE, ["e0"], {}, ["e2", ("e1", "e3")]),
    ("worker leaves", ENGINE, ["e1"], {}, [("e0", "e2"), "e3"]),
    ("head and worker leave", ENGINE, ["e0", "e1"], {}, ["e2", "e3"]),
    ("both heads leave", ENGINE, ["e0", "e2"], {}, None),
    ("head rests", ENGINE, [], {"e0": 1.0}, ["e2", ("e1", "e3")]),
    ("worker rests", ENGINE, [], {"e1": 1.0}, [("e0", "e2"), "e3"]),
    ("both workers rest", ENGINE, [], {"e1": 1.0, "e3": 2.0}, None),
    ("one leaves, one rests", ENGINE, ["e0"], {"e2": 1.0}, None),
    ("rest is over", ENGINE, ["e0"], {"e2": 0.4, "e1": 0.4}, ["e2", "*"]),
    ("plain, leaves", PLAIN, ["p0"], {}, ["p1"]),
    ("plain, rests", PLAIN, [], {"p1": 1.0}, ["p0"]),
    ("plain, all rest", PLAIN, [], {"p0": 1.0, "p1": 2.0}, None),
    ("plain, all leave", PLAIN, ["p0", "p1"], {}, None),
]


# Description, service, targets that wait for permits, the targets chosen.
LIMITED = [
    ("head waits", ENGINE, ["e0"], ["e2", ("e1", "e3")]),
    ("worker waits", ENGINE, ["e1"], [("e0", "e2"), ("e1", "e3")]),
    ("both heads wait", ENGINE, ["e0", "e2"], None),
    ("both workers wait", ENGINE, ["e1", "e3"], [("e0", "e2"), "*"]),
    ("plain", PLAIN, ["p0"], ["p1"]),
    ("all plain", PLAIN, ["p0", "p1"], None),
]


@pytest.mark.parametrize(
    ("service", "waiting", "expected"),
    [case[1:] for case in LIMITED],
    ids=[case[0] for case in LIMITED],
)
def test_no_request_begins_at_a_target_that_waits_for_a_permit(
    service, waiting, expected
):
    """Limits are about what hosts send: workers of chains are not asked."""
    fleet = make_fleet()
    wait_for_permit(fleet, 1.0, **dict.fromkeys(waiting, 1.0))
    selector = TargetSelector(fleet, Ledger(), "a")
    check_choice(choose(selector, service, 1.5), expected)
    assert choose(selector, service, 2.0) is not None
    assert (selector.opens_at(service, 1.5) is None) is (expected is not None)


@pytest.mark.parametrize(
    ("service", "leaving", "rests", "expected"),
    [case[1:] for case in CHOICES],
    ids=[case[0] for case in CHOICES],
)
def test_choice(service, leaving, rests, expected):
    fleet = make_fleet()
    selector = TargetSelector(fleet, Ledger(), "a")
    leave(fleet, *leaving)
    rest(fleet, 0.0, **rests)
    check_choice(choose(selector, service, 0.5), expected)


def test_only_resting_target_is_not_chosen_although_others_failed():
    """Guards against a fallback to targets that are to be avoided."""
    fleet = make_fleet()
    selector = TargetSelector(fleet, Ledger(), "a")
    rest(fleet, 0.0, p0=1.0)
    call = make_call(PLAIN)
    call.failed_targets.add(fleet.get("p1").incarnation)
    fleet.get("p1").health.mark_unreachable(0.0)
    assert selector.choose_target(call, 0.5) is None


def test_stream_is_not_moved_onto_a_resting_or_leaving_target():
    fleet = make_fleet()
    selector = TargetSelector(fleet, Ledger(), "a")
    call = make_call(ENGINE)
    choice = selector.choose_chain(call, 0.0)
    worker = choice.stages[1][0]
    spare = "e1" if worker.identity == "e3" else "e3"
    assert selector.choose_tail(call, choice, 0.0, [worker]) is not None
    rest(fleet, 0.0, **{spare: 1.0})
    assert selector.choose_tail(call, choice, 0.5, [worker]) is None
    assert selector.choose_tail(call, choice, 1.0, [worker]) is not None
    leave(fleet, spare)
    assert selector.choose_tail(call, choice, 1.0, [worker]) is None


# Description, service, targets that leave, rests in seconds from 0.0, the
# time at which the service can be served again, as known at 0.5.
ENDS = [
    ("nobody rests", PLAIN, [], {}, None),
    ("one of two rests", PLAIN, [], {"p0": 3.0}, None),
    ("the first end counts", PLAIN, [], {"p0": 3.0, "p1": 2.0}, 2.0),
    ("the other leaves", PLAIN, ["p1"], {"p0": 3.0}, 3.0),
    ("rests are over", PLAIN, [], {"p0": 0.4, "p1": 0.5}, None),
    ("all leave", PLAIN, ["p0", "p1"], {"p0": 3.0}, None),
    ("another chain is whole", ENGINE, [], {"e0": 3.0, "e1": 2.0}, None),
    (
        "each half is needed",
        ENGINE,
        [],
        {"e0": 3.0, "e1": 2.0, "e2": 4.0, "e3": 5.0},
        3.0,
    ),
    ("a half is gone", ENGINE, ["e0", "e2"], {"e1": 2.0}, None),
]


@pytest.mark.parametrize(
    ("service", "leaving", "rests", "expected"),
    [case[1:] for case in ENDS],
    ids=[case[0] for case in ENDS],
)
def test_first_end_of_a_rest_that_matters(service, leaving, rests, expected):
    fleet = make_fleet()
    selector = TargetSelector(fleet, Ledger(), "a")
    leave(fleet, *leaving)
    rest(fleet, 0.0, **rests)
    assert selector.opens_at(service, 0.5) == expected


class FakeExchange:
    """Keeps the answer that is sent."""

    def __init__(self):
        self.status = None
        self.headers = {}

    def answer(self, status, body=b"", headers=(), reason=b""):
        """Keep the answer."""
        self.status = status
        self.headers = dict(headers)


def wait_for_permit(fleet, now, **seconds):
    """Record how long limits admit no request to targets from a time on."""
    for identity, value in seconds.items():
        target = fleet.get(identity)
        fleet.record_limit(target.incarnation, 1.0, OWN, now)
        target.announcements.permit_due_at = now + value


def refuse_many(rests, count, keep_away=rest):
    """Return the delays told to callers of the plain service."""

    async def scenario():
        loop = asyncio.get_running_loop()
        fleet = make_fleet()
        keep_away(fleet, loop.time(), **rests)
        context = types.SimpleNamespace(
            fleet=fleet,
            quarantine_gate=make_gate(),
            target_selector=TargetSelector(fleet, Ledger(), "a"),
            generator=random.Random(1),
            prober=types.SimpleNamespace(
                reach=types.SimpleNamespace(is_lost=lambda service: False)
            ),
            metrics=RequestMetrics(prometheus_client.CollectorRegistry()),
        )
        delays = []
        for _ in range(count):
            call = make_call(PLAIN)
            call.exchange = FakeExchange()
            call.request_id = "r"
            call.table = types.SimpleNamespace(position=Position(1))
            assert refuse_unserved(context, call, "busy", 0.25) == 503
            delays.append(float(call.exchange.headers[b"Retry-After"]))
        return delays

    return asyncio.run(scenario())


# Description, rests in seconds, shortest and longest delay that is told.
DELAYS = [
    ("no rest", {}, 0.25, 0.25),
    ("another target can serve", {"p0": 9.0}, 0.25, 0.25),
    ("all rest", {"p0": 9.0, "p1": 2.0}, 2.0, 2.0),
    ("all rest for long", {"p0": 90.0, "p1": 60.0}, 60.0, 60.0),
]


@pytest.mark.parametrize("keep_away", [rest, wait_for_permit])
@pytest.mark.parametrize(
    ("rests", "shortest", "longest"),
    [case[1:] for case in DELAYS],
    ids=[case[0] for case in DELAYS],
)
def test_refused_callers_are_told_the_first_end_and_spread(
    rests, shortest, longest, keep_away
):
    delays = refuse_many(rests, 40, keep_away)
    if len(rests) < 2:
        assert set(delays) == {shortest}
        return
    spread = SPREAD_SECONDS + SPREAD_FRACTION * longest
    # The delays are told in hundredths of a second.
    assert shortest - 0.1 <= min(delays)
    assert max(delays) <= longest + spread + 0.01
    assert max(delays) - min(delays) >= 0.5 * spread
    assert len(set(delays)) > 20


class SlowPool:
    """Runs an action while a connection is being opened.

    It is also that connection.
    """

    def __init__(self, action):
        self.action = action
        self.is_closed = False

    async def acquire(
        self, key, address, deadline, max_idle=None, excluded=()
    ):
        """Return a connection after the action."""
        await asyncio.sleep(0)
        self.action()
        return self

    def close(self):
        """Record that the connection was closed."""
        self.is_closed = True


# Description, what happens while the connection is opened to the head, e0,
# of a chain with the worker e1; whether the request may be sent.
HALF_OPEN = [
    ("nothing", lambda fleet: None, True),
    ("head leaves", lambda fleet: leave(fleet, "e0"), False),
    ("worker leaves", lambda fleet: leave(fleet, "e1"), False),
    ("other target leaves", lambda fleet: leave(fleet, "e2"), True),
    (
        "head rests",
        lambda fleet: rest(fleet, time.monotonic(), e0=60.0),
        False,
    ),
    (
        "worker rests",
        lambda fleet: rest(fleet, time.monotonic(), e1=60.0),
        False,
    ),
    ("entry of the head ends", lambda fleet: fleet.remove("e0", 0.0), False),
]


@pytest.mark.parametrize(
    ("happen", "is_sent"),
    [case[1:] for case in HALF_OPEN],
    ids=[case[0] for case in HALF_OPEN],
)
def test_choice_is_checked_once_the_connection_is_open(happen, is_sent):
    async def scenario():
        fleet = make_fleet()
        choice = TargetSelector(fleet, Ledger(), "a").choose_chain(
            make_call(ENGINE), 0.0
        )
        targets = [fleet.get("e0"), fleet.get("e1")]
        choice = msgspec.structs.replace(
            choice, head=targets[0], stages=tuple((t, 2) for t in targets)
        )
        now = asyncio.get_running_loop().time()
        pool = SlowPool(lambda: happen(fleet))
        sender = Sender(
            types.SimpleNamespace(pool=pool, quarantine_gate=make_gate())
        )
        call = make_call(ENGINE)
        call.deadline = now + 1
        try:
            await sender.open(call, choice)
        except OutdatedChoiceError:
            return False, pool.is_closed
        return True, pool.is_closed

    was_sent, is_closed = asyncio.run(scenario())
    assert was_sent is is_sent and is_closed is not is_sent


@pytest.mark.parametrize("service", [ENGINE, PLAIN], ids=["chain", "plain"])
def test_no_replacement_is_reserved_on_a_resting_target(service):
    async def scenario():
        fleet = make_fleet()
        now = asyncio.get_running_loop().time()
        rest(fleet, now, e0=60.0, p0=60.0)
        context = types.SimpleNamespace(
            fleet=fleet,
            quarantine_gate=make_gate(),
            target_selector=TargetSelector(fleet, Ledger(), "a"),
            retry_budget=types.SimpleNamespace(
                try_acquire=lambda service, now: True
            ),
        )
        call = make_call(service)
        other = fleet.get("e2" if service is ENGINE else "p1")
        left = [other.incarnation]
        return ReplacementReserver(context).reserve(call, left)

    assert asyncio.run(scenario()) is None


def make_recorder(fleet, queue, now):
    """Return a recorder and its metrics registry."""
    registry = prometheus_client.CollectorRegistry()
    metrics = RequestMetrics(registry)
    return AnnouncementRecorder(fleet, queue, metrics, now), registry


# Description, values of Retry-After of a 503, whether the target rests a
# second later, number of log lines in twenty seconds with an answer in each.
VALUES = [
    ("whole seconds", [b"2"], True, 0),
    ("fraction", [b"1.5"], True, 0),
    ("zero", [b"0"], False, 0),
    ("missing", [], False, 0),
    ("negative", [b"-5"], False, 2),
    ("not a number", [b"nan"], False, 2),
    ("infinite", [b"infinity"], False, 2),
    ("word", [b"later"], False, 2),
    ("bytes that are no text", [b"\xff\xfe"], False, 2),
    ("date", [b"Fri, 04 Dec 2026 08:00:00 GMT"], False, 2),
    ("very large", [b"9" * 400], True, 0),
    ("twice", [b"0.1", b"7"], True, 0),
    ("one of two valid", [b"7", b"x"], True, 2),
]


@pytest.mark.parametrize(
    ("values", "rests", "lines"),
    [case[1:] for case in VALUES],
    ids=[case[0] for case in VALUES],
)
def test_values_of_a_rest(values, rests, lines, caplog):
    caplog.set_level(logging.INFO)
    now = [100.0]
    fleet = make_fleet()
    head = ResponseHead(503, b"", [(b"Retry-After", v) for v in values])

    async def scenario():
        queue = RequestQueue(lambda: now[0])
        recorder, registry = make_recorder(fleet, queue, lambda: now[0])
        recorder.record(("p0", 1), head)
        is_resting = fleet.get("p0").is_resting(now[0] + 1)
        for _ in range(20):
            now[0] += 0.99
            recorder.record(("p0", 1), head)
        return is_resting, registry.get_sample_value(
            "apricotseam_target_rests_total"
        )

    is_resting, counted = asyncio.run(scenario())
    assert is_resting is rests
    assert counted == (21 if rests else 0)
    found = [r for r in caplog.records if r.msg == "target_rest_invalid"]
    assert len(found) == lines


# Description, values of Server-Limit in the second answer, the limit known
# afterwards, answers counted with a limit and with an invalid one.
LIMITS = [
    ("another limit", [b"4"], 4.0, 2, 0),
    ("no limit", [], None, 1, 0),
    ("invalid", [b"few"], 2.5, 1, 1),
    ("one of two valid", [b"few", b"3"], 3.0, 2, 1),
]


@pytest.mark.parametrize(
    ("values", "expected", "limited", "invalid"),
    [case[1:] for case in LIMITS],
    ids=[case[0] for case in LIMITS],
)
def test_limit_is_recorded(values, expected, limited, invalid, caplog):
    caplog.set_level(logging.INFO)
    now = [100.0]
    fleet = make_fleet()
    queue = RequestQueue(lambda: now[0])
    recorder, registry = make_recorder(fleet, queue, lambda: now[0])
    for stated in ([b"2.5"], values):
        headers = [(b"Server-Limit", value) for value in stated]
        recorder.record(("p0", 1), ResponseHead(200, b"", headers))
        now[0] += 1.0
    announcements = fleet.get("p0").announcements
    assert announcements.requests_per_second == expected
    assert (
        registry.get_sample_value("apricotseam_target_limits_total"),
        registry.get_sample_value("apricotseam_target_limits_invalid_total"),
    ) == (limited, invalid)
    lines = [r.msg for r in caplog.records]
    assert lines.count("target_limit") == 1 + (expected != 2.5)
    assert lines.count("target_limit_invalid") == invalid


def test_waiting_request_is_woken_when_the_rest_ends():
    async def scenario():
        loop = asyncio.get_running_loop()
        fleet = make_fleet()
        queue = RequestQueue(loop.time)
        recorder, _ = make_recorder(fleet, queue, loop.time)
        started_at = loop.time()
        for value in (b"0.02", b"0.1"):
            head = ResponseHead(503, b"", [(b"Retry-After", value)])
            recorder.record(("p0", 1), head)
        target = fleet.get("p0")
        while target.is_resting(loop.time()):
            assert await queue.wait((0,), started_at + 5.0)
        return loop.time() - started_at

    assert 0.1 <= asyncio.run(scenario()) < 2.0


# Description, headers of the answer, whether the target takes requests.
HEADS = [
    ("leaving", 200, [(b"Server-Leaving", b"1")], False),
    ("leaving, refused", 503, [(b"Server-Leaving", b"1")], False),
    ("nothing said", 200, [], True),
]


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [case[1:] for case in HEADS],
    ids=[case[0] for case in HEADS],
)
def test_own_word_is_recorded(status, headers, expected):
    fleet = make_fleet()
    recorder, _ = make_recorder(fleet, None, lambda: 1.0)
    recorder.record(("p0", 1), ResponseHead(status, b"", headers))
    assert fleet.get("p0").accepts_requests is expected
    assert fleet.get("p1").accepts_requests


def test_contact_is_checked_at_targets_that_do_not_rest():
    fleet = make_fleet()
    rest(fleet, 0.0, e0=9.0, e1=9.0, e2=9.0, e3=9.0)
    check = TargetReach(fleet, None, lambda: 1.0, random.Random(1))
    sample = check._choose_sample(())
    assert sorted(t.identity for t in sample) == ["p0", "p1"]
    rest(fleet, 0.0, p0=9.0, p1=9.0)
    assert len(check._choose_sample(())) == 3
