"""A `cheroot` server that limits slow and idle clients.

A new connection waits in the selector until its first byte arrives, so that
clients that send nothing occupy no worker thread. A request must be received
completely by a deadline. After the deadline the receiving side of the
connection is shut down, even if bytes are still arriving.
"""

import contextlib
import socket
import threading
import time

from cheroot import server
from cheroot import wsgi

SWEEP_PERIOD_SECONDS = 0.25
REQUEST_RECEIVED_KEY = "apricotseam.received"


class _Gateway(wsgi.Gateway_10):
    """Adds a callback to the WSGI environment.

    The application calls it when it has read the request body.
    """

    def get_environ(self):
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        connection = self.req.conn
        environ[REQUEST_RECEIVED_KEY] = connection.end_receiving
        if not environ.get("HTTP_TRANSFER_ENCODING") and (
            environ.get("CONTENT_LENGTH", "0") in ("", "0")
        ):
            connection.end_receiving()
        return environ


class _Connection(server.HTTPConnection):
    """A connection that reports the start and end of each request."""

    receive_deadline = None

    def communicate(self):
        """Read one request and send the response."""
        self.server.begin_receiving(self)
        try:
            return super().communicate()
        finally:
            self.server.end_request(self)

    def end_receiving(self):
        """Report that the request was received completely."""
        self.server.end_receiving(self)


class BoundedServer(wsgi.Server):
    """WSGI server that limits idle connections and the time to receive.

    Parameters
    ----------
    address : (str, int)
        IP address and port.
    application : callable
        The WSGI application.
    threads : int
        Number of worker threads.
    timeout : float
        Seconds within which a request must be received completely, and
        for which an idle connection is kept.
    max_connections : int
        Largest number of idle connections.
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
        self._receive_deadlines = {}
        self._being_served = set()
        self._sweeper = threading.Thread(
            target=self._sweep, name="listener-sweeper", daemon=True
        )

    def serve(self):
        """Serve until stopped."""
        self._sweeper.start()
        super().serve()

    def process_conn(self, conn):
        """Pass a connection to a worker, or a new one to the selector.

        A new connection is closed if the limit on idle connections is
        reached.
        """
        if conn.last_used is not None:
            super().process_conn(conn)
        elif self.can_add_keepalive_connection:
            self._connections.put(conn)
        else:
            conn.close()

    def begin_receiving(self, conn):
        """Set the deadline by which the request must be received."""
        self._being_served.add(conn)
        self._receive_deadlines[conn] = time.monotonic() + self.timeout

    def end_receiving(self, conn):
        """Remove the deadline, as the request was received."""
        self._receive_deadlines.pop(conn, None)

    def end_request(self, conn):
        """Forget a connection whose request was answered or abandoned."""
        self._receive_deadlines.pop(conn, None)
        self._being_served.discard(conn)

    def shut_down_connections(self):
        """Shut down every connection that a worker is serving."""
        for conn in list(self._being_served):
            with contextlib.suppress(OSError):
                conn.socket.shutdown(socket.SHUT_RDWR)

    def _sweep(self):
        """Shut down connections whose requests are overdue."""
        while self.ready:
            now = time.monotonic()
            for conn, deadline in list(self._receive_deadlines.items()):
                if deadline <= now:
                    self._receive_deadlines.pop(conn, None)
                    with contextlib.suppress(OSError):
                        conn.socket.shutdown(socket.SHUT_RD)
            time.sleep(SWEEP_PERIOD_SECONDS)
