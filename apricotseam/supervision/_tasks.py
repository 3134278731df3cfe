"""Supervisor of asyncio tasks."""

import asyncio
import collections
import logging

from apricotseam.supervision._supervisor import MAX_RESTARTS
from apricotseam.supervision._supervisor import RESTART_DELAY_SECONDS
from apricotseam.supervision._supervisor import RESTART_WINDOW_SECONDS

_LOG = logging.getLogger(__name__)

MAX_RESTART_DELAY_SECONDS = 5.0


class TaskSupervisor:
    """Runs coroutine functions as tasks; restarts those that fail.

    A child that returns is not restarted. One that fails again and again is
    restarted at growing intervals, while the others go on. The process does
    not end, as what makes a child fail is often an input that the next
    process, or the next host with the same duty, would meet again.

    Parameters
    ----------
    on_failure : callable, optional
        Called with the name of a child each time that it fails.
    """

    def __init__(self, on_failure=None):
        self._on_failure = on_failure or (lambda name: None)
        self._tasks = {}
        # Loop times at which recent restarts cease to count, by child.
        self._restarts = collections.defaultdict(collections.deque)

    def start(self, name, run):
        """Start a child on the running event loop.

        Parameters
        ----------
        name : str
            Name of the child.
        run : callable
            Coroutine function without arguments.
        """
        loop = asyncio.get_running_loop()
        self._tasks[name] = loop.create_task(
            self._run_with_restarts(name, run)
        )

    async def stop(self):
        """Cancel all children and wait until they have ended."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks.clear()

    def is_failing(self, name):
        """Return whether a child fails again and again.

        It does if it failed more than `MAX_RESTARTS` times in the last
        `RESTART_WINDOW_SECONDS`.

        Parameters
        ----------
        name : str
            Name of the child.
        """
        return self._recent_restarts(name) > MAX_RESTARTS

    def _recent_restarts(self, name):
        restarts = self._restarts[name]
        now = asyncio.get_running_loop().time()
        while restarts and restarts[0] <= now:
            restarts.popleft()
        return len(restarts)

    async def _run_with_restarts(self, name, run):
        loop = asyncio.get_running_loop()
        while True:
            try:
                await run()
                return
            except Exception:
                _LOG.exception("child_failed", extra={"child": name})
            self._on_failure(name)
            window_ends_at = loop.time() + RESTART_WINDOW_SECONDS
            self._restarts[name].append(window_ends_at)
            await asyncio.sleep(self._delay_seconds(name))

    def _delay_seconds(self, name):
        """Return the time until a child that has failed is restarted."""
        excess = max(0, self._recent_restarts(name) - MAX_RESTARTS)
        if excess == 1:
            _LOG.critical("child_fails_again", extra={"child": name})
        return min(
            MAX_RESTART_DELAY_SECONDS, RESTART_DELAY_SECONDS * 2**excess
        )
