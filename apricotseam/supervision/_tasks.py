"""A supervisor of tasks on one asyncio loop."""

import asyncio
import collections
import logging

from apricotseam.supervision._supervisor import MAX_RESTARTS
from apricotseam.supervision._supervisor import RESTART_DELAY_SECONDS
from apricotseam.supervision._supervisor import RESTART_WINDOW_SECONDS

_LOG = logging.getLogger(__name__)


class TaskSupervisor:
    """Runs coroutine functions for ever; restarts those that fail.

    Parameters
    ----------
    on_failure : callable
        Called with the name of a child that failed too often.
    """

    def __init__(self, on_failure):
        self._on_failure = on_failure
        self._tasks = {}

    def start(self, name, run):
        """Start a child.

        Parameters
        ----------
        name : str
            Its name in the log.
        run : callable
            Coroutine function without arguments.
        """
        loop = asyncio.get_running_loop()
        self._tasks[name] = loop.create_task(self._keep(name, run))

    async def stop(self):
        """Cancel all children and wait until they have ended."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()

    async def _keep(self, name, run):
        loop = asyncio.get_running_loop()
        restarts = collections.deque()
        while True:
            try:
                await run()
                return
            except Exception:
                _LOG.exception("child_failed", extra={"child": name})
            now = loop.time()
            while restarts and restarts[0] <= now:
                restarts.popleft()
            restarts.append(now + RESTART_WINDOW_SECONDS)
            if len(restarts) > MAX_RESTARTS:
                self._on_failure(name)
                return
            await asyncio.sleep(RESTART_DELAY_SECONDS)
