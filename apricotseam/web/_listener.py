"""HTTP listener: a `cheroot` server bound to one address."""

import logging
import threading

from apricotseam.web._server import BoundedServer
from apricotseam.web._tls import ContextAdapter

_LOG = logging.getLogger(__name__)

MAX_CONNECTIONS = 4096
# Time to end that worker threads always have.
MIN_FINISH_SECONDS = 1.0


class Listener:
    """Serves one application on one address.

    Parameters
    ----------
    application : callable
        A WSGI application.
    address : str
        ``ip:port``; port 0 selects a free port.
    threads : int
        Number of worker threads.
    socket_timeout : float
        Seconds within which a request must be received completely, and
        for which an idle connection is kept.
    header_bytes : int
        Largest size of the request line and headers in bytes.
    tls : ssl.SSLContext, optional
        Server-side context; plain HTTP without it.
    max_connections : int
        Largest number of idle connections; further new connections are
        closed.
    """

    def __init__(
        self,
        application,
        address,
        threads=8,
        socket_timeout=10.0,
        header_bytes=1 << 16,
        tls=None,
        max_connections=MAX_CONNECTIONS,
    ):
        host, port = address.rsplit(":", 1)
        self._server = BoundedServer(
            (host, int(port)),
            application,
            threads,
            socket_timeout,
            max_connections,
        )
        self._server.max_request_header_size = header_bytes
        if tls is not None:
            self._server.ssl_adapter = ContextAdapter(tls)
        self._server.error_log = self._log_error
        self._thread = None

    @property
    def address(self):
        """The bound address as ``ip:port``."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self):
        """Bind the address and serve it in a background thread."""
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve,
            name=f"listener-{self.address}",
            daemon=True,
        )
        self._thread.start()

    def stop(self):
        """Close the listening socket and end the worker threads."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join(5)

    def finish(self, seconds):
        """Stop after answering what has been received, at least in part.

        Parameters
        ----------
        seconds : float
            Time after which requests that are still incomplete are cut off.
        """
        self._server.shutdown_timeout = max(MIN_FINISH_SECONDS, seconds)
        self.stop()

    def abort(self):
        """Shut down every connection, as if the process had been killed."""
        self._server.shut_down_connections()
        self.stop()

    @staticmethod
    def _log_error(message="", level=20, traceback=False):
        _LOG.debug("listener_error", extra={"detail": str(message)[:200]})
