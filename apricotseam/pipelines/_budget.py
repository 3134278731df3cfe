"""Bound on the recorded inputs of all streams of a process."""

import threading

TOTAL_RECORDED_BYTES = 16 << 20


class RecordBudget:
    """Bytes that the recorded inputs of all streams may take.

    Parameters
    ----------
    total_bytes : int
        The bound in bytes.

    Examples
    --------
    >>> budget = RecordBudget(10)
    >>> budget.take(8), budget.take(8)
    (True, False)
    >>> budget.give_back(8)
    >>> budget.used_bytes
    0
    """

    __slots__ = ("_lock", "_total_bytes", "_used_bytes")

    def __init__(self, total_bytes=TOTAL_RECORDED_BYTES):
        self._total_bytes = total_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self):
        """Bytes that are taken now."""
        return self._used_bytes

    def take(self, count):
        """Take a number of bytes; return whether they were left."""
        with self._lock:
            if self._used_bytes + count > self._total_bytes:
                return False
            self._used_bytes += count
            return True

    def give_back(self, count):
        """Give back a number of bytes."""
        with self._lock:
            self._used_bytes -= count
