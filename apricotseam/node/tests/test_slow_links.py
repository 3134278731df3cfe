"""Configurations at hosts on slow or silent links, in fleets in memory."""

import asyncio
import random

import msgspec
import pytest

from apricotseam.node.tests.memory_fleet import MemoryFleet
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.supervision.tests.virtual_time import VirtualTimeLoop

# What the users' pages allow in seconds: until a version is in force, until
# hosts are in touch after a disturbance, at large sites and at small ones, and
# in addition for hosts that the store turns away.
APPLY_SECONDS = 3.0
CONTACT_SECONDS = 4.0
SMALL_CONTACT_SECONDS = 3.0
OUTER_SECONDS = 6.0
# Slowest link of their sheets, in 10**6 bits a second.
LINK_MBPS = 7.0
# Bytes of a route in a configuration.
ROUTE_BYTES = 190
SAMPLE_SECONDS = 0.05


@pytest.fixture(autouse=True)
def boot_time(monkeypatch):
    """Let leases last in virtual time."""
    monkeypatch.setattr(
        "apricotseam.coordination._election._boot_time",
        lambda: asyncio.get_running_loop().time(),
    )


def configuration(version, size_bytes):
    """Return a configuration of about a size, with names like the users'."""
    generator = random.Random(1)
    routes = [
        sample_route(
            f"/{generator.getrandbits(40):x}/{number:x}/",
            "safe",
            PLAIN_SERVICE,
        )
        for number in range(size_bytes // ROUTE_BYTES)
    ]
    return msgspec.json.encode(sample_configuration(version, routes))


class Versions:
    """Writes large versions of the configuration to a fleet's store."""

    def __init__(self, fleet, size_bytes):
        self._fleet = fleet
        self._size_bytes = size_bytes
        self._version = 0

    def write(self):
        """Write the next version."""
        self._version += 1
        value = configuration(self._version, self._size_bytes)
        self._fleet.store.put(CONFIGURATION_KEY, value)

    async def seconds_until_in_force(self, hosts, most):
        """Return the time until hosts have the last version in force.

        It is infinite if they do not within ``most`` seconds.
        """
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        while loop.time() - begun_at <= most:
            if all(host.version == self._version for host in hosts):
                return loop.time() - begun_at
            await asyncio.sleep(SAMPLE_SECONDS)
        return float("inf")


def run(scenario, size_bytes, **options):
    """Run a coroutine function on a fleet in virtual time."""

    async def run_scenario():
        fleet = MemoryFleet(link_mbps=LINK_MBPS, **options)
        try:
            return await scenario(fleet, Versions(fleet, size_bytes))
        finally:
            await fleet.stop()

    random.seed(1)
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(run_scenario())


# Whether only some hosts read the store.
FLEETS = {"all read": False, "readers push": True}
# Name, size of each version in bytes, their number, seconds between them,
# seconds of an answer of the store while they are written, and the bound.
SUCCESSIONS = [
    ("one", 900_000, 1, 0.0, 0.0, APPLY_SECONDS),
    ("quick", 480_000, 12, 0.33, 0.0, APPLY_SECONDS),
    ("quicker", 80_000, 40, 0.08, 0.0, APPLY_SECONDS),
    ("slow store", 480_000, 12, 0.33, 0.33, CONTACT_SECONDS),
]


@pytest.mark.parametrize("is_large", FLEETS.values(), ids=FLEETS)
@pytest.mark.parametrize(
    ("size", "versions", "pause", "slowness", "bound"),
    [case[1:] for case in SUCCESSIONS],
    ids=[case[0] for case in SUCCESSIONS],
)
def test_large_versions_are_in_force_in_time(
    size, versions, pause, slowness, bound, is_large
):
    """Guards against CONFIG: reads of large versions that never end."""

    async def scenario(fleet, writer):
        writer.write()
        fleet.start()
        await asyncio.sleep(8)
        fleet.slowness_seconds = slowness
        for _ in range(versions):
            writer.write()
            await asyncio.sleep(pause)
        fleet.slowness_seconds = 0.0
        return await writer.seconds_until_in_force(fleet.hosts, 4 * bound)

    assert run(scenario, size, hosts=6, is_large=is_large) <= bound


# Sizes of a version in bytes; the last is more than a message holds.
TURNED_AWAY = [480_000, 1_040_000]


@pytest.mark.parametrize("size", TURNED_AWAY)
def test_hosts_that_the_store_turns_away_learn_from_peers(size):
    """Guards against CONFIG: large versions that no peer's answer brings."""

    async def scenario(fleet, writer):
        writer.write()
        fleet.start()
        await asyncio.sleep(8)
        away = fleet.hosts[-2:]
        fleet.store.refused.update(host.name for host in away)
        await asyncio.sleep(1)
        writer.write()
        return await writer.seconds_until_in_force(away, 20.0)

    seconds = run(scenario, size, hosts=6, is_large=True)
    assert seconds <= APPLY_SECONDS + OUTER_SECONDS


def test_hosts_that_start_list_a_large_store_in_time():
    """Guards against CONFIG: a listing that is ended before it is read."""

    async def scenario(fleet, writer):
        writer.write()
        fleet.start()
        return await writer.seconds_until_in_force(fleet.hosts, 20.0)

    assert run(scenario, 900_000, hosts=6) <= CONTACT_SECONDS


@pytest.mark.parametrize("age", [0.3, 0.8, 1.3])
@pytest.mark.parametrize("is_large", FLEETS.values(), ids=FLEETS)
def test_connections_to_the_store_that_fall_silent(is_large, age):
    """Guards against CONFIG: a watch that is answered by nobody."""

    async def scenario(fleet, writer):
        writer.write()
        fleet.start()
        await asyncio.sleep(8 + age)
        fleet.silenced.update(host.name for host in fleet.hosts)
        writer.write()
        await asyncio.sleep(0.1)
        fleet.silenced.clear()
        return await writer.seconds_until_in_force(fleet.hosts, 20.0)

    seconds = run(scenario, 50_000, hosts=6, is_large=is_large)
    assert seconds <= SMALL_CONTACT_SECONDS
