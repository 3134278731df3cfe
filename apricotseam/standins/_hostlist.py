"""Stand-in for the platform's host list."""

import threading

from apricotseam.external import ListedHost
from apricotseam.standins._server import StandIn
from apricotseam.web import Response


class HostListStandIn(StandIn):
    """A list of hosts that tests and operators can change.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.
    """

    def __init__(self, address="127.0.0.1:0"):
        super().__init__(address)
        self._lock = threading.Lock()
        self._hosts = {}
        self.application.route("GET", "/v1/hosts", self._read)
        self.application.route("PUT", "/v1/hosts/{name}", self._set)
        self.application.route("DELETE", "/v1/hosts/{name}", self._remove)

    def set(self, host):
        """Add or replace one `ListedHost`."""
        with self._lock:
            self._hosts[host.name] = host

    def remove(self, name):
        """Remove a host from the list."""
        with self._lock:
            self._hosts.pop(name, None)

    def _read(self, request):
        with self._lock:
            return Response.of(list(self._hosts.values()))

    def _set(self, request):
        self.set(request.json(ListedHost))
        return Response.of({})

    def _remove(self, request):
        self.remove(request.arguments["name"])
        return Response.of({})
