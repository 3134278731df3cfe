"""What hosts keep of a target whose process restarts under its identity."""

import asyncio
import types
from unittest import mock

import msgspec
import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import Usage
from apricotseam.coordination import PermitIssuer
from apricotseam.coordination import PermitRequest
from apricotseam.fleet import AnnouncementSource
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._active_streams import ActiveStreams
from apricotseam.forwarding._head_control import HeadControl
from apricotseam.forwarding._streams import StreamRunner
from apricotseam.forwarding._target_ends import AttemptTimes
from apricotseam.forwarding._target_ends import TargetEndDetector
from apricotseam.forwarding import TargetProber
from apricotseam.forwarding import TargetSelector
from apricotseam.forwarding.tests.test_announcements import make_call
from apricotseam.forwarding.tests.test_announcements import PLAIN
from apricotseam.forwarding.tests.test_probes import FakePool
from apricotseam.http1 import ConnectionPool
from apricotseam.node._placer import _PendingOrder
from apricotseam.node._placer import Placer
from apricotseam.node._suspicions import Suspicions
from apricotseam.node._zone_reports import HostState
from apricotseam.node._zone_reports import SentStates
from apricotseam.node._zone_reports import ZoneReport
from apricotseam.node._zones import ZoneState
from apricotseam.node.tests.test_zone_reports import use_simulated_sleep
from apricotseam.node.tests.test_zone_reports import Zone
from apricotseam.platform import StalledRequest
from apricotseam.platform.standins import encode_report
from apricotseam.platform import TargetReport
from apricotseam.positions import Position

ADDRESS = "10.0.0.1:80"
LAYERS = LayerRange(0, 4)


def start(fleet, born_ms):
    """Let a process of the target start; return its `Target`."""
    fleet.update(
        TargetRecord(
            identity="t",
            service="plain",
            address=ADDRESS,
            zone="a",
            kind="k",
            layers=LAYERS,
            is_placeable=True,
            born_ms=born_ms,
            position=Position(born_ms),
        )
    )
    return fleet.get("t")


def restart(fleet):
    """Let another process take the place of the target."""
    return start(fleet, 2)


def keeps_health(fleet, old, now):
    old.health.mark_unreachable(now)
    old.health.record_slowness(4.0, now)
    old.record_load(100.0, 9, now)
    new = restart(fleet)
    is_slow = new.health.slowness(now) > 1.0
    is_loaded = new.reported_units(now) or new.has_queue(now)
    return new.health.is_suspect(now) or is_slow or is_loaded


def keeps_announcements(fleet, old, now):
    source = AnnouncementSource.PEER
    fleet.record_leaving(old.incarnation, source, now)
    fleet.record_rest(old.incarnation, 9.0, now)
    fleet.record_limit(old.incarnation, 1.0, source, now)
    old.announcements.permit_due_at = now + 9.0
    new = restart(fleet)
    # Peers may repeat it later.
    fleet.record_leaving(old.incarnation, source, now)
    fleet.record_limit(old.incarnation, 0.5, source, now + 0.1)
    return not new.may_send(now) or new.is_limited or new.opens_at() > now


def keeps_failure_of_call(fleet, old, now):
    call = make_call(PLAIN)
    call.record_outcome = lambda target, outcome: None
    runner = StreamRunner(mock.MagicMock())
    runner._record_failure(call, old, "500")
    new = restart(fleet)
    call.service = types.SimpleNamespace(name="plain", engine=None)
    choice = TargetSelector(fleet, Ledger(), "a").choose_target(call, now)
    return choice is None or choice.head is not new


def keeps_permits(fleet, old, now):
    answers = []
    for earlier_requests in (0, 2):
        issuer = PermitIssuer("h", now - 60.0)
        issuer.set_members(["h"], 1, now - 60.0)
        for _ in range(earlier_requests):
            issuer.answer(PermitRequest("t", 1, 5.0), now)
        answers.append(issuer.answer(PermitRequest("t", 2, 5.0), now))
    return answers[0] != answers[1]


def keeps_pending_order(fleet, old, now):
    placer = Placer(types.SimpleNamespace(fleet=fleet), None, lambda: now)
    pending = _PendingOrder(old.incarnation, LayerRange(4, 8), now + 9.0)
    pending.is_begun = True
    placer._pending["t"] = pending
    placer._keep_earlier_order(old, pending)
    new = restart(fleet)
    is_busy = "t" in placer._busy_targets()
    record = asyncio.run(placer._expected_record(new))
    return is_busy or record != new.record


def keeps_probe(fleet, old, now):
    async def scenario():
        pool = FakePool([ADDRESS])
        prober = TargetProber(pool, Ledger(), lambda: now, print, fleet)
        await prober.find_unresponsive([old])
        late = asyncio.create_task(prober.find_unresponsive([old]))
        new = restart(fleet)
        pool.answering = []
        return new not in await prober.find_unresponsive([new]) + await late

    return asyncio.run(scenario())


def keeps_pending_probe(fleet, old, now):
    async def scenario():
        pool = FakePool([ADDRESS])
        prober = TargetProber(pool, Ledger(), lambda: now, print, fleet)
        late = asyncio.create_task(prober.find_unresponsive([old]))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        new = restart(fleet)
        await prober.find_unresponsive([new])
        await late
        return len(pool.probed) < 2

    return asyncio.run(scenario())


def takes_new_process_for_old(fleet, old, now):
    async def scenario():
        pool = FakePool([ADDRESS])
        prober = TargetProber(pool, Ledger(), lambda: now, print, fleet)
        restart(fleet)
        return await prober.find_unresponsive([old]) != [old]

    return asyncio.run(scenario())


def blames_new_process_for_stall(fleet, old, now):
    report = TargetReport(stalled=(StalledRequest("r", ADDRESS),))

    class Pool:
        async def call(self, *_, headers):
            return None, encode_report(report)

    class Choice:
        head = types.SimpleNamespace(
            incarnation=("h", 1), identity="h", address="h:1"
        )

        def target_at(self, address):
            return old if address == ADDRESS else None

    new = restart(fleet)
    context = types.SimpleNamespace(fleet=fleet, pool=Pool())
    call = types.SimpleNamespace(request_id="r")
    control = HeadControl(context, call)
    stalled = asyncio.run(control.stalled_targets(Choice()))
    return stalled != [old] or new.health.failure_share > 0


def keeps_claims(fleet, old, now):
    context = types.SimpleNamespace(fleet=fleet)
    suspicions = Suspicions(context, lambda: now)
    fleet.on_restart = suspicions.forget_target
    old.health.mark_unreachable(now)
    suspicions.check("peer/1", ["t"])
    assert suspicions.is_shared("t")
    restart(fleet)
    return suspicions.is_shared("t")


def keeps_own_bookings(fleet, old, now):
    ledger = Ledger()
    fleet.on_restart = ledger.forget_target
    booking = ledger.book(10.0, [("t", 4), ("u", 4)], [("t", 9.0), ("u", 9.0)])
    restart(fleet)
    kept = ledger.used_units("t"), ledger.running("t"), ledger.start_ms("t")
    assert ledger.used_units("u") == 40.0 and ledger.start_ms("u") == 9.0
    ledger.release(booking)
    assert not ledger.own
    return any(kept)


def keeps_sent_states(fleet, old, now):
    sent = SentStates()
    fleet.on_restart = sent.forget_target
    usages = {"t": Usage(9.0, 2, 7.0)}
    sent.add(HostState("h/1", "a", 3, usages, [], {}, [], {}))
    restart(fleet)
    report = msgspec.structs.replace(
        MESSAGES[1][1], included={"h/1": 3}, usages=usages
    )
    return sent.others(report, "h/1").usages != usages


def keeps_connections(fleet, old, now):
    async def scenario():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool()
        deadline = asyncio.get_running_loop().time() + 1.0
        kept = await pool.open(f"127.0.0.1:{port}", deadline)
        pool.release(old.incarnation, kept)
        new = restart(fleet)
        got = await pool.acquire(
            new.incarnation, f"127.0.0.1:{port}", deadline
        )
        for connection in (kept, got):
            connection.close()
        server.close()
        return got is kept

    return asyncio.run(scenario())


def keeps_evidence(fleet, old, now):
    async def scenario():
        ends = []
        quarantine = types.SimpleNamespace(
            record_end=lambda traits, end: ends.append(end.process)
        )
        metrics = types.SimpleNamespace(
            target_ends=types.SimpleNamespace(inc=lambda: None)
        )
        detector = TargetEndDetector(metrics, quarantine)
        call = types.SimpleNamespace(
            request_id="r", digest="", retry_key="", customer="", traits=()
        )
        detector.record_broken(call, [old], AttemptTimes(now))
        new = restart(fleet)
        detector.record_removal(new)
        assert not ends
        detector.record_removal(old)
        return ends != [old.incarnation]

    return asyncio.run(scenario())


def keeps_streams(fleet, old, now):
    streams = ActiveStreams()
    checked = []

    class Attempt:
        def check_chain(self):
            checked.append(1)

    attempt = Attempt()
    streams.add(attempt, ["t"])
    fleet._on_end = lambda target: streams.recheck(target.identity)
    restart(fleet)
    # A stream of the old process is checked, and leaves with its attempt.
    streams.remove(attempt, ["t"])
    streams.recheck("t")
    return checked != [1]


PLACES = [
    keeps_health,
    keeps_announcements,
    keeps_failure_of_call,
    keeps_permits,
    keeps_pending_order,
    keeps_probe,
    keeps_pending_probe,
    takes_new_process_for_old,
    blames_new_process_for_stall,
    keeps_claims,
    keeps_own_bookings,
    keeps_sent_states,
    keeps_connections,
    keeps_evidence,
    keeps_streams,
]


# Guards against a new process that is judged by its predecessor.
@pytest.mark.parametrize("keeps", PLACES, ids=lambda place: place.__name__)
def test_nothing_of_the_old_process_counts_for_the_new_one(keeps):
    fleet = Fleet()
    old = start(fleet, 1)
    assert not keeps(fleet, old, 100.0)


STATE = {"usages": {"t": Usage(9.0, 2, 7.0)}, "suspects": ["t"]}
# Number of hosts, message about the old process, its sender.
MESSAGES = [
    (
        8,
        HostState("h/1", "a", 1, STATE["usages"], ["t"], {"t": 4.0}, [], {}),
        "10.0.0.1:1",
    ),
    (
        28,
        ZoneReport(
            "a",
            "h/1",
            10**6,
            {"h/1": 1},
            STATE["usages"],
            STATE["usages"],
            ["t"],
            {"t": 4.0},
            [],
            {},
            [],
            Position(7),
        ),
        "10.0.0.0:1",
    ),
]


def believes(host, now):
    """Return what a host holds against the target."""
    health = host.fleet.get("t").health
    return (
        host.ledger.used_units("t"),
        host.ledger.start_ms("t"),
        health.slowness(now),
        health.is_suspect(now),
        host.exchange.suspicions.is_shared("t"),
    )


NOTHING = (0.0, 0.0, 1.0, False, False)


# Guards against words of peers that have not learned of the restart yet.
@pytest.mark.parametrize("is_late", [False, True], ids=["before", "after"])
@pytest.mark.parametrize(
    ("hosts", "message", "sender"), MESSAGES, ids=["state", "report"]
)
def test_words_of_peers_about_the_old_process_are_dropped(
    hosts, message, sender, is_late, monkeypatch
):
    use_simulated_sleep(monkeypatch)
    zone = Zone(hosts)
    zone.run(6)
    host = zone.hosts["10.0.0.5:1"]
    # A silent target is looked at in a task, which a zone does not run.
    start(host.fleet, 1).health.mark_unreachable(zone.now)

    def receive():
        host.handlers[type(message)](sender, message)

    if not is_late:
        receive()
        assert host.ledger.used_units("t")
    restart(host.fleet)
    if is_late:
        host.fleet.get("t").health.record_contact(zone.now)
        receive()
    assert believes(host, zone.now) == NOTHING


# Guards against words about the new process that are dropped as well.
def test_words_of_peers_about_the_new_process_count(monkeypatch):
    use_simulated_sleep(monkeypatch)
    zone = Zone(8)
    zone.run(6)
    for host in zone.hosts.values():
        start(host.fleet, 1)
        restart(host.fleet)
    zone.hosts["10.0.0.1:1"].ledger.book(10.0, [("t", 2)])
    zone.run(1.0)
    assert zone.hosts["10.0.0.5:1"].ledger.used_units("t") == 20.0
    restarts = zone.hosts["10.0.0.5:1"].exchange.restarts
    state = ZoneState("b", "x/1", 1, {"t": Usage(1.0, 1)}, restarts={"t": 2})
    assert restarts.current(state) is state
    other = ZoneState("b", "x/1", 1, {"t": Usage(1.0, 1)}, restarts={"t": 3})
    assert restarts.current(other).usages == {}
