"""HTTP client that tells an unsent request from a lost response."""

import time

import msgspec
import urllib3

from apricotseam.errors import AnswerLostError
from apricotseam.errors import TargetError
from apricotseam.web._connections import ConnectionPool
from apricotseam.web._connections import MIN_TIMEOUT_SECONDS
from apricotseam.web._connections import UnreachableError


class HttpResponse:
    """Status, headers and body of a response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : urllib3.HTTPHeaderDict
        Headers; names are case-insensitive.
    body : bytes
        The complete body.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self, record_type):
        """Decode the JSON body and validate it against a type.

        Parameters
        ----------
        record_type : type
            Type that `msgspec` decodes to.

        Raises
        ------
        TargetError
            If the body is not valid JSON of that type.
        """
        try:
            return msgspec.json.decode(self.body, type=record_type)
        except msgspec.DecodeError as error:
            raise TargetError(
                f"invalid response body: {error}",
                "check the version of the server",
            ) from None


class HttpClient:
    """Sends requests to other processes; never retries.

    Parameters
    ----------
    max_connections : int
        Largest number of idle connections per address.
    tls : ssl.SSLContext, optional
        Client-side context; plain HTTP without it.
    """

    def __init__(self, max_connections=64, tls=None):
        self._scheme = "https" if tls is not None else "http"
        options = {"ssl_context": tls} if tls is not None else {}
        self._connections = ConnectionPool(max_connections, tls)
        self._streaming_pool = urllib3.PoolManager(
            num_pools=256, maxsize=max_connections, retries=False, **options
        )

    def call(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one request and return the complete response.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        method, path : str
            Method, and path with the query string.
        body : bytes or record, optional
            Body of the request; a record is encoded as JSON.
        deadline : float, optional
            Monotonic time in seconds by which the response must be
            received; unlimited by default.
        headers : dict, optional
            Additional headers.

        Returns
        -------
        HttpResponse

        Raises
        ------
        UnreachableError
            If no connection could be made; nothing was sent.
        AnswerLostError
            If the request may have been sent and no complete response was
            received.
        """
        response = self._connections.exchange(
            address, method, path, _encode_body(body), headers, deadline
        )
        return HttpResponse(response.status, response.headers, response.data)

    def call_on_new_connection(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one request over a new connection; otherwise like `call`.

        The server may close an idle connection just as a request is written
        to it, which leaves open whether the request was received. A new
        connection that fails to open proves that nothing was sent.

        Raises
        ------
        UnreachableError, AnswerLostError
            As for `call`.
        """
        headers = {**(headers or {}), "Connection": "close"}
        response = self._connections.exchange(
            address, method, path, _encode_body(body), headers, deadline, False
        )
        return HttpResponse(response.status, response.headers, response.data)

    def stream(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one request; return the `urllib3` response, body unread.

        Raises
        ------
        UnreachableError, AnswerLostError
            As for `call`.
        """
        try:
            return self._streaming_pool.request(
                method,
                f"{self._scheme}://{address}{path}",
                body=_encode_body(body),
                headers=headers,
                timeout=_urllib3_timeout(deadline),
                preload_content=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            raise UnreachableError(
                f"no connection to {address}", "try another address"
            ) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AnswerLostError(
                f"no complete response from {address}"
                f" ({type(error).__name__})",
                "check whether the call took effect before retrying it",
            ) from None

    def close(self):
        """Close all idle connections."""
        self._connections.close()
        self._streaming_pool.clear()


def _encode_body(body):
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _urllib3_timeout(deadline):
    if deadline is None:
        return urllib3.Timeout(total=None)
    seconds_left = max(deadline - time.monotonic(), MIN_TIMEOUT_SECONDS)
    return urllib3.Timeout(total=seconds_left)
