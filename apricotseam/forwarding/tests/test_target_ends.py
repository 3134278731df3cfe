"""Which broken answers count as the end of a target's process."""

import asyncio
import types

import prometheus_client
import pytest

from apricotseam.fleet import Target
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import _target_ends
from apricotseam.forwarding._target_ends import AttemptTimes
from apricotseam.forwarding._target_ends import TargetEndDetector
from apricotseam.forwarding import RequestMetrics
from apricotseam.quarantine import Quarantine
from apricotseam.quarantine import TargetEnd

CALL = types.SimpleNamespace(
    request_id="r1",
    retry_key="c/p1/1,1",
    customer="c",
    digest="d",
    traits=("part/a", "part/b"),
)


# Description, whether connections are refused at the break, whether the
# entry is removed, whether it was draining then, expected ends.
CASES = [
    ("nothing listens there", True, False, False, 1),
    ("the connection was reset", False, False, False, 0),
    ("the entry disappears", False, True, False, 1),
    ("both", True, True, False, 1),
    ("a target that drained leaves", False, True, True, 0),
]


@pytest.mark.parametrize(
    ("is_refused", "is_removed", "is_draining", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_ends_of_processes(is_refused, is_removed, is_draining, expected):
    registry = prometheus_client.CollectorRegistry()
    quarantine = Quarantine(lambda: 0.0)
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    target = Target(
        TargetRecord(
            identity="t",
            service="s",
            address="t:1",
            zone="a",
            is_draining=is_draining,
        )
    )

    async def scenario():
        target.health.record_contact_failure(0.0, True, is_refused)
        for _ in range(2):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        if is_removed:
            detector.record_removal(target)

    asyncio.run(scenario())
    ends = registry.get_sample_value("apricotseam_target_ends_total")
    assert ends == expected
    traits = [trait for trait, evidence in quarantine.items()]
    assert traits == (list(CALL.traits) if expected else [])


# Description, time since the first event in seconds, expected ends.
AGES = [("just begun", 0.1, 1), ("1.4 s of events", 1.4, 1), ("long", 9.0, 0)]


# Guards against targets that end some time after the first event of a stream.
@pytest.mark.parametrize(
    ("age", "expected"), [case[1:] for case in AGES], ids=[c[0] for c in AGES]
)
def test_stream_may_end_its_target_some_time_after_it_began(age, expected):
    assert len(ends_after(lambda detector, target: None, age)) == expected


def ends_after(step, age=0.1, record=None):
    """Return traits with ends after a stream broke off and a step."""
    quarantine = Quarantine(lambda: 0.0)
    registry = prometheus_client.CollectorRegistry()
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    target = make_target()

    async def scenario():
        now = asyncio.get_running_loop().time()
        times = AttemptTimes(now - age, now - age, has_head=True)
        if record is not None:
            record(detector, target, times)
        step(detector, target)
        if record is None:
            target.health.record_contact_failure(now, True, True)
            detector.record_broken(CALL, [target], times)

    asyncio.run(scenario())
    ended = [t for t, evidence in quarantine.items() if evidence.ends]
    return ended[:1]


def make_target():
    """Return a target of a plain service."""
    return Target(
        TargetRecord(identity="t", service="s", address="t:1", zone="a")
    )


def fail(detector, target, times):
    """Record an answer that states a failure."""
    detector.record_failure(CALL, target, times)


def replace_first(detector, target, times):
    """Break an answer off after the entry of the next process."""
    target.is_replaced = True
    detector.record_removal(target)
    detector.record_broken(CALL, [target], times)


def remove(detector, target):
    """Remove the entry of a target."""
    detector.record_removal(target)


def answer_and_remove(detector, target):
    """Let a target be heard long after a failure, then remove its entry."""
    now = asyncio.get_running_loop().time()
    target.health.record_contact(now + 2 * _target_ends.SOUND_SECONDS)
    detector.record_removal(target)


# Description, what is recorded of the request, what follows, expected ends.
ENDS = [
    ("502, then the entry disappears", fail, remove, 1),
    ("502, and the target lives on", fail, answer_and_remove, 0),
    ("another process was there before", replace_first, remove, 1),
]


# Guards against ends that are not counted, since the target answered with a
# failure as it ended, or since its successor was known first.
@pytest.mark.parametrize(
    ("record", "step", "expected"),
    [case[1:] for case in ENDS],
    ids=[case[0] for case in ENDS],
)
def test_ends_beside_failures_and_replacements(record, step, expected):
    assert len(ends_after(step, record=record)) == expected


# Guards against a failure that a target states before it ends, and for which
# the request does not count that ended it without an answer.
def test_failure_before_an_end_excuses_no_other_request():
    quarantine = Quarantine(lambda: 0.0)
    registry = prometheus_client.CollectorRegistry()
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    other = types.SimpleNamespace(**{**vars(CALL), "traits": ("part/c",)})

    async def scenario():
        now = asyncio.get_running_loop().time()
        target = make_target()
        times = AttemptTimes(now, has_head=True)
        detector.record_failure(other, target, times)
        target.health.record_contact_failure(now, True, True)
        detector.record_broken(CALL, [target], AttemptTimes(now))

    asyncio.run(scenario())
    evidence = dict(quarantine.items())["part/a"]
    assert quarantine.end_count("part/a", evidence) == 1


# Description, connections that were reset before the answer and after it,
# whether the answer shows that the request does no harm.
SUCCESSES = [
    ("nothing broke off", 0, 0, True),
    ("a connection was reset long before", 1, 0, True),
    ("one is reset just after it", 0, 1, False),
]


# Guards against a reset connection after which no answer of a target counts.
@pytest.mark.parametrize(
    ("before", "after", "is_sound"),
    [case[1:] for case in SUCCESSES],
    ids=[case[0] for case in SUCCESSES],
)
def test_complete_answers_of_targets_that_live_on(
    monkeypatch, before, after, is_sound
):
    monkeypatch.setattr(_target_ends, "SOUND_SECONDS", 0.02)
    quarantine = Quarantine(lambda: 0.0)
    registry = prometheus_client.CollectorRegistry()
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    record = TargetRecord(identity="t", service="s", address="t:1", zone="a")
    target = Target(record)

    async def scenario():
        for _ in range(before):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        await asyncio.sleep(0.01)
        detector.record_success(CALL, [target], None)
        for _ in range(after):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
    end = TargetEnd(
        process=("x", 1),
        request_key="r",
        customer="c",
        sent_at=-2.0,
        at=-1.0,
    )
    quarantine.record_end(["part/a"], end)
    evidence = dict(quarantine.items())["part/a"]
    assert bool(evidence.ends) is not is_sound
