"""Event loop whose time jumps to the next timer."""

import asyncio
import selectors


class DeadlockError(RuntimeError):
    """No timer is left although the simulation has not ended."""


class _Selector(selectors.SelectSelector):
    """Selector that advances simulated time instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        """Advance the time by a timeout; no file is ever ready."""
        if timeout is None:
            raise DeadlockError(
                "every task waits for another: look for a future that"
                " nothing resolves"
            )
        if timeout > 0:
            self.now += timeout
        return []


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop for coroutines that wait for timers only.

    Time starts at 0 and passes only while all tasks wait.

    Examples
    --------
    >>> loop = SimulatedLoop()
    >>> loop.run_until_complete(asyncio.sleep(3600.0))
    >>> round(loop.time())
    3600
    >>> loop.close()
    """

    def __init__(self):
        self._simulated = _Selector()
        super().__init__(self._simulated)
        # Timers due within this time run together.
        self._clock_resolution = 1e-9

    def time(self):
        """Return the simulated time in seconds."""
        return self._simulated.now
