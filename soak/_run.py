"""One run: start, faults, recovery, checks."""

import asyncio
import random

from soak._callers import Callers
from soak._faults import draw_faults
from soak._promises import broken_promises
from soak._promises import RECOVERY_SECONDS
from soak._questions import ask_addresses
from soak._questions import is_ready
from soak._world import World

READY_SECONDS = 10.0
READY_STEP_SECONDS = 0.1
CALM_SECONDS = 0.5
LAST_SECONDS = 2.0
CLOSE_SECONDS = 0.2


def run_seed(seed, folder, faults=None):
    """Run one seed; return its records and what they break.

    Parameters
    ----------
    seed : int
        Decides all choices.
    folder : pathlib.Path
        Where hosts write their logs.
    faults : list of Fault, optional
        Faults to strike with in place of those that the seed draws.

    Returns
    -------
    tuple of Records and list of Violation
    """
    source = random.Random(seed)
    drawn = draw_faults(source)
    chosen = drawn if faults is None else faults
    records = asyncio.run(_play(source, folder, chosen))
    return records, broken_promises(records)


async def _play(source, folder, faults):
    world = World(folder)
    callers = Callers(world, source)
    try:
        await world.start()
        await _until_ready(world)
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run())
            await asyncio.sleep(CALM_SECONDS)
            await asyncio.gather(*(fault.strike(world) for fault in faults))
            world.records.healed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(RECOVERY_SECONDS + LAST_SECONDS)
            _note_ends(world)
            callers.stop()
    finally:
        world.stop()
        # Connections that were reset end on the next rounds of the loop.
        await asyncio.sleep(CLOSE_SECONDS)
    return world.records


async def _until_ready(world):
    """Wait until all hosts know a configuration and each other."""
    async with asyncio.timeout(READY_SECONDS):
        for host in world.hosts:
            while not await is_ready(host):
                await asyncio.sleep(READY_STEP_SECONDS)
            while len(await ask_addresses(host)) < len(world.hosts):
                await asyncio.sleep(READY_STEP_SECONDS)


def _note_ends(world):
    for host in world.hosts:
        code = host.own_end()
        if code is not None:
            world.records.exits.append((host.number, code))
