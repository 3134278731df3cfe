"""Event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Selector that reports waits to a callback instead of waiting."""

    def __init__(self, on_wait):
        super().__init__()
        self._on_wait = on_wait

    def select(self, timeout=None):
        """Return the ready files; advance the clock if there are none."""
        ready = super().select(0)
        if not ready and timeout:
            self._on_wait(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for tasks without sockets."""

    def __init__(self):
        self._virtual_time = 0.0
        super().__init__(_JumpingSelector(self._advance))

    def time(self):
        """Return the virtual time in seconds."""
        return self._virtual_time

    def _advance(self, seconds):
        self._virtual_time += seconds
