"""Counts and logs of the reads by which a host learns of changes."""

import collections
import contextlib
import enum
import logging

from apricotseam.errors import ApricotseamError

_LOG = logging.getLogger(__name__)

# Of the reads that succeed, shorter and smaller ones are only counted.
LOGGED_SECONDS = 0.5
LOGGED_BYTES = 32 << 10


class ReadOutcome(enum.StrEnum):
    """How a read ended."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    FAILED = "failed"


class Read:
    """One read under way.

    Parameters
    ----------
    now : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    items : int
        Number of items that were read so far.
    """

    __slots__ = ("_answered_at", "_now", "_size_bytes", "items")

    def __init__(self, now):
        self._now = now
        self._answered_at = None
        self._size_bytes = 0
        self.items = 0

    @property
    def size_bytes(self):
        """Size of the answers, as far as they stated it."""
        return self._size_bytes

    def note_answer(self, size_bytes):
        """Record that an answer of a size begins; 0 if it states none."""
        if self._answered_at is None:
            self._answered_at = self._now()
        self._size_bytes += size_bytes

    def transfer_seconds(self):
        """Return the time since the first answer began, 0 before that."""
        if self._answered_at is None:
            return 0.0
        return self._now() - self._answered_at


class ReadLog:
    """Counts the reads of a host by source, and logs long ones.

    Parameters
    ----------
    now : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    counts : collections.Counter
        Number of reads by source and `ReadOutcome`.

    Examples
    --------
    >>> log = ReadLog(lambda: 0.0)
    >>> with log.record("gap") as read:
    ...     read.items += 2
    >>> log.counts["gap", ReadOutcome.CHANGED]
    1
    """

    def __init__(self, now):
        self._now = now
        self.counts = collections.Counter()

    @contextlib.contextmanager
    def record(self, source):
        """Count what happens in the context as one read.

        Parameters
        ----------
        source : str
            Why or from whom the host reads.

        Yields
        ------
        Read
            To be filled in by the caller.
        """
        read = Read(self._now)
        begun_at = self._now()
        try:
            yield read
        except ApricotseamError as error:
            self._finish(source, read, begun_at, ReadOutcome.FAILED, error)
            raise
        is_changed = read.items > 0
        outcome = ReadOutcome.CHANGED if is_changed else ReadOutcome.UNCHANGED
        self._finish(source, read, begun_at, outcome)

    def _finish(self, source, read, begun_at, outcome, error=None):
        self.counts[source, outcome] += 1
        transfer_seconds = read.transfer_seconds()
        is_long = transfer_seconds >= LOGGED_SECONDS
        is_large = read.size_bytes >= LOGGED_BYTES
        if error is None and not is_long and not is_large:
            return
        _LOG.info(
            "changes_read",
            extra={
                "source": source,
                "outcome": outcome.value,
                "items": read.items,
                "bytes": read.size_bytes,
                "seconds": round(self._now() - begun_at, 3),
                "transfer_seconds": round(transfer_seconds, 3),
                "error": "" if error is None else str(error),
            },
        )
