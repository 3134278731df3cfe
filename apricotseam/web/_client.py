"""HTTP client that tells a call that was not sent from a lost answer."""

import time

import msgspec
import urllib3

from apricotseam.errors import AnswerLostError
from apricotseam.errors import TargetError
from apricotseam.web._connections import Connections
from apricotseam.web._connections import MIN_TIMEOUT_SECONDS
from apricotseam.web._connections import UnreachableError


class HttpAnswer:
    """Status, headers and body of an answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self, record_type):
        """Return the body as a checked record.

        Raises
        ------
        TargetError
            If the body is not JSON of that type.
        """
        try:
            return msgspec.json.decode(self.body, type=record_type)
        except msgspec.DecodeError as error:
            raise TargetError(
                f"an answer that is not valid: {error}",
                "check the version of the other side",
            ) from None


class HttpClient:
    """Calls other processes over HTTP; never repeats a call by itself.

    Parameters
    ----------
    max_connections : int
        Idle connections kept for each address.
    tls : ssl.SSLContext, optional
        Context for TLS; plain text without it.
    """

    def __init__(self, max_connections=64, tls=None):
        self._scheme = "https" if tls is not None else "http"
        options = {"ssl_context": tls} if tls is not None else {}
        self._connections = Connections(max_connections, tls)
        self._pool = urllib3.PoolManager(
            num_pools=256, maxsize=max_connections, retries=False, **options
        )

    def call(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one call and return its whole answer.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other side.
        method, path : str
            Method and path with query.
        body : bytes or record, optional
            Records are sent as JSON.
        deadline : float, optional
            Monotonic time by which the answer must be here.
        headers : dict, optional
            Further headers.

        Returns
        -------
        HttpAnswer

        Raises
        ------
        UnreachableError
            If no connection was made; nothing was sent.
        AnswerLostError
            If the call may have been sent and no whole answer came.
        """
        answer = self._connections.exchange(
            address, method, path, _encoded(body), headers, deadline
        )
        return HttpAnswer(answer.status, answer.headers, answer.data)

    def call_afresh(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one call over a connection of its own.

        An idle connection may be closed by the other side as the call is
        written to it; a new one either connects or carries nothing.

        Raises
        ------
        UnreachableError, AnswerLostError
            As for `call`.
        """
        headers = {**(headers or {}), "Connection": "close"}
        answer = self._connections.exchange(
            address, method, path, _encoded(body), headers, deadline, False
        )
        return HttpAnswer(answer.status, answer.headers, answer.data)

    def stream(
        self, address, method, path, body=None, deadline=None, headers=None
    ):
        """Send one call and return the open `urllib3` response.

        Raises
        ------
        UnreachableError, AnswerLostError
            As for `call`.
        """
        try:
            return self._pool.request(
                method,
                f"{self._scheme}://{address}{path}",
                body=_encoded(body),
                headers=headers,
                timeout=_timeout(deadline),
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
                f"{address} gave no whole answer ({type(error).__name__})",
                "read back before repeating the call",
            ) from None

    def close(self):
        """Close all idle connections."""
        self._connections.close()
        self._pool.clear()


def _encoded(body):
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _timeout(deadline):
    if deadline is None:
        return urllib3.Timeout(total=None)
    left = max(deadline - time.monotonic(), MIN_TIMEOUT_SECONDS)
    return urllib3.Timeout(total=left)
