"""Requests that are received while a host decides to exit."""

import socket
import threading
import time

import pytest

from apricotseam.clock import SystemClock
from apricotseam.host._drain import Drain
from apricotseam.host._drainmiddleware import DrainMiddleware
from apricotseam.host._leaving import ShutdownChild
from apricotseam.web import Listener

STOP_SECONDS = 4.0
# Time that the rest of a request takes, more than that of an idle worker.
REST_SECONDS = 1.6
REQUEST = b"POST /v1/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nabcd"


def serve(environ, start_response):
    """Application that reads the whole request."""
    environ["wsgi.input"].read(4)
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


class LeavingHost:
    """A listener, and the component that shuts it down."""

    def __init__(self):
        middleware = DrainMiddleware(serve)
        self.exited_at = None
        self._stopping = threading.Event()
        self._listener = Listener(middleware, "127.0.0.1:0")
        drain = Drain(
            valid_seconds=0.0, margin_seconds=0.0, linger_seconds=0.1
        )
        self._child = ShutdownChild(
            drain,
            middleware,
            lambda: None,
            self._listener.finish,
            self._exit,
            SystemClock(),
            STOP_SECONDS,
        )
        self._thread = threading.Thread(
            target=self._child.run, args=(self._stopping,)
        )

    @property
    def address(self):
        """Address and port of the listener."""
        host, port = self._listener.address.split(":")
        return host, int(port)

    def __enter__(self):
        self._listener.start()
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stopping.set()
        self._thread.join()
        self._listener.stop()

    def leave(self):
        """Begin the shutdown."""
        self._child.request()

    def _exit(self):
        if self.exited_at is None:
            self.exited_at = time.monotonic()


# Number of bytes that are received before the stop, status of the answer.
RECEIVED = [(1, 503), (20, 503), (len(REQUEST) - 2, 200)]


# Guards against half received requests that a planned stop cuts off.
@pytest.mark.parametrize(("received", "status"), RECEIVED)
def test_request_that_is_half_received_at_a_stop_is_answered(received, status):
    with LeavingHost() as host:
        with socket.create_connection(host.address, 10.0) as connection:
            connection.sendall(REQUEST[:received])
            time.sleep(0.3)
            host.leave()
            time.sleep(REST_SECONDS)
            connection.sendall(REQUEST[received:])
            answer = connection.recv(1000)
    assert answer.startswith(b"HTTP/1.1 %d" % status)
    assert (b"Retry-After" in answer) is (status == 503)


def test_stop_ends_although_a_request_is_never_completed():
    with LeavingHost() as host:
        with socket.create_connection(host.address, 10.0) as connection:
            connection.sendall(REQUEST[:20])
            time.sleep(0.3)
            host.leave()
            left_at = time.monotonic()
            connection.recv(1000)
            while host.exited_at is None:
                assert time.monotonic() - left_at < 2 * STOP_SECONDS
                time.sleep(0.05)
    assert host.exited_at - left_at <= STOP_SECONDS + 1.0
