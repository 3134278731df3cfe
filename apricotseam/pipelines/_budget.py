"""Process-wide memory limit on the recorded inputs of all streams."""

import threading

MAX_TOTAL_RECORDED_BYTES = 16 << 20


class RecordedInputBudget:
    """Memory budget shared by the recorded inputs of all streams.

    Parameters
    ----------
    max_bytes : int
        Limit in bytes.

    Examples
    --------
    >>> budget = RecordedInputBudget(10)
    >>> budget.reserve(8), budget.reserve(8)
    (True, False)
    >>> budget.release(8)
    >>> budget.used_bytes
    0
    """

    __slots__ = ("_lock", "_max_bytes", "_used_bytes")

    def __init__(self, max_bytes=MAX_TOTAL_RECORDED_BYTES):
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._lock = threading.Lock()

    @property
    def used_bytes(self):
        """Number of bytes that are currently reserved."""
        return self._used_bytes

    def reserve(self, count):
        """Reserve bytes; return False if that would exceed the limit."""
        with self._lock:
            if self._used_bytes + count > self._max_bytes:
                return False
            self._used_bytes += count
            return True

    def release(self, count):
        """Release bytes that were reserved before."""
        with self._lock:
            self._used_bytes -= count
