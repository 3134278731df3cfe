"""TLS for the `cheroot` server over a context of the project."""

import ssl

from cheroot import errors
from cheroot.ssl import builtin


class ContextAdapter(builtin.BuiltinSSLAdapter):
    """Wraps connections with a given context.

    The handshake takes place in the worker that reads the request, so
    that a client that never finishes it cannot hold up the acceptor.

    Parameters
    ----------
    context : ssl.SSLContext
        Context of the listening side.
    """

    def __init__(self, context):
        self.context = context

    def wrap(self, sock):
        """Wrap a connection; return it and its WSGI variables."""
        try:
            wrapped = self.context.wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        except (ssl.SSLError, OSError) as error:
            raise errors.FatalSSLAlert(*error.args) from error
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}
