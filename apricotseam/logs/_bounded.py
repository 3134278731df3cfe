"""Rate-limited, non-blocking log output as JSON lines."""

import logging
import os
import sys
import time

from apricotseam.logs._logging import make_formatter

LINES_PER_SECOND = 300
BURST_LINES = 1500


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines are dropped if the descriptor would block or if the rate limit, a
    token bucket, is exceeded. Warnings and errors are exempt from the rate
    limit. The number of dropped lines is logged with the next line that is
    written.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    now : callable, optional
        Returns the monotonic time in seconds.
    """

    def __init__(self, descriptor, now=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._now = now
        self._tokens = float(BURST_LINES)
        self._last_refill = now()
        self._unsent = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record):
        """Write a log record, or count it as dropped."""
        if not self._is_within_rate(record):
            self.dropped += 1
            return
        if self.dropped:
            record.lines_dropped = self.dropped
        line = self.format(record).encode() + b"\n"
        if self._write(line):
            self.dropped = 0
        else:
            self.dropped += 1

    def _is_within_rate(self, record):
        now = self._now()
        self._tokens = min(
            BURST_LINES,
            self._tokens + (now - self._last_refill) * LINES_PER_SECOND,
        )
        self._last_refill = now
        if record.levelno >= logging.WARNING:
            return True
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self, line):
        """Write a line; return whether it was accepted.

        If only a part of the line can be written, the rest is written
        before the next line, so that lines stay complete.
        """
        try:
            if self._unsent:
                self._unsent = self._unsent[self._write_bytes(self._unsent) :]
                if self._unsent:
                    return False
            self._unsent = line[self._write_bytes(line) :]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed its end, and the log is the only place
            # where this error could be reported.
            return False
        return True

    def _write_bytes(self, data):
        return os.write(self._descriptor, data)


def configure_bounded_logging(level=logging.INFO):
    """Log all events to standard output as rate-limited JSON lines.

    Parameters
    ----------
    level : int
        Lowest level that is logged.
    """
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
