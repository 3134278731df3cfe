"""The `cheroot` server with bounds against slow and idle clients.

A new connection waits in the selector until its first byte is there, so
that silent clients take no worker. A request must be received whole by a
deadline; past it the connection is shut down, however slowly its bytes
still come.
"""

import contextlib
import socket
import threading
import time

from cheroot import server
from cheroot import wsgi

SWEEP_PERIOD_SECONDS = 0.25
RECEIVED_VARIABLE = "apricotseam.received"


class _Gateway(wsgi.Gateway_10):
    """Gives the application a way to say that the request is read."""

    def get_environ(self):
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        connection = self.req.conn
        environ[RECEIVED_VARIABLE] = connection.end_receiving
        if not environ.get("HTTP_TRANSFER_ENCODING") and (
            environ.get("CONTENT_LENGTH", "0") in ("", "0")
        ):
            connection.end_receiving()
        return environ


class _Connection(server.HTTPConnection):
    """A connection that knows by when its request must be received."""

    receive_deadline = None

    def communicate(self):
        """Read one request and answer it."""
        self.server.begin_receiving(self)
        try:
            return super().communicate()
        finally:
            self.server.end_request(self)

    def end_receiving(self):
        """Note that the request was received whole."""
        self.server.end_receiving(self)


class BoundedServer(wsgi.Server):
    """WSGI server with bounds on connections and on receiving.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    application : callable
        The WSGI application.
    threads : int
        Number of workers.
    timeout : float
        Seconds by which a request must be received and for which an idle
        connection is kept.
    max_connections : int
        Bound on idle connections.
    """

    ConnectionClass = _Connection

    def __init__(
        self, address, application, threads, timeout, max_connections
    ):
        super().__init__(
            address,
            application,
            numthreads=threads,
            timeout=timeout,
            shutdown_timeout=1,
            request_queue_size=512,
        )
        self.gateway = _Gateway
        self.keep_alive_conn_limit = max_connections
        self._receiving = {}
        self._open = set()
        self._sweeper = threading.Thread(
            target=self._sweep, name="listener-sweeper", daemon=True
        )

    def serve(self):
        """Serve until stopped."""
        self._sweeper.start()
        super().serve()

    def process_conn(self, conn):
        """Give a readable connection to a worker, else to the selector."""
        if conn.last_used is not None:
            super().process_conn(conn)
        elif self.can_add_keepalive_connection:
            self._connections.put(conn)
        else:
            conn.close()

    def begin_receiving(self, conn):
        """Start the time in which a connection's request must arrive."""
        self._open.add(conn)
        self._receiving[conn] = time.monotonic() + self.timeout

    def end_receiving(self, conn):
        """End that time."""
        self._receiving.pop(conn, None)

    def end_request(self, conn):
        """Note that a request was answered or given up."""
        self._receiving.pop(conn, None)
        self._open.discard(conn)

    def cut_connections(self):
        """Shut down every connection that a worker serves."""
        for conn in list(self._open):
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)

    def _sweep(self):
        while self.ready:
            now = time.monotonic()
            for conn, deadline in list(self._receiving.items()):
                if deadline <= now:
                    self._receiving.pop(conn, None)
                    with contextlib.suppress(OSError):
                        conn.socket.shutdown(socket.SHUT_RD)
            time.sleep(SWEEP_PERIOD_SECONDS)
