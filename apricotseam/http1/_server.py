"""HTTP/1.1 server: reads complete requests and streams responses."""

import asyncio

from apricotseam.http1._budget import NoBudget
from apricotseam.http1._limits import Limits
from apricotseam.http1._server_connection import ServerConnection
from apricotseam.http1._sockets import ACCEPTED_AT_ONCE
from apricotseam.http1._sockets import allow_pending
from apricotseam.http1._sockets import open_listener


class Server:
    """Listens on an address and passes each request to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function that takes a `Request` and an `Exchange`. It
        is cancelled when the client closes its connection.
    limits : callable
        Returns the current `Limits`.
    count_incomplete : callable, optional
        Called with the `EndCause` of each request that this side leaves
        without a complete answer.
    budget : ConnectionBudget, optional
        Bounds on what clients make the process hold, which several servers
        share; none by default.

    Attributes
    ----------
    is_closing : bool
        Whether further responses announce that the connection is closed.
    connections : set of ServerConnection
        Open connections.
    """

    def __init__(
        self, handler, limits=Limits, count_incomplete=None, budget=None
    ):
        self.handler = handler
        self.budget = budget or NoBudget()
        self.count_incomplete = count_incomplete or (lambda cause: None)
        self.limits = limits
        self.is_closing = False
        self.connections = set()
        self._server = None

    @property
    def in_progress(self):
        """Number of requests whose handlers are running."""
        return sum(c.is_busy for c in self.connections)

    @property
    def has_unfinished(self):
        """Whether a request is being received, handled or answered."""
        return any(c.is_unfinished for c in self.connections)

    async def start(self, address):
        """Listen on ``ip:port``."""
        loop = asyncio.get_running_loop()
        sock = open_listener(address)
        self._server = await loop.create_server(
            lambda: ServerConnection(self),
            sock=sock,
            backlog=ACCEPTED_AT_ONCE,
        )
        allow_pending(sock)

    def announce_close(self):
        """Send ``Connection: close`` with the next response of each client."""
        self.is_closing = True

    def stop_listening(self):
        """Stop accepting connections and close the idle ones.

        The others close after their last answer, which announces it.
        """
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def close_idle(self):
        """Close the connections that wait for a request."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def end_requests(self):
        """End the requests that have no answer; see `end_request`."""
        for connection in list(self.connections):
            connection.end_request()

    def abort(self):
        """Close all connections at once."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()
