"""Cancels streams at stages apart from the request path."""

import queue
import threading

from apricotseam.errors import ApricotseamError

MAX_WAITING = 10_000
CANCEL_SECONDS = 0.3


class Canceller:
    """Has stages drop streams; the newest orders go when too many wait.

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
        self._waiting = queue.Queue(MAX_WAITING)
        self._lock = threading.Lock()
        self._thread = None

    def cancel(self, addresses, stream):
        """Ask for a stream to be dropped; returns at once."""
        for address in addresses:
            try:
                self._waiting.put_nowait((address, stream))
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
            address, stream = self._waiting.get()
            deadline = self._clock.monotonic() + CANCEL_SECONDS
            try:
                self._engine.cancel(address, stream, deadline)
            except ApricotseamError:
                continue
