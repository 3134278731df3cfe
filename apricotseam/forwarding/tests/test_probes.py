"""Detection of silent targets and of a host without network."""

import asyncio
import random
import time

import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._probes import HOST_STALL_SECONDS
from apricotseam.forwarding._probes import PROBE_TIMEOUT_SECONDS
from apricotseam.forwarding._probes import PROBING_HOSTS
from apricotseam.forwarding._probes import REPROBE_PERIOD_SECONDS
from apricotseam.forwarding import TargetProber
from apricotseam.http1 import ConnectError
from apricotseam.positions import Position


class FakePool:
    """Answers for some addresses only, and records all that were probed."""

    def __init__(self, answering):
        self.answering = answering
        self.probed = []

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Return an answer without a report, or fail to connect."""
        self.probed.append(address)
        await asyncio.sleep(0)
        if address not in self.answering:
            raise ConnectError("no answer", "ask again")
        return FakeAnswer(), b"{}"


class BlockedLoopPool(FakePool):
    """Blocks the event loop during the first ``stalls`` probes."""

    def __init__(self, answering, stalls):
        super().__init__(answering)
        self.stalls = stalls

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Block the loop past the time-out, or answer if no stall is left."""
        if self.stalls:
            self.stalls -= 1
            time.sleep(2 * (PROBE_TIMEOUT_SECONDS + HOST_STALL_SECONDS))
            raise ConnectError("too late", "ask again")
        return await super().call(key, address, method, path, body, deadline)


class CongestedLinkPool(FakePool):
    """Delays all answers until a loop time; some targets never answer."""

    def __init__(self, answering, opens_at):
        super().__init__(answering)
        self.opens_at = opens_at

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Answer once the link is free, or fail at the deadline."""
        loop = asyncio.get_running_loop()
        if deadline < self.opens_at:
            await asyncio.sleep(deadline - loop.time())
            raise ConnectError("no answer", "ask again")
        await asyncio.sleep(max(0.0, self.opens_at - loop.time()))
        return await super().call(key, address, method, path, body, deadline)


class FakeAnswer:
    """Head of an answer without a report."""

    status = 503


def make_fleet(count):
    """Return a fleet of language model targets ``t0``, ``t1``, ..."""
    fleet = Fleet()
    for number in range(count):
        fleet.update(
            TargetRecord(
                identity=f"t{number}",
                address=f"10.0.0.{number}:80",
                service="model",
                zone="a",
                kind="l4",
                is_placeable=True,
                position=Position(number + 1),
            )
        )
    return fleet


def make_prober(pool, now, fleet, on_silent=lambda identity: None):
    """Return a prober that draws the same samples in each run."""
    ledger = Ledger(lambda is_own: None)
    generator = random.Random(1)
    return TargetProber(pool, ledger, now, on_silent, fleet, generator)


# Number of targets; indices of the targets that are probed, of those that
# answer and of those that are found silent.
CASES = [
    ("one of three is silent", 6, [0, 1, 2], [0, 1, 3, 4, 5], [2]),
    ("whole chain is silent", 6, [0, 1, 2], [3, 4, 5], [0, 1, 2]),
    ("no target answers, so the host has no network", 6, [0, 1, 2], [], []),
    (
        "whole chain is silent, some sampled ones too",
        12,
        [0, 1, 2],
        [3, 4, 5, 6, 7, 8],
        [0, 1, 2],
    ),
    ("no other target to sample", 3, [0, 1, 2], [], [0, 1, 2]),
    ("all answer", 3, [0, 1, 2], [0, 1, 2], []),
]


@pytest.mark.parametrize(
    ("count", "probed", "answering", "expected_silent"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_dead_targets(count, probed, answering, expected_silent):
    fleet = make_fleet(count)
    pool = FakePool({f"10.0.0.{n}:80" for n in answering})
    silent_calls = []

    async def scenario():
        loop = asyncio.get_running_loop()
        prober = make_prober(pool, loop.time, fleet, silent_calls.append)
        chain = [fleet.get(f"t{n}") for n in probed]
        return await prober.find_unresponsive(chain)

    found = [target.identity for target in asyncio.run(scenario())]
    expected = [f"t{n}" for n in expected_silent]
    assert found == expected
    assert sorted(silent_calls) == expected
    silent = [t.identity for t in fleet if t.health.is_silent]
    assert sorted(silent) == expected


def test_host_without_network_probes_few_other_targets():
    """If no target responds, only a small sample of others is probed."""
    fleet = make_fleet(40)
    pool = FakePool(set())

    async def scenario():
        loop = asyncio.get_running_loop()
        prober = make_prober(pool, loop.time, fleet)
        await prober.find_unresponsive([fleet.get(f"t{n}") for n in range(4)])

    asyncio.run(scenario())
    sampled = set(pool.probed) - {f"10.0.0.{n}:80" for n in range(4)}
    assert len(sampled) <= 3


@pytest.mark.parametrize(("stalls", "expected_silent"), [(3, []), (9, ["t0"])])
def test_attempts_while_the_event_loop_is_blocked_are_repeated(
    stalls, expected_silent
):
    """Attempts during which the event loop was blocked do not count.

    A limited number of them is repeated; then the target counts as silent.
    """
    fleet = make_fleet(1)
    pool = BlockedLoopPool({"10.0.0.0:80"}, stalls)

    async def scenario():
        loop = asyncio.get_running_loop()
        prober = make_prober(pool, loop.time, fleet)
        return await prober.find_unresponsive(list(fleet))

    found = [target.identity for target in asyncio.run(scenario())]
    assert found == expected_silent


# Number of hosts that exchange slowness reports, least and most probes sent
# to 100 slow targets; two more targets are silent and always probed.
HOST_COUNTS = [
    ("one-host", 1, 100, 100),
    ("six-hosts", 6, 100, 100),
    ("sixty-hosts", 60, 2, 30),
]


@pytest.mark.parametrize(
    ("hosts", "least", "most"),
    [case[1:] for case in HOST_COUNTS],
    ids=[case[0] for case in HOST_COUNTS],
)
def test_hosts_share_the_probes_of_slow_targets(hosts, least, most):
    """The more hosts exchange reports, the fewer slow targets each probes."""
    fleet = make_fleet(102)
    for number, target in enumerate(fleet):
        if number < 2:
            target.health.mark_unreachable(0.0)
        else:
            target.health.record_slowness(4.0, 0.0)
    prober = make_prober(None, lambda: 0.0, fleet)
    targets = prober._targets_to_reprobe(PROBING_HOSTS / hosts)
    silent = [target for target in targets if target.health.is_silent]
    assert len(silent) == 2
    assert least <= len(targets) - 2 <= most


def test_slow_target_that_rests_is_not_probed():
    fleet = make_fleet(2)
    for target in fleet:
        target.health.record_slowness(4.0, 0.0)
    fleet.record_rest(fleet.get("t0").incarnation, 5.0, 0.0)
    prober = make_prober(None, lambda: 0.0, fleet)
    found = [t.identity for t in prober._targets_to_reprobe(1.0)]
    assert found == ["t1"]


# Chain targets that answer once the link is free, those found silent.
LINKS = [
    ("both-answer", [0, 1], []),
    ("one-answers", [0], ["t1"]),
    ("none-answers", [], []),
]


@pytest.mark.parametrize(
    ("answering", "expected_silent"),
    [c[1:] for c in LINKS],
    ids=[c[0] for c in LINKS],
)
def test_short_congestion_does_not_make_targets_silent(
    answering, expected_silent
):
    """Targets that answer after a short congestion do not count as silent.

    All answers are held back until after the regular probe attempts, so
    only the additional probe can tell silent targets from delayed ones. If
    no target answers and there are no others to probe, both count as silent.
    """
    fleet = make_fleet(4 if answering else 2)
    addresses = {f"10.0.0.{n}:80" for n in [*answering, 2, 3]}

    async def scenario():
        loop = asyncio.get_running_loop()
        opens_at = loop.time() + 2.2 * PROBE_TIMEOUT_SECONDS
        pool = CongestedLinkPool(addresses, opens_at)
        prober = make_prober(pool, loop.time, fleet)
        return await prober.find_unresponsive(
            [fleet.get("t0"), fleet.get("t1")]
        )

    found = [target.identity for target in asyncio.run(scenario())]
    assert found == expected_silent if answering else len(found) == 2


def test_targets_that_stay_silent_do_not_hold_up_the_probes_of_others():
    """All targets that answer again are usable within a few seconds.

    The rate limit allows fewer probes in each interval than there are
    targets that stay silent, and these come first in the fleet.
    """
    fleet = make_fleet(60)
    answering = {f"10.0.0.{n}:80" for n in range(20, 60)}
    now = [0.0]
    for target in fleet:
        target.health.mark_unreachable(0.0)

    async def scenario():
        prober = make_prober(FakePool(answering), lambda: now[0], fleet)
        while prober._acquire_probe():
            pass
        while now[0] < 5.0:
            now[0] += REPROBE_PERIOD_SECONDS
            await prober.reprobe(prober._targets_to_reprobe(1.0))

    asyncio.run(scenario())
    silent = {t.address for t in fleet if t.health.is_silent}
    assert silent.isdisjoint(answering)
