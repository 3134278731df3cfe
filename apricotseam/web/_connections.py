"""Pool of idle client connections by address."""

import collections
import http.client
import threading
import time

import urllib3
from urllib3 import connection as urllib3_connection

from apricotseam.errors import AnswerLostError
from apricotseam.errors import RefusedError

# A socket with a timeout of 0 would be non-blocking.
MIN_TIMEOUT_SECONDS = 0.001
MAX_IDLE_ADDRESSES = 1024


class UnreachableError(RefusedError):
    """No connection could be made, so nothing was sent."""

    code = "unreachable"


class ConnectionPool:
    """Sends requests over keep-alive connections; never retries.

    Connections of `urllib3` are pooled here, as the overhead of its own
    pool is larger than the cost of a call to a pipeline stage.

    Parameters
    ----------
    max_idle : int
        Largest number of idle connections per address.
    tls : ssl.SSLContext, optional
        Client-side context; plain HTTP without it.
    """

    def __init__(self, max_idle, tls=None):
        self._max_idle = max_idle
        self._tls = tls
        self._lock = threading.Lock()
        self._idle = collections.OrderedDict()

    def exchange(
        self, address, method, path, body, headers, deadline, allow_reuse=True
    ):
        """Send one request; return the `urllib3` response, body read.

        Parameters
        ----------
        address : str
            ``ip:port`` of the server.
        method, path : str
            Method, and path with the query string.
        body : bytes or None
            Body of the request.
        headers : dict or None
            Additional headers.
        deadline : float or None
            Monotonic time in seconds by which the response must be
            received.
        allow_reuse : bool
            Whether to use an idle connection if there is one, and to keep
            the connection afterwards.

        Raises
        ------
        UnreachableError
            If no connection could be made; nothing was sent.
        AnswerLostError
            If the request may have been sent and no complete response was
            received.
        """
        connection = self._pop_idle(address) if allow_reuse else None
        if connection is None:
            connection = self._connect(address, deadline)
        try:
            # `getresponse` sets the socket's timeout from the attribute.
            connection.timeout = _seconds_left(deadline)
            connection.sock.settimeout(connection.timeout)
            connection.request(method, path, body=body, headers=headers)
            response = connection.getresponse()
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            connection.close()
            raise _answer_lost_error(address, error) from None
        except BaseException:
            connection.close()
            raise
        if not allow_reuse or not self._store_idle(address, connection):
            connection.close()
        return response

    def close(self):
        """Close all idle connections."""
        with self._lock:
            idle_connections = [
                c for idle in self._idle.values() for c in idle
            ]
            self._idle.clear()
        for connection in idle_connections:
            connection.close()

    def _connect(self, address, deadline):
        host, port = address.rsplit(":", 1)
        timeout = _seconds_left(deadline)
        if self._tls is None:
            connection = urllib3_connection.HTTPConnection(
                host, int(port), timeout=timeout
            )
        else:
            connection = urllib3_connection.HTTPSConnection(
                host, int(port), timeout=timeout, ssl_context=self._tls
            )
        try:
            connection.connect()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            connection.close()
            raise UnreachableError(
                f"no connection to {address}", "try another address"
            ) from None
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise _answer_lost_error(address, error) from None
        return connection

    def _pop_idle(self, address):
        """Return an idle connection that is still open, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None or connection.is_connected:
                return connection
            connection.close()

    def _store_idle(self, address, connection):
        """Keep a connection if it is open and there is room.

        If there are more than `MAX_IDLE_ADDRESSES` addresses, the
        connections to the least recently used one are closed.

        Returns
        -------
        bool
            Whether the connection was kept.
        """
        if connection.is_closed:
            return False
        with self._lock:
            idle = self._idle.get(address)
            if idle is None:
                idle = self._idle[address] = collections.deque()
            self._idle.move_to_end(address)
            evicted = ()
            if len(self._idle) > MAX_IDLE_ADDRESSES:
                _, evicted = self._idle.popitem(last=False)
            has_room = len(idle) < self._max_idle
            if has_room:
                idle.append(connection)
        for old in evicted:
            old.close()
        return has_room


def _seconds_left(deadline):
    if deadline is None:
        return None
    return max(deadline - time.monotonic(), MIN_TIMEOUT_SECONDS)


def _answer_lost_error(address, error):
    return AnswerLostError(
        f"no complete response from {address} ({type(error).__name__})",
        "check whether the call took effect before retrying it",
    )
