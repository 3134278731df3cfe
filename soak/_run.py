"""One run: start, faults, recovery and checks."""

import asyncio
import random

from soak._callers import CallerPool
from soak._cluster import Cluster
from soak._faults import draw_faults
from soak._faults import draw_sound_events
from soak._invariants import find_violations
from soak._invariants import RECOVERY_SECONDS
from soak._overload import draw_overload
from soak._overload import LEAD_SECONDS
from soak._overload import shrink_pool
from soak._queries import fetch_callers_addresses
from soak._queries import wait_until_ready

# Longest wait until all hosts are ready.
READY_TIMEOUT_SECONDS = 10.0
READY_POLL_SECONDS = 0.1
# Time with requests but without faults at the start of a run.
WARM_UP_SECONDS = 0.5
# Time after `RECOVERY_SECONDS` during which every request has to succeed.
POST_RECOVERY_SECONDS = 2.0
CLOSE_SECONDS = 0.2
STALL_CHECK_SECONDS = 0.1


def run_seed(seed, folder, faults=None):
    """Run one seed; return its records and the violations found in them.

    Parameters
    ----------
    seed : int
        Seed of the faults, of the events of the sound phase and of the
        random choices of callers.
    folder : pathlib.Path
        Folder for the settings and logs of the hosts.
    faults : list of Fault, optional
        Faults to inject in place of those drawn from the seed.

    Returns
    -------
    tuple of RunRecords and list of Violation
    """
    rng = random.Random(seed)
    drawn = draw_faults(rng)
    injected = drawn if faults is None else faults
    events = draw_sound_events(rng)
    overload = draw_overload(seed)
    records = asyncio.run(_run(rng, folder, events, injected, overload))
    return records, find_violations(records)


async def _run(rng, folder, sound_events, faults, overload):
    """Run all phases and return the records.

    The sound phase, with pauses and planned work only, comes first. An
    overload, if there is one, begins before the other faults.
    """
    cluster = Cluster(folder)
    if overload is not None:
        shrink_pool(cluster)
    callers = CallerPool(cluster, rng)
    loop = asyncio.get_running_loop()
    stall_check = loop.create_task(_measure_stalls(cluster.records))
    try:
        await cluster.start()
        await _wait_until_ready(cluster)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run())
            await asyncio.sleep(WARM_UP_SECONDS)
            await _run_all(sound_events, cluster)
            cluster.records.sound_until = loop.time()
            if overload is None:
                await _run_all(faults, cluster)
            else:
                await asyncio.gather(
                    overload.run(cluster), _run_after_lead(faults, cluster)
                )
            cluster.records.faults_ended_at = loop.time()
            await asyncio.sleep(RECOVERY_SECONDS + POST_RECOVERY_SECONDS)
            _record_unexpected_exits(cluster)
            callers.stop()
    finally:
        stall_check.cancel()
        cluster.stop()
        # The tasks of reset connections end in later loop iterations.
        await asyncio.sleep(CLOSE_SECONDS)
    return cluster.records


async def _measure_stalls(records):
    """Record for how long this process stood still, at the most."""
    loop = asyncio.get_running_loop()
    while True:
        due_at = loop.time() + STALL_CHECK_SECONDS
        await asyncio.sleep(STALL_CHECK_SECONDS)
        records.longest_stall_seconds = max(
            records.longest_stall_seconds, loop.time() - due_at
        )


async def _run_all(faults, cluster):
    await asyncio.gather(*(fault.run(cluster) for fault in faults))


async def _run_after_lead(faults, cluster):
    """Run faults after the time in which an overload is the only one."""
    loop = asyncio.get_running_loop()
    cluster.records.overloaded_from = loop.time()
    await asyncio.sleep(LEAD_SECONDS)
    cluster.records.overloaded_until = loop.time()
    await _run_all(faults, cluster)


async def _wait_until_ready(cluster):
    """Wait until all hosts have a configuration and know each other."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        await wait_until_ready(cluster.hosts, READY_POLL_SECONDS)
        for host in cluster.hosts:
            while len(await fetch_callers_addresses(host)) < len(
                cluster.hosts
            ):
                await asyncio.sleep(READY_POLL_SECONDS)


def _record_unexpected_exits(cluster):
    """Record each host process that exited without being stopped."""
    for host in cluster.hosts:
        code = host.unexpected_exit_code()
        if code is not None:
            cluster.records.unexpected_exits.append((host.number, code))
