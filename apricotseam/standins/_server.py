"""Base class of the stand-ins, an HTTP server with injectable faults."""

import collections
import socket
import threading

from apricotseam.standins._faults import FaultOrder
from apricotseam.standins._faults import Faults
from apricotseam.web import Application
from apricotseam.web import Listener
from apricotseam.web import Response


class StandIn:
    """An HTTP server that injects faults and counts calls.

    Subclasses add routes to ``application``. ``POST /standin/faults`` sets
    faults and ``GET /standin/calls`` returns the number of calls by the first
    parts of their paths; both are exempt from faults and not counted.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.
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
        """Stop at once, as a killed process does; no response is completed."""
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
            self._calls[_counter_key(path)] += 1
        if self.faults.apply_before_call():
            _shut_down_connection(environ)
            start_response("503 Service Unavailable", [])
            return [b""]
        response = self.application(environ, start_response)
        if self.faults.consume_drop(environ["PATH_INFO"]):
            _shut_down_connection(environ)
        return response


def _counter_key(path):
    """Return the first three parts of a path; bounds the number of keys."""
    return "/".join(path.split("/")[:4])


def _shut_down_connection(environ):
    """Shut down the connection so that no response arrives."""
    reader = environ["wsgi.input"]
    while hasattr(reader, "rfile"):
        reader = reader.rfile
    raw = getattr(reader, "raw", None)
    sock = getattr(raw, "_sock", None)
    if sock is not None:
        sock.shutdown(socket.SHUT_RDWR)
