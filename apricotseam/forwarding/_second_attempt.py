"""A second attempt that runs beside a silent one."""

import asyncio


class SecondAttempt:
    """Prepares an attempt in a task, until it takes over or is dropped.

    Parameters
    ----------
    attempt : StreamAttempt
        The second attempt.
    silent : frozenset of tuple
        Incarnations of the targets whose silence led to it. They count as
        failed for the call until it turns out that the second attempt fails
        or isn't needed.
    record_result : callable
        Coroutine function that takes an attempt and a method of it; see
        `StreamAttempt`.
    on_end : callable
        Called once the second attempt has received data or failed.
    """

    __slots__ = ("_silent", "_task", "attempt")

    def __init__(self, attempt, silent, record_result, on_end):
        self.attempt = attempt
        self._silent = silent
        attempt.book_capacity()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(record_result(attempt, attempt.prepare))
        self._task.add_done_callback(lambda _: on_end())

    @property
    def is_starting(self):
        """Whether it has neither received data nor failed."""
        return not self._task.done()

    async def is_ready(self):
        """Wait until it has received data or failed; return which.

        If it failed, the silent targets may be tried again.
        """
        if await self._task is None:
            return True
        self._allow_silent_targets()
        return False

    def drop(self):
        """Close it, since the silent attempt has gone on."""
        self._task.cancel()
        self.attempt.close()
        self._allow_silent_targets()

    def _allow_silent_targets(self):
        self.attempt.call.failed_targets -= self._silent
