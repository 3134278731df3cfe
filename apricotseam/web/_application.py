"""A small WSGI application: routes, JSON bodies and typed errors."""

import http
import logging
import re

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import RequestTooLargeError
from apricotseam.errors import UnknownNameError

_LOG = logging.getLogger(__name__)

JSON_TYPE = "application/json"


class Request:
    """One HTTP request as the handlers see it.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    arguments : dict of str to str
        Named parts of the path.
    max_body_bytes : int
        Bound on the body.

    Attributes
    ----------
    record : object
        What a handler notes of the request; None until it is set.
    """

    __slots__ = ("_environ", "_max_body_bytes", "arguments", "record")

    def __init__(self, environ, arguments, max_body_bytes):
        self._environ = environ
        self._max_body_bytes = max_body_bytes
        self.arguments = arguments
        self.record = None

    @property
    def method(self):
        """The HTTP method in capitals."""
        return self._environ["REQUEST_METHOD"]

    @property
    def path(self):
        """The path without the query."""
        return self._environ["PATH_INFO"]

    @property
    def query(self):
        """The query string as sent."""
        return self._environ.get("QUERY_STRING", "")

    @property
    def peer(self):
        """The IP address of the other side."""
        return self._environ.get("REMOTE_ADDR", "")

    def header(self, name, default=None):
        """Return a header by its usual name, or the default."""
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        return self._environ.get(key, default)

    def body(self):
        """Return the whole body.

        Raises
        ------
        RequestTooLargeError
            If the body is over the bound.
        InvalidRequestError
            If the stated length is no number or the body is cut short.
        """
        stated = self._environ.get("CONTENT_LENGTH") or "0"
        if self._environ.get("HTTP_TRANSFER_ENCODING"):
            return self._read(self._max_body_bytes + 1)
        if not stated.isdigit():
            raise InvalidRequestError(
                f"Content-Length {stated!r} is no number",
                "state the length of the body",
            )
        self._check_size(int(stated))
        return self._read(int(stated))

    def json(self, record_type):
        """Return the body as a checked record.

        Raises
        ------
        InvalidRequestError
            If the body is not JSON of that type.
        """
        try:
            return msgspec.json.decode(self.body(), type=record_type)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise InvalidRequestError(
                f"the body is not valid: {error}", "correct the JSON body"
            ) from None

    def _read(self, size):
        try:
            body = self._environ["wsgi.input"].read(size)
        except (OSError, ValueError) as error:
            raise InvalidRequestError(
                f"the body could not be read: {error}", "send it again"
            ) from None
        self._check_size(len(body))
        self._environ.get("apricotseam.received", _nothing)()
        return body

    def _check_size(self, size):
        if size > self._max_body_bytes:
            raise RequestTooLargeError(
                f"a body over {self._max_body_bytes} bytes",
                "send a smaller body",
            )


def _nothing():
    """Stand for servers that bound the time of receiving elsewhere."""


class Response:
    """One HTTP response.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes or iterator of bytes
        The body; an iterator is streamed in chunks.
    content_type : str
        Media type of the body.
    headers : list of (str, str)
        Further headers.
    """

    __slots__ = ("body", "content_type", "headers", "status")

    def __init__(
        self, status=200, body=b"", content_type=JSON_TYPE, headers=()
    ):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = list(headers)

    @classmethod
    def of(cls, record, status=200, headers=()):
        """Return a JSON response of a record."""
        return cls(status, msgspec.json.encode(record), headers=headers)


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller reads of an error."""

    code: str
    outcome: str
    message: str
    remedy: str
    retry_after: float | None = None


def error_body(error):
    """Return the `ErrorBody` of an error of the project."""
    return ErrorBody(
        code=error.code,
        outcome=error.outcome.value,
        message=error.found,
        remedy=error.remedy,
        retry_after=error.retry_after,
    )


class Route:
    """Method, path pattern and handler of one call."""

    __slots__ = ("handler", "method", "pattern")

    def __init__(self, method, pattern, handler):
        self.method = method
        self.pattern = pattern
        self.handler = handler


class Application:
    """Routes requests to handlers and turns errors into JSON.

    Parameters
    ----------
    max_body_bytes : int
        Bound on request bodies.
    """

    def __init__(self, max_body_bytes=1 << 20):
        self._routes = []
        self._listed = []
        self._max_body_bytes = max_body_bytes

    @property
    def routes(self):
        """All `Route` records in the order of their declaration."""
        return list(self._listed)

    def route(self, method, pattern, handler):
        """Send requests of a method and path pattern to a handler.

        Parameters
        ----------
        method : str
            HTTP method, or ``"*"`` for any.
        pattern : str
            Path in which ``{name}`` stands for one part and ``{name*}``
            for the rest.
        handler : callable
            Takes a `Request`, returns a `Response`.
        """
        self._listed.append(Route(method, pattern, handler))
        expression = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", pattern)
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", expression)
        self._routes.append((method, re.compile(expression + r"\Z"), handler))

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        response = self._answer(environ)
        headers = [("Content-Type", response.content_type), *response.headers]
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        phrase = http.HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return body

    def _answer(self, environ):
        try:
            handler, arguments = self._find(environ)
            request = Request(environ, arguments, self._max_body_bytes)
            return handler(request)
        except ApricotseamError as error:
            return self._refuse(error)
        except Exception:
            _LOG.exception("request_handler_failed")
            return self._refuse(
                ApricotseamError("an internal error", "report it")
            )

    def _find(self, environ):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        for wanted, expression, handler in self._routes:
            match = expression.match(path)
            if match and wanted in ("*", method):
                return handler, match.groupdict()
        raise UnknownNameError(
            f"no call {method} {path}", "read docs/CALLERS.md"
        )

    @staticmethod
    def _refuse(error):
        headers = []
        if error.retry_after is not None:
            headers.append(
                ("Retry-After", str(max(1, round(error.retry_after))))
            )
        return Response.of(
            {"error": error_body(error)}, error.http_status, headers
        )
