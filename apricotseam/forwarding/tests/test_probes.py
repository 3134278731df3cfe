"""Which targets count as silent, and when the host doubts itself."""

import asyncio
import random
import time

import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._probes import ASKERS
from apricotseam.forwarding._probes import STALL_SECONDS
from apricotseam.forwarding._probes import TRY_SECONDS
from apricotseam.forwarding import Probes
from apricotseam.http1 import ConnectError


class FakePool:
    """Connects to some addresses only, after they were asked."""

    def __init__(self, answering):
        self.answering = answering
        self.asked = []

    async def call(self, key, address, method, path, body, deadline):
        """Answer with a report that says nothing, or not at all."""
        self.asked.append(address)
        await asyncio.sleep(0)
        if address not in self.answering:
            raise ConnectError("no answer", "ask again")
        return FakeAnswer(), b"{}"


class StallingPool(FakePool):
    """Stands still with the whole host for some questions."""

    def __init__(self, answering, stalls):
        super().__init__(answering)
        self.stalls = stalls

    async def call(self, key, address, method, path, body, deadline):
        """Answer when the host does not stand still any more."""
        if self.stalls:
            self.stalls -= 1
            time.sleep(2 * (TRY_SECONDS + STALL_SECONDS))
            raise ConnectError("too late", "ask again")
        return await super().call(key, address, method, path, body, deadline)


class BusyLink(FakePool):
    """Lets no answer through until a time; some targets never answer."""

    def __init__(self, answering, opens_at):
        super().__init__(answering)
        self.opens_at = opens_at

    async def call(self, key, address, method, path, body, deadline):
        """Answer if the link is free before the deadline."""
        loop = asyncio.get_running_loop()
        if deadline < self.opens_at:
            await asyncio.sleep(deadline - loop.time())
            raise ConnectError("no answer", "ask again")
        await asyncio.sleep(max(0.0, self.opens_at - loop.time()))
        return await super().call(key, address, method, path, body, deadline)


class FakeAnswer:
    """Head of an answer that holds no report."""

    status = 503


def a_fleet(count):
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
                revision=number + 1,
            )
        )
    return fleet


# Targets there are, those asked about, those that answer, those found dead.
CASES = [
    ("one of three", 6, [0, 1, 2], [0, 1, 3, 4, 5], [2]),
    ("a whole chain", 6, [0, 1, 2], [3, 4, 5], [0, 1, 2]),
    ("nothing answers", 6, [0, 1, 2], [], []),
    ("none but one witness", 12, [0, 1, 2], [3, 4, 5, 6, 7, 8], [0, 1, 2]),
    ("no witnesses", 3, [0, 1, 2], [], [0, 1, 2]),
    ("all answer", 3, [0, 1, 2], [0, 1, 2], []),
]


@pytest.mark.parametrize(
    ("count", "asked", "answering", "dead"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_dead_targets(count, asked, answering, dead):
    fleet = a_fleet(count)
    pool = FakePool({f"10.0.0.{n}:80" for n in answering})
    told = []

    async def scenario():
        loop = asyncio.get_running_loop()
        ledger = Ledger(lambda is_own: None)
        probes = Probes(pool, ledger, loop.time, told.append, fleet)
        chain = [fleet.get(f"t{n}") for n in asked]
        return await probes.find_dead(chain)

    found = [target.identity for target in asyncio.run(scenario())]
    expected = [f"t{n}" for n in dead]
    assert found == expected
    assert sorted(told) == expected
    silent = [t.identity for t in fleet if t.health.is_silent]
    assert sorted(silent) == expected


def test_a_host_that_hears_nothing_asks_few_witnesses():
    fleet = a_fleet(40)
    pool = FakePool(set())

    async def scenario():
        loop = asyncio.get_running_loop()
        ledger = Ledger(lambda is_own: None)
        probes = Probes(pool, ledger, loop.time, lambda _: None, fleet)
        await probes.find_dead([fleet.get(f"t{n}") for n in range(4)])

    asyncio.run(scenario())
    witnesses = set(pool.asked) - {f"10.0.0.{n}:80" for n in range(4)}
    assert len(witnesses) <= 3


@pytest.mark.parametrize(("stalls", "dead"), [(3, []), (9, ["t0"])])
def test_a_host_that_stood_still_asks_again(stalls, dead):
    fleet = a_fleet(1)
    pool = StallingPool({"10.0.0.0:80"}, stalls)

    async def scenario():
        loop = asyncio.get_running_loop()
        ledger = Ledger(lambda is_own: None)
        probes = Probes(pool, ledger, loop.time, lambda _: None, fleet)
        return await probes.find_dead(list(fleet))

    found = [target.identity for target in asyncio.run(scenario())]
    assert found == dead


# Hosts that share what they know, the least and most slow targets asked of
# 100; two more are silent.
SHARES = [("alone", 1, 100, 100), ("six", 6, 100, 100), ("many", 60, 2, 30)]


@pytest.mark.parametrize(
    ("hosts", "least", "most"),
    [case[1:] for case in SHARES],
    ids=[case[0] for case in SHARES],
)
def test_hosts_share_the_questions_to_slow_targets(hosts, least, most):
    fleet = a_fleet(102)
    for number, target in enumerate(fleet):
        if number < 2:
            target.health.lose_contact()
        else:
            target.health.note_slowness(4.0, 0.0)
    random.seed(1)
    probes = Probes(None, None, lambda: 0.0, lambda _: None, fleet)
    due = probes._due(ASKERS / hosts)
    silent = [target for target in due if target.health.is_silent]
    assert len(silent) == 2
    assert least <= len(due) - 2 <= most


# Targets of the chain that answer once the link is free; those found dead.
LINKS = [("all", [0, 1], []), ("one", [0], ["t1"]), ("none", [], [])]


@pytest.mark.parametrize(
    ("answering", "dead"), [c[1:] for c in LINKS], ids=[c[0] for c in LINKS]
)
def test_a_link_that_was_full_for_a_moment(answering, dead):
    """Where none of the chain answers, the link may be full still."""
    fleet = a_fleet(4 if answering else 2)
    addresses = {f"10.0.0.{n}:80" for n in [*answering, 2, 3]}

    async def scenario():
        loop = asyncio.get_running_loop()
        opens_at = loop.time() + 2.2 * TRY_SECONDS
        pool = BusyLink(addresses, opens_at)
        ledger = Ledger(lambda is_own: None)
        probes = Probes(pool, ledger, loop.time, lambda _: None, fleet)
        return await probes.find_dead([fleet.get("t0"), fleet.get("t1")])

    found = [target.identity for target in asyncio.run(scenario())]
    assert found == dead if answering else len(found) == 2
