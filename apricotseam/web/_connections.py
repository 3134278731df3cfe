"""Idle connections by address and whole exchanges over them."""

import collections
import http.client
import threading
import time

import urllib3
from urllib3 import connection as urllib3_connection

from apricotseam.errors import AnswerLostError
from apricotseam.errors import RefusedError

MIN_TIMEOUT_SECONDS = 0.001
MAX_ADDRESSES = 1024


class UnreachableError(RefusedError):
    """No connection could be made, so nothing was sent."""

    code = "unreachable"


class Connections:
    """Sends calls over kept connections; never repeats one by itself.

    A pool of `urllib3` costs more than the call to a stage that it carries,
    hence its connections are kept here.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for each address.
    tls : ssl.SSLContext, optional
        Context for TLS; plain text without it.
    """

    def __init__(self, max_idle, tls=None):
        self._max_idle = max_idle
        self._tls = tls
        self._lock = threading.Lock()
        self._idle = collections.OrderedDict()

    def exchange(
        self, address, method, path, body, headers, deadline, is_kept=True
    ):
        """Send one call and return the `urllib3` response, read whole.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other side.
        method, path : str
            Method and path with query.
        body : bytes or None
            Body of the call.
        headers : dict or None
            Further headers.
        deadline : float or None
            Monotonic time by which the answer must be here.
        is_kept : bool
            Whether an idle connection may be used and kept.

        Raises
        ------
        UnreachableError
            If no connection was made; nothing was sent.
        AnswerLostError
            If the call may have been sent and no whole answer came.
        """
        connection = self._take(address) if is_kept else None
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
            raise _answer_lost(address, error) from None
        except BaseException:
            connection.close()
            raise
        if not is_kept or not self._keep(address, connection):
            connection.close()
        return response

    def close(self):
        """Close all idle connections."""
        with self._lock:
            kept = [c for idle in self._idle.values() for c in idle]
            self._idle.clear()
        for connection in kept:
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
            raise _answer_lost(address, error) from None
        return connection

    def _take(self, address):
        """Return an idle connection that the other side has not closed."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None or connection.is_connected:
                return connection
            connection.close()

    def _keep(self, address, connection):
        """Keep a connection if it is open and there is room."""
        if connection.is_closed:
            return False
        with self._lock:
            idle = self._idle.get(address)
            if idle is None:
                idle = self._idle[address] = collections.deque()
            self._idle.move_to_end(address)
            dropped = ()
            if len(self._idle) > MAX_ADDRESSES:
                _, dropped = self._idle.popitem(last=False)
            has_room = len(idle) < self._max_idle
            if has_room:
                idle.append(connection)
        for old in dropped:
            old.close()
        return has_room


def _seconds_left(deadline):
    if deadline is None:
        return None
    return max(deadline - time.monotonic(), MIN_TIMEOUT_SECONDS)


def _answer_lost(address, error):
    return AnswerLostError(
        f"{address} gave no whole answer ({type(error).__name__})",
        "read back before repeating the call",
    )
