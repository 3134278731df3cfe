"""Counts requests in progress and refuses new ones during shutdown."""

import threading

from apricotseam.errors import LeavingError
from apricotseam.web import error_body
from apricotseam.web import Response

# Neither counted nor refused: health checks, and the addresses by which
# callers find another host.
EXEMPT_PATHS = ("/healthz", "/v1/addresses")


class DrainMiddleware:
    """WSGI middleware around the callers' application.

    A request is in progress from its headers to the end of its body.

    Parameters
    ----------
    application : callable
        The application that is wrapped.
    """

    def __init__(self, application):
        self._application = application
        self._lock = threading.Lock()
        self._in_progress = 0
        self._is_refusing = False

    @property
    def in_progress(self):
        """Number of requests in progress."""
        return self._in_progress

    def refuse(self):
        """Refuse new requests from now on."""
        with self._lock:
            self._is_refusing = True

    def __call__(self, environ, start_response):
        """Pass a request on, or answer 503 and state that it was not run."""
        if environ["PATH_INFO"] in EXEMPT_PATHS:
            return self._application(environ, start_response)
        with self._lock:
            is_refused = self._is_refusing
            if not is_refused:
                self._in_progress += 1
        if is_refused:
            return _refuse_request(start_response)
        try:
            body = self._application(environ, start_response)
        except BaseException:
            self._end_request()
            raise
        return _TrackedBody(body, self._end_request)

    def _end_request(self):
        with self._lock:
            self._in_progress -= 1


class _TrackedBody:
    """Response body that calls back once when it is closed."""

    __slots__ = ("_body", "_iterator", "_on_close")

    def __init__(self, body, on_close):
        self._body = body
        self._iterator = iter(body)
        self._on_close = on_close

    def __iter__(self):
        return self

    def __next__(self):
        return next(self._iterator)

    def close(self):
        """Close the body; call ``on_close`` the first time."""
        on_close, self._on_close = self._on_close, None
        try:
            if hasattr(self._body, "close"):
                self._body.close()
        finally:
            if on_close is not None:
                on_close()


def _refuse_request(start_response):
    error = LeavingError(
        "this host is leaving and did not run the request",
        "ask any host for addresses at GET /v1/addresses and send it there",
        retry_after=1,
    )
    response = Response.of({"error": error_body(error)})
    headers = [
        ("Content-Type", response.content_type),
        ("Content-Length", str(len(response.body))),
        ("Retry-After", "1"),
        ("Connection", "close"),
    ]
    start_response("503 Service Unavailable", headers)
    return [response.body]
