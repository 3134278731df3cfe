"""A small WSGI framework: routing, JSON bodies and typed errors."""

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
    """One HTTP request, as passed to the handlers.

    Parameters
    ----------
    environ : dict
        The WSGI environment.
    arguments : dict of str to str
        Values of the named parts of the path.
    max_body_bytes : int
        Largest size of the body in bytes.

    Attributes
    ----------
    record : object
        Data that a handler attaches to the request; None until it is set.
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
        """The path without the query string."""
        return self._environ["PATH_INFO"]

    @property
    def query(self):
        """The query string as sent."""
        return self._environ.get("QUERY_STRING", "")

    @property
    def peer(self):
        """The IP address of the client."""
        return self._environ.get("REMOTE_ADDR", "")

    def header(self, name, default=None):
        """Return a header, or the default if it is missing.

        Parameters
        ----------
        name : str
            Name of the header in any case, such as ``Content-Type``.
        default : object, optional
            What is returned for a missing header.
        """
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = "HTTP_" + key
        return self._environ.get(key, default)

    def body(self):
        """Return the complete body.

        Raises
        ------
        RequestTooLargeError
            If the body is larger than the limit.
        InvalidRequestError
            If ``Content-Length`` is not a number or the body cannot be
            read.
        """
        length_text = self._environ.get("CONTENT_LENGTH") or "0"
        if self._environ.get("HTTP_TRANSFER_ENCODING"):
            return self._read(self._max_body_bytes + 1)
        if not length_text.isdigit():
            raise InvalidRequestError(
                f"Content-Length {length_text!r} is not a number",
                "send the length of the body in bytes",
            )
        self._check_size(int(length_text))
        return self._read(int(length_text))

    def json(self, record_type):
        """Decode the JSON body and validate it against a type.

        Parameters
        ----------
        record_type : type
            Type that `msgspec` decodes to.

        Raises
        ------
        InvalidRequestError
            If the body is not valid JSON of that type.
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
                f"the body could not be read: {error}",
                "send the request again",
            ) from None
        self._check_size(len(body))
        self._environ.get("apricotseam.received", _do_nothing)()
        return body

    def _check_size(self, size):
        if size > self._max_body_bytes:
            raise RequestTooLargeError(
                f"the body is larger than {self._max_body_bytes} bytes",
                "send a smaller body",
            )


def _do_nothing():
    """Default callback, for servers that set no receive deadline."""


class Response:
    """One HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterator of bytes
        The body; an iterator is streamed in chunks.
    content_type : str
        Media type of the body.
    headers : list of (str, str)
        Additional headers.
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
        """Return a response whose body is a record as JSON."""
        return cls(status, msgspec.json.encode(record), headers=headers)


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """JSON form of an error in a response."""

    code: str
    outcome: str
    message: str
    remedy: str
    retry_after: float | None = None


def error_body(error):
    """Return the `ErrorBody` of an `ApricotseamError`."""
    return ErrorBody(
        code=error.code,
        outcome=error.outcome.value,
        message=error.found,
        remedy=error.remedy,
        retry_after=error.retry_after,
    )


class Route:
    """Method, path pattern and handler of one endpoint."""

    __slots__ = ("handler", "method", "pattern")

    def __init__(self, method, pattern, handler):
        self.method = method
        self.pattern = pattern
        self.handler = handler


class Application:
    """Routes requests to handlers and returns errors as JSON.

    Parameters
    ----------
    max_body_bytes : int
        Largest size of a request body in bytes.
    """

    def __init__(self, max_body_bytes=1 << 20):
        self._compiled_routes = []
        self._route_records = []
        self._max_body_bytes = max_body_bytes

    @property
    def routes(self):
        """All `Route` objects in the order in which they were added."""
        return list(self._route_records)

    def route(self, method, pattern, handler):
        """Add a route from a method and path pattern to a handler.

        Parameters
        ----------
        method : str
            HTTP method, or ``"*"`` for any.
        pattern : str
            Path in which ``{name}`` matches one segment and ``{name*}``
            the rest of the path.
        handler : callable
            Takes a `Request`, returns a `Response`.
        """
        self._route_records.append(Route(method, pattern, handler))
        expression = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.*)", pattern)
        expression = re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", expression)
        self._compiled_routes.append(
            (method, re.compile(expression + r"\Z"), handler)
        )

    def __call__(self, environ, start_response):
        """Answer one WSGI request."""
        response = self._respond(environ)
        headers = [("Content-Type", response.content_type), *response.headers]
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        phrase = http.HTTPStatus(response.status).phrase
        start_response(f"{response.status} {phrase}", headers)
        return body

    def _respond(self, environ):
        try:
            handler, arguments = self._match_route(environ)
            request = Request(environ, arguments, self._max_body_bytes)
            return handler(request)
        except ApricotseamError as error:
            return self._error_response(error)
        except Exception:
            _LOG.exception("request_handler_failed")
            return self._error_response(
                ApricotseamError("an internal error", "report it")
            )

    def _match_route(self, environ):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        for route_method, expression, handler in self._compiled_routes:
            match = expression.match(path)
            if match and route_method in ("*", method):
                return handler, match.groupdict()
        raise UnknownNameError(
            f"no endpoint {method} {path}", "read docs/CALLERS.md"
        )

    @staticmethod
    def _error_response(error):
        headers = []
        if error.retry_after is not None:
            headers.append(
                ("Retry-After", str(max(1, round(error.retry_after))))
            )
        return Response.of(
            {"error": error_body(error)}, error.http_status, headers
        )
