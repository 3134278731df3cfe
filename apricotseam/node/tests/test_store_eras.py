"""Hosts of fleets of several sizes after the store went back."""

import asyncio
import random

import pytest

from apricotseam.coordination._election import LEASE_SECONDS
from apricotseam.coordination._synchronizer import READER_TIMEOUT_SECONDS
from apricotseam.node._held import REWRITE_SECONDS
from apricotseam.node.tests.memory_fleet import DUTY_KEY
from apricotseam.node.tests.memory_fleet import MemoryFleet
from apricotseam.node.tests.store_writers import MAX_REWRITE_SECONDS
from apricotseam.node.tests.store_writers import SILENCE_SECONDS
from apricotseam.node.tests.store_writers import StoreWriters
from apricotseam.supervision.tests.virtual_time import VirtualTimeLoop

TARGETS = 20
# Hosts, zones, hosts that read the store, and seconds within which all hosts
# follow the store after its return.
FLEETS = [(8, 1, 8, 1.0), (85, 4, 8, 2.0), (195, 7, 14, 2.0)]
# Seconds for which the store is away before it returns from a copy. Hosts
# that hear no reader for longer than the first two read the store themselves.
ABSENCES = [0.0, 0.5, 4.0]
# Watches for each reader, and for each host after a long absence.
MAX_WATCHES_PER_READER = 10
MAX_WATCHES_PER_HOST = 3


@pytest.fixture(autouse=True)
def boot_time(monkeypatch):
    """Let leases last in virtual time."""
    monkeypatch.setattr(
        "apricotseam.coordination._election._boot_time",
        lambda: asyncio.get_running_loop().time(),
    )


def run(scenario, hosts, zones=1, seed=1, **options):
    """Run a coroutine function on a started fleet in virtual time."""

    async def run_scenario():
        fleet = MemoryFleet(hosts, zones, **options)
        writers = StoreWriters(fleet)
        writers.configure()
        for number in range(TARGETS):
            writers.start(f"t{number}")
        fleet.start()
        await asyncio.sleep(8)
        try:
            return await scenario(fleet, writers)
        finally:
            await fleet.stop()

    random.seed(seed)
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run_scenario())


async def seconds_until(condition, most):
    """Return the seconds until a condition holds."""
    loop = asyncio.get_running_loop()
    begun_at = loop.time()
    async with asyncio.timeout(most):
        while not condition():
            await asyncio.sleep(0.01)
    return loop.time() - begun_at


@pytest.mark.parametrize("away", ABSENCES)
@pytest.mark.parametrize(("hosts", "zones", "readers", "seconds"), FLEETS)
def test_time_and_calls_until_all_hosts_follow(
    hosts, zones, readers, seconds, away
):
    async def scenario(fleet, writers):
        assert fleet.disagreements() == []
        writers.copy_store()
        for number in range(TARGETS // 4):
            writers.start(f"t{number}")
        await asyncio.sleep(1)
        fleet.store.refused.update(host.name for host in fleet.hosts)
        await asyncio.sleep(away)
        before = fleet.store.calls_by_path.copy()
        writers.go_back()
        fleet.store.refused.clear()
        joined_after = await seconds_until(
            lambda: all(h.mirror.position.era == 1 for h in fleet.hosts), 9
        )
        calls = fleet.store.calls_by_path - before
        await asyncio.sleep(MAX_REWRITE_SECONDS)
        return joined_after, calls, fleet.disagreements(), fleet.violations

    joined_after, calls, disagreements, violations = run(
        scenario, hosts, zones
    )
    assert (disagreements, violations) == ([], [])
    assert joined_after <= seconds
    assert calls["/v1/kv-range"] == readers
    most = MAX_WATCHES_PER_READER * readers
    if away > READER_TIMEOUT_SECONDS:
        most = MAX_WATCHES_PER_HOST * hosts
    assert calls["/v1/kv-watch"] <= most


def drained(writers):
    """Let a target drain."""
    writers.drain("t0")


def ended(writers):
    """Let the process of a target end."""
    writers.end("t0")


def configured(writers):
    """Write the next version of the configuration."""
    writers.configure()


def found(fleet):
    """Return what each host makes of the first target and its version."""
    return {
        (
            host.version,
            host.targets.get("t0") is not None
            and host.targets.get("t0").accepts_requests,
        )
        for host in fleet.hosts
    }


# What is written after the copy, and how often the store goes back to it.
CHANGES = [
    (change, times)
    for change in (drained, ended, configured)
    for times in (1, 2)
]


@pytest.mark.parametrize(("change", "times"), CHANGES)
def test_what_is_acted_upon_stays_until_it_is_written_again(change, times):
    async def scenario(fleet, writers):
        writers.copy_store()
        change(writers)
        await asyncio.sleep(1)
        wanted = found(fleet)
        for _ in range(times):
            writers.go_back()
            await asyncio.sleep(0.4)
        during = found(fleet)
        await asyncio.sleep(SILENCE_SECONDS + 1)
        return wanted, during, found(fleet), fleet

    wanted, during, after, fleet = run(scenario, 8)
    assert len(wanted) == 1 and during == wanted and after == wanted
    assert fleet.violations == [] and fleet.disagreements() == []


# What is written after the copy and never again, and what hosts make of it
# once its time has passed. An older configuration never comes back.
LOST = [(drained, (1, True)), (configured, (2, True))]


@pytest.mark.parametrize(("change", "after"), LOST)
def test_what_is_never_written_again(change, after):
    """Guards against CONFIG: hosts that return to an older version."""

    async def scenario(fleet, writers):
        copy = fleet.store.copy()
        change(writers)
        await asyncio.sleep(1)
        wanted = found(fleet)
        fleet.store.go_back(copy)
        await asyncio.sleep(REWRITE_SECONDS - 1)
        during = found(fleet)
        await asyncio.sleep(2)
        return wanted, during, found(fleet)

    wanted, during, found_after = run(scenario, 8)
    assert during == wanted and found_after == {after}


@pytest.mark.parametrize(
    ("seconds", "expected"), [(1.5, {(1, True)}), (2.9, {(1, False)})]
)
def test_a_target_that_is_missing_is_gone_after_two_seconds(seconds, expected):
    async def scenario(fleet, writers):
        copy = fleet.store.copy()
        writers.end("t0")
        writers.start("t0")
        await asyncio.sleep(1)
        fleet.store.delete("servers/t0")
        fleet.store.go_back(copy)
        fleet.store.delete("servers/t0")
        await asyncio.sleep(seconds)
        return found(fleet)

    assert run(scenario, 8) == expected


def test_the_duty_passes_on_with_a_higher_fence():
    async def scenario(fleet, writers):
        writers.copy_store()
        for number in range(50):
            writers.start(f"t{number}")
        fences = []
        for _ in range(2):
            (holder,) = fleet.holders()
            fences.append(holder.election.fence)
            writers.go_back()
            await seconds_until(lambda: not fleet.holders(), 1)
            await seconds_until(fleet.holders, 2)
        (holder,) = fleet.holders()
        return [*fences, holder.election.fence], fleet.violations

    fences, violations = run(scenario, 8)
    assert fences == sorted(fences) and len(set(fences)) == 3
    assert [fence.era for fence in fences] == [0, 1, 2]
    assert violations == []


def test_no_other_host_claims_while_a_holder_may_not_have_heard():
    """A holder that is cut off orders until its lease would have ended."""

    async def scenario(fleet, writers):
        writers.copy_store()
        (holder,) = fleet.holders()
        fleet.silenced.add(holder.name)
        writers.go_back()
        waited = await seconds_until(
            lambda: any(h is not holder for h in fleet.holders()), 7
        )
        return waited, fleet.violations

    waited, violations = run(scenario, 8)
    assert violations == []
    assert waited >= LEASE_SECONDS


def test_an_entry_of_the_duty_that_nobody_holds_is_deleted():
    async def scenario(fleet, writers):
        writers.copy_store()
        writers.go_back()
        await seconds_until(lambda: not fleet.holders(), 1)
        name = fleet.hosts[3].name.encode()
        fleet.store.put(DUTY_KEY, name)
        await asyncio.sleep(3)
        before = fleet.holders()
        await asyncio.sleep(4)
        return before, len(fleet.holders())

    assert run(scenario, 8) == ([], 1)
