"""Stand-in for the weight store, which limits the rate of loads."""

import threading
import time

from apricotseam.errors import LimitExceededError
from apricotseam.external import LoadRoom
from apricotseam.standins._server import StandIn
from apricotseam.web import Response

WINDOW_SECONDS = 60.0


class WeightStoreStandIn(StandIn):
    """Allows a limited number of loads to start in any minute.

    Further loads are refused.

    Parameters
    ----------
    loads_per_minute : int
        Number of loads that may start in any window of 60 s.
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.

    Attributes
    ----------
    started : list of float
        Start times of the allowed loads, on the monotonic clock.
    refused : int
        Number of refused loads.
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
            return Response.of(LoadRoom(available=self._available_loads()))

    def _start(self, request):
        with self._lock:
            if self._available_loads() < 1:
                self.refused += 1
                raise LimitExceededError(
                    f"limit of {self._limit} loads per minute reached",
                    "wait",
                )
            self.started.append(time.monotonic())
        return Response.of({})

    def _available_loads(self):
        window_start = time.monotonic() - WINDOW_SECONDS
        recent = [start for start in self.started if start > window_start]
        return max(0, self._limit - len(recent))
