"""Stand-in for a plain service that counts executed requests."""

import collections
import threading

from apricotseam.standins._server import StandIn
from apricotseam.web import Response


class ServiceStandIn(StandIn):
    """A server that accepts any request and counts executions by request id.

    Parameters
    ----------
    name : str
        Name of the server, stated in its responses.
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.

    Attributes
    ----------
    runs : collections.Counter
        Number of executions by the ``X-Request-Id`` header.
    """

    def __init__(self, name, address="127.0.0.1:0"):
        super().__init__(address)
        self._name = name
        self._lock = threading.Lock()
        self.runs = collections.Counter()
        self.application.route("GET", "/service/v1/report", self._report)
        self.application.route("GET", "/service/v1/runs", self._list_runs)
        self.application.route("*", "/{path*}", self._run)

    def _report(self, request):
        return Response.of({"name": self._name, "load": 0.0})

    def _list_runs(self, request):
        with self._lock:
            return Response.of(dict(self.runs))

    def _run(self, request):
        identifier = request.header("X-Request-Id", "")
        body = request.body()
        with self._lock:
            self.runs[identifier] += 1
        return Response.of(
            {
                "server": self._name,
                "method": request.method,
                "path": request.path,
                "bytes": len(body),
            }
        )
