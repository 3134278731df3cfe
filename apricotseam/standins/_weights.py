"""Stand-in of the weight store: counts loads and limits their rate."""

import threading
import time

from apricotseam.errors import LimitExceededError
from apricotseam.external import LoadRoom
from apricotseam.standins._server import StandIn
from apricotseam.web import Response

WINDOW_SECONDS = 60.0


class WeightStoreStandIn(StandIn):
    """Lets so many loads start in any minute and refuses the others.

    Parameters
    ----------
    loads_per_minute : int
        The limit.
    address : str
        ``ip:port``; port 0 takes a free one.
    """

    def __init__(self, loads_per_minute=6, address="127.0.0.1:0"):
        super().__init__(address)
        self._limit = loads_per_minute
        self._lock = threading.Lock()
        self.started = []
        self.refused = 0
        self.application.route("GET", "/v1/loads", self._read)
        self.application.route("POST", "/v1/loads", self._start)

    def _read(self, request):
        with self._lock:
            return Response.of(LoadRoom(available=self._room()))

    def _start(self, request):
        with self._lock:
            if self._room() < 1:
                self.refused += 1
                raise LimitExceededError(
                    f"{self._limit} loads a minute are allowed", "wait"
                )
            self.started.append(time.monotonic())
        return Response.of({})

    def _room(self):
        since = time.monotonic() - WINDOW_SECONDS
        recent = [begun for begun in self.started if begun > since]
        return max(0, self._limit - len(recent))
