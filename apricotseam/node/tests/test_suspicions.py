"""Reports of silent targets, and what a host makes of them."""

import asyncio
import types

import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import TargetRecord
from apricotseam.node._delegates import DelegateReports
from apricotseam.node._suspicions import Suspicions
from apricotseam.node._zone_reports import ZoneReport
from apricotseam.positions import NO_POSITION


class Prober:
    """Finds the targets in ``silent`` unresponsive, and counts probes."""

    def __init__(self, silent, now):
        self._silent = silent
        self._now = now
        self.probed = []

    async def find_unresponsive(self, targets):
        """Probe some targets."""
        self.probed += [target.identity for target in targets]
        for target in targets:
            if target.identity in self._silent:
                target.health.mark_unreachable(self._now())
            else:
                target.health.mark_reachable(self._now())


class Receiver:
    """A host that hears reports, with six targets."""

    def __init__(self, silent=()):
        self.fleet = Fleet()
        for number in range(6):
            identity = f"t{number}"
            self.fleet.update(
                TargetRecord(
                    identity=identity,
                    service="s",
                    address=f"10.0.0.{number}:1",
                    zone="a",
                    slots=1,
                )
            )
        loop = asyncio.get_running_loop()
        self.now = loop.time
        self.prober = Prober(silent, self.now)
        self.rechecked = []
        self.woken = []
        context = types.SimpleNamespace(
            fleet=self.fleet,
            prober=self.prober,
            active_streams=types.SimpleNamespace(
                recheck=self.rechecked.append
            ),
            request_queue=types.SimpleNamespace(wake_all=self.woken.append),
        )
        self.suspicions = Suspicions(context, self.now)

    def avoided(self):
        """Return the targets that get no requests."""
        now = self.now()
        return {t.identity for t in self.fleet if t.health.is_suspect(now)}


# Name of the case, targets that are silent to this host as well, reported
# ones, those that send something meanwhile, and those that are probed.
REPORTS = [
    ("sound", (), ["t1"], [], ["t1"]),
    ("silent here as well", ("t1",), ["t1"], [], ["t1"]),
    ("many, all in use", (), ["t0", "t1", "t2", "t3"], [0, 1, 2, 3], []),
    (
        "many, some in use",
        ("t3",),
        ["t0", "t1", "t2", "t3"],
        [0, 1, 2],
        ["t3"],
    ),
    ("unknown target", (), ["gone"], [], []),
]


# Guards against the word of a host that has lost its own links.
@pytest.mark.parametrize(
    ("silent", "reported", "in_use", "probed"),
    [case[1:] for case in REPORTS],
    ids=[case[0] for case in REPORTS],
)
def test_reported_targets_are_avoided_only_if_silent_to_this_host(
    silent, reported, in_use, probed
):
    async def play():
        host = Receiver(silent)
        for _ in range(4):
            host.suspicions.check("peer/1", reported)
            await asyncio.sleep(0.05)
            for number in in_use:
                target = host.fleet.get(f"t{number}")
                target.health.record_contact(host.now())
        return host.avoided(), host.prober.probed

    avoided, seen = asyncio.run(play())
    assert avoided == set(silent)
    assert seen == probed


# Name of the case, what each delegate reports, targets that send something
# meanwhile, and those that are avoided.
DELEGATES = [
    ("both agree", [["t1"], ["t1"]], [], {"t1"}),
    ("one has lost its links", [["t0", "t1", "t2"], ["t1"]], [], {"t1"}),
    ("only one is there", [["t1"]], [], {"t1"}),
    ("in use here", [["t1", "t2"], ["t1", "t2"]], [1], {"t2"}),
]


@pytest.mark.parametrize(
    ("reports", "in_use", "expected"),
    [case[1:] for case in DELEGATES],
    ids=[case[0] for case in DELEGATES],
)
def test_targets_that_all_delegates_find_silent_are_avoided(
    reports, in_use, expected
):
    async def play():
        host = Receiver()
        known = DelegateReports()
        for number in range(3):
            now = host.now()
            for sender, suspects in enumerate(reports):
                known.receive(
                    f"10.0.0.{sender}:1",
                    make_report(f"d{sender}/1", number + 1, suspects),
                    now,
                )
            host.suspicions.trust(*known.suspects(1.0, now))
            await asyncio.sleep(0.2)
            for used in in_use:
                target = host.fleet.get(f"t{used}")
                target.health.record_contact(host.now())
        await asyncio.sleep(0.2)
        # Requests that wait for them are judged again.
        assert set(host.woken) == ({"s"} if host.rechecked else set())
        return host.avoided()

    assert asyncio.run(play()) == expected


def make_report(sender, number, suspects):
    """Return a report of a delegate."""
    return ZoneReport(
        "a",
        sender,
        number,
        {},
        {},
        None,
        suspects,
        {},
        [],
        {},
        [],
        NO_POSITION,
    )


# Name of the case, what each peer reports and whether it looks for itself,
# whether the silence of t1 is shared, and whether it is disputed.
VOTES = [
    ("nobody is heard", [], False, False),
    ("all agree", [(["t1"], True), (["t1"], True)], True, False),
    ("half agree", [(["t1"], True), ([], True)], True, False),
    ("few agree", [(["t1"], True), ([], True), ([], True)], False, True),
    ("nobody agrees", [([], True), (["t2"], True)], False, True),
    ("most do not look", [(["t1"], True), ([], False)], True, False),
]


@pytest.mark.parametrize(
    ("reports", "is_shared", "is_disputed"),
    [case[1:] for case in VOTES],
    ids=[case[0] for case in VOTES],
)
def test_peers_that_look_decide_whether_a_silence_is_this_hosts_own(
    reports, is_shared, is_disputed
):
    async def play():
        host = Receiver()
        for number, (suspects, has_looked) in enumerate(reports):
            host.suspicions.check(f"p{number}/1", suspects, has_looked)
        found = host.suspicions
        return found.is_shared("t1"), found.is_disputed("t1")

    assert asyncio.run(play()) == (is_shared, is_disputed)
