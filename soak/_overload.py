"""More requests than a small pool of targets can serve, in some seeds."""

import asyncio
import random

from soak._callers import CallerPool
from soak._cluster import EVENT_INTERVAL_SECONDS
from soak._faults import Fault

# One seed in this many has an overload.
SEEDS_PER_OVERLOAD = 3
# Time before the first other fault, in which any refused request must not
# have run, and length of the overload.
LEAD_SECONDS = 4.0
DURATION_SECONDS = 7.0
# Slots of each engine of a small pool, and time between two events in an
# overload: three chains write five answers a second.
SMALL_POOL_SLOTS = 2
EVENT_SECONDS = 0.2
# Limit that each plain target states in an overload.
REQUESTS_PER_SECOND = 4.0
CALLERS = 60


class Overload(Fault):
    """Adds callers; engines write slowly, plain targets state limits.

    Parameters
    ----------
    rng : random.Random
        Source of the random choices of its callers.
    """

    __slots__ = ("_pool", "_rng", "_task")

    def __init__(self, rng):
        super().__init__(0.0, DURATION_SECONDS, 0)
        self._rng = rng
        self._pool = None
        self._task = None

    async def _inject(self, cluster):
        self._limit(cluster, EVENT_SECONDS, REQUESTS_PER_SECOND)
        self._pool = CallerPool(cluster, self._rng, CALLERS, "o")
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._pool.run())

    async def _remove(self, cluster):
        self._pool.stop()
        await self._task
        self._limit(cluster, EVENT_INTERVAL_SECONDS, None)

    def _limit(self, cluster, event_seconds, requests_per_second):
        for target in cluster.targets:
            if target.standin.is_engine:
                target.standin.event_seconds = event_seconds
            else:
                target.standin.requests_per_second = requests_per_second


def draw_overload(seed):
    """Return the `Overload` of a seed, or None.

    It is drawn apart from all other faults, which seeds keep.
    """
    rng = random.Random(f"{seed} overload")
    return None if rng.randrange(SEEDS_PER_OVERLOAD) else Overload(rng)


def shrink_pool(cluster):
    """Give each engine of a cluster few slots."""
    for target in cluster.targets:
        if target.standin.is_engine:
            target.standin.slots = SMALL_POOL_SLOTS
