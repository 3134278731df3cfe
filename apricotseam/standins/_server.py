"""Base of all stand-ins: an HTTP server that can be told to fail."""

import collections
import socket
import threading

from apricotseam.standins._faults import FaultOrder
from apricotseam.standins._faults import Faults
from apricotseam.web import Application
from apricotseam.web import Listener
from apricotseam.web import Response


class StandIn:
    """An HTTP server with routes of a subclass, faults and counted calls.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 takes a free one.
    threads : int
        Number of worker threads.
    """

    def __init__(self, address="127.0.0.1:0", threads=16):
        self.faults = Faults()
        self.application = Application(max_body_bytes=64 << 20)
        self.application.route("POST", "/standin/faults", self._set_faults)
        self.application.route("GET", "/standin/calls", self._read_calls)
        self._calls = collections.Counter()
        self._calls_lock = threading.Lock()
        self._listener = Listener(
            self._serve, address, threads=threads, socket_timeout=60.0
        )

    @property
    def address(self):
        """The bound address as ``ip:port``."""
        return self._listener.address

    def start(self):
        """Start to serve; return the stand-in itself."""
        self._listener.start()
        return self

    def stop(self):
        """Stop as a killed process would: no answer is finished."""
        self._listener.stop()

    def _set_faults(self, request):
        self.faults.set(request.json(FaultOrder))
        return Response.of({})

    def _read_calls(self, request):
        with self._calls_lock:
            return Response.of(dict(self._calls))

    def _serve(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self.application(environ, start_response)
        with self._calls_lock:
            self._calls[_family(path)] += 1
        if self.faults.before():
            _cut(environ)
            start_response("503 Service Unavailable", [])
            return [b""]
        answer = self.application(environ, start_response)
        if self.faults.take_drop(environ["PATH_INFO"]):
            _cut(environ)
        return answer


def _family(path):
    """Return the first three parts of a path, so that the count is bounded."""
    return "/".join(path.split("/")[:4])


def _cut(environ):
    """Shut the connection down so that no answer arrives."""
    reader = environ["wsgi.input"]
    while hasattr(reader, "rfile"):
        reader = reader.rfile
    raw = getattr(reader, "raw", None)
    sock = getattr(raw, "_sock", None)
    if sock is not None:
        sock.shutdown(socket.SHUT_RDWR)
