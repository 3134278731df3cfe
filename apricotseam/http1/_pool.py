"""Pool of idle keep-alive connections, by server."""

import asyncio
import collections

from apricotseam.decoding import parse_count
from apricotseam.http1._answer_budget import AnswerBudget
from apricotseam.http1._client import connect

DEFAULT_IDLE_SECONDS = 4.0
# A server may close shortly before its announced keep-alive timeout.
KEEPALIVE_MARGIN_SECONDS = 0.5
MAX_IDLE_PER_SERVER = 24
# The server may close a connection that was idle longer just as a short call
# is sent on it.
MAX_CALL_IDLE_SECONDS = 0.25
MAX_CALL_RESPONSE_BYTES = 1 << 20


class ConnectionPool:
    """Idle connections of one process.

    Parameters
    ----------
    on_response : callable, optional
        Called with the key of the server and the `ResponseHead` as soon as
        the head of the response to a `call` has been read.
    budget : AnswerBudget, optional
        Bounds what the answers on all connections hold, with those of other
        pools that share it.

    Attributes
    ----------
    opened : int
        Number of connections that were opened or tried to open.
    """

    def __init__(self, on_response=None, budget=None):
        self._budget = AnswerBudget() if budget is None else budget
        self._on_response = on_response or (lambda key, response: None)
        self._idle = collections.defaultdict(list)
        self.opened = 0

    async def acquire(
        self, key, address, deadline, max_idle=None, excluded=frozenset()
    ):
        """Return an idle connection to a server or open a new one.

        Parameters
        ----------
        key : object
            Identity of the server; a connection is only reused for the
            key under which it was released.
        address : str
            ``ip:port`` of the server.
        deadline : float
            Time on the event loop's clock by which the connection must be
            open.
        max_idle : float, optional
            Longest time in seconds for which a reused connection may have
            been idle; unlimited by default.
        excluded : collection of Connection, optional
            Connections that are not to be used; they stay in the pool.

        Returns
        -------
        Connection

        Raises
        ------
        ConnectError
            If no connection could be opened.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key, ())
        for connection in [c for c in reversed(idle) if c not in excluded]:
            idle.remove(connection)
            is_fresh = max_idle is None or (
                now - connection.idle_since <= max_idle
            )
            if connection.is_usable and is_fresh:
                if now < connection.expires_at:
                    return connection
            connection.close()
        return await self.open(address, deadline)

    async def open(self, address, deadline):
        """Return a new connection to a server.

        Raises
        ------
        ConnectError
            If it was not open by a time on the event loop's clock.
        """
        self.opened += 1
        return await connect(address, deadline, self._budget)

    def release(self, key, connection, response=None):
        """Return a connection to the pool once its response was read.

        Parameters
        ----------
        key : object
            Identity of the server.
        connection : Connection
            The connection; closed if it cannot be reused.
        response : ResponseHead, optional
            Head of its last response, whose ``Keep-Alive`` header says how
            long the server keeps an idle connection.
        """
        idle = self._idle[key]
        if not connection.is_usable or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_since = now
        connection.expires_at = now + _keepalive_seconds(response)
        idle.append(connection)

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Send one short request and receive the complete response.

        Parameters
        ----------
        key : object
            Identity of the server.
        address : str
            ``ip:port`` of the server.
        method, path : bytes
            Method and request target of the request line.
        body : bytes
            JSON body, or empty.
        deadline : float
            Time on the event loop's clock.
        must_open : bool
            Whether to open a new connection, as kept ones may outlive the
            ability to open others.
        headers : iterable of (bytes, bytes), optional
            Further headers of the request.

        Returns
        -------
        response : ResponseHead
        body : bytes
            At most `MAX_CALL_RESPONSE_BYTES`.

        Raises
        ------
        TransportError
            If no complete response was received by the deadline, or if its
            body is too large.
        """
        headers = [(b"Host", address.encode()), *headers]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        if must_open:
            connection = await self.open(address, deadline)
        else:
            connection = await self.acquire(
                key, address, deadline, MAX_CALL_IDLE_SECONDS
            )
        try:
            connection.send(method, path, headers, body)
            response = await connection.head(deadline)
            self._on_response(key, response)
            response_body = await connection.read_all(
                deadline, MAX_CALL_RESPONSE_BYTES
            )
        except BaseException:
            connection.close()
            raise
        self.release(key, connection, response)
        return response, response_body

    def drop(self, key):
        """Close all idle connections to a server."""
        for connection in self._idle.pop(key, ()):
            connection.close()

    def sweep(self):
        """Close idle connections that have expired or are unusable."""
        now = asyncio.get_running_loop().time()
        for key, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_usable and now < connection.expires_at:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]


def _keepalive_seconds(response):
    """Return for how many seconds a connection may be kept idle."""
    text = response.header(b"keep-alive") if response is not None else None
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        number = parse_count(value)
        if name.lower() == "timeout" and number is not None:
            seconds = number - KEEPALIVE_MARGIN_SECONDS
            return min(DEFAULT_IDLE_SECONDS, max(0.0, seconds))
    return DEFAULT_IDLE_SECONDS
