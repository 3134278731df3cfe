"""Cancels streams at stages in a background thread."""

import queue
import threading

from apricotseam.errors import ApricotseamError

MAX_PENDING = 10_000
CANCEL_TIMEOUT_SECONDS = 0.3


class Canceller:
    """Sends cancellations of streams to stages in the background.

    When the queue is full, new cancellations are discarded.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    clock : Clock
        Source of deadlines.
    """

    def __init__(self, engine, clock):
        self._engine = engine
        self._clock = clock
        self._pending = queue.Queue(MAX_PENDING)
        self._lock = threading.Lock()
        self._thread = None

    def cancel(self, addresses, stream):
        """Queue the cancellation of a stream; does not block."""
        for address in addresses:
            try:
                self._pending.put_nowait((address, stream))
            except queue.Full:
                return
        with self._lock:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="cancel", daemon=True
                )
                self._thread.start()

    def _run(self):
        while True:
            address, stream = self._pending.get()
            deadline = self._clock.monotonic() + CANCEL_TIMEOUT_SECONDS
            try:
                self._engine.cancel(address, stream, deadline)
            except ApricotseamError:
                continue
