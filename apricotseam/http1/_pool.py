"""Kept connections, by the server that they lead to."""

import asyncio
import collections

from apricotseam.http1._client import connect

DEFAULT_IDLE_SECONDS = 4.0
# A server may close a little before the time that it announced.
KEEPALIVE_MARGIN_SECONDS = 0.5
MAX_IDLE_EACH = 24
# A connection that was idle longer may die with a short call on it.
CALL_IDLE_SECONDS = 0.25
MAX_CALL_BYTES = 1 << 20


class Pool:
    """Idle connections of one process."""

    def __init__(self):
        self._idle = collections.defaultdict(list)
        self.opened = 0

    async def acquire(self, key, address, deadline, max_idle=None):
        """Return a kept connection or open one.

        Parameters
        ----------
        key : object
            Identity of the server; connections are never shared by two.
        address : str
            ``ip:port`` of the server.
        deadline : float
            Time of the loop's clock by which it must be open.
        max_idle : float, optional
            Longest time in seconds that a kept one may have been idle.

        Raises
        ------
        ConnectError
            If none could be opened.
        """
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key)
        while idle:
            connection = idle.pop()
            is_fresh = max_idle is None or (
                now - connection.idle_since <= max_idle
            )
            if connection.is_usable and is_fresh:
                if now < connection.expires_at:
                    return connection
            connection.close()
        self.opened += 1
        return await connect(address, deadline)

    def release(self, key, connection, answer=None):
        """Keep a connection whose answer was read to its end.

        Parameters
        ----------
        key : object
            Identity of the server.
        connection : Connection
            The connection.
        answer : Answer, optional
            Head of its last answer, for how long the server keeps it.
        """
        idle = self._idle[key]
        if not connection.is_usable or len(idle) >= MAX_IDLE_EACH:
            connection.close()
            return
        now = asyncio.get_running_loop().time()
        connection.idle_since = now
        connection.expires_at = now + _kept_seconds(answer)
        idle.append(connection)

    async def call(self, key, address, method, path, body, deadline):
        """Make one short call and return its answer and body.

        Parameters
        ----------
        key : object
            Identity of the server.
        address : str
            ``ip:port`` of the server.
        method, path : bytes
            First line of the request.
        body : bytes
            JSON, or nothing.
        deadline : float
            Time of the loop's clock.

        Raises
        ------
        TransportError
            If no whole answer came by the deadline.
        """
        headers = [(b"Host", address.encode())]
        if body:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(body)).encode()))
        connection = await self.acquire(
            key, address, deadline, CALL_IDLE_SECONDS
        )
        try:
            connection.send(method, path, headers, body)
            answer = await connection.head(deadline)
            found = await connection.read_all(deadline, MAX_CALL_BYTES)
        except BaseException:
            connection.close()
            raise
        self.release(key, connection, answer)
        return answer, found

    def drop(self, key):
        """Close the idle connections to a server."""
        for connection in self._idle.pop(key, ()):
            connection.close()

    def sweep(self):
        """Close connections that were idle for too long."""
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


def _kept_seconds(answer):
    """Return how long a server keeps an idle connection, in seconds."""
    text = answer.header(b"keep-alive") if answer is not None else None
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            announced = int(value) - KEEPALIVE_MARGIN_SECONDS
            return min(DEFAULT_IDLE_SECONDS, max(0.0, announced))
    return DEFAULT_IDLE_SECONDS
