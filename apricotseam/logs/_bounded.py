"""JSON lines on standard output that never block and are bounded."""

import logging
import os
import sys
import time

from apricotseam.logs._logging import make_formatter

LINES_PER_SECOND = 300
BURST_LINES = 1500


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; drops them when it is full.

    Warnings and errors pass the rate bound. What was dropped is counted
    and told with the next line that goes out.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is set to non-blocking.
    now : callable, optional
        Monotonic time in seconds.
    """

    def __init__(self, descriptor, now=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._room = float(BURST_LINES)
        self._refilled_at = now()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write one event, or count it as dropped."""
        if not self._has_room(record):
            self.dropped += 1
            return
        if self.dropped:
            record.lines_dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _has_room(self, record):
        now = self._now()
        self._room = min(
            BURST_LINES,
            self._room + (now - self._refilled_at) * LINES_PER_SECOND,
        )
        self._refilled_at = now
        if record.levelno >= logging.WARNING:
            return True
        if self._room < 1:
            return False
        self._room -= 1
        return True

    def _write(self, line):
        """Write a line whole; what did not fit goes before the next one."""
        try:
            if self._rest:
                self._rest = self._rest[self._put(self._rest) :]
                if self._rest:
                    return False
            self._rest = line[self._put(line) :]
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; there is nowhere to say so.
            return False
        return True

    def _put(self, data):
        return os.write(self._descriptor, data)


def configure_bounded_logging(level=logging.INFO):
    """Send all events to standard output as bounded JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
