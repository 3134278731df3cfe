"""TLS adapter that lets the `cheroot` server use a given context."""

import ssl

from cheroot import errors
from cheroot.ssl import builtin


class ContextAdapter(builtin.BuiltinSSLAdapter):
    """Wraps accepted connections with a TLS context.

    The handshake is done by the worker thread that reads the request, so
    that a client that never finishes it cannot block the accept loop.

    Parameters
    ----------
    context : ssl.SSLContext
        Server-side context.
    """

    def __init__(self, context):
        self.context = context

    def wrap(self, sock):
        """Wrap a socket; return it and the WSGI variables for it."""
        try:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        except (ssl.SSLError, OSError) as error:
            raise errors.FatalSSLAlert(*error.args) from error
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}
