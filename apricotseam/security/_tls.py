"""TLS contexts whose certificates can be reloaded without a restart."""

import pathlib
import ssl

from apricotseam.errors import InvalidFileError


class Certificates:
    """Server and client TLS contexts that use one certificate.

    The server context stays the same object: `reload` loads changed files
    into it, so that new connections use the new certificate.

    Parameters
    ----------
    certificate, key, authority : str
        Paths of PEM files: the certificate with its chain, its private
        key, and the certificate authority that peers are verified
        against.
    is_mutual : bool
        Whether the server requires a certificate from clients.

    Raises
    ------
    InvalidFileError
        If a file cannot be read or the key does not match the certificate.
    """

    __slots__ = (
        "_authority",
        "_certificate",
        "_key",
        "_loaded_state",
        "_server_context",
    )

    def __init__(self, certificate, key, authority, is_mutual=False):
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._server_context.minimum_version = ssl.TLSVersion.TLSv1_2
        if is_mutual:
            self._server_context.verify_mode = ssl.CERT_REQUIRED
        self._loaded_state = None
        self.reload()

    @property
    def server_context(self):
        """Context of the server side."""
        return self._server_context

    def client_context(self, protocols=()):
        """Return a new context for the client side.

        Parameters
        ----------
        protocols : list of str
            Protocols to offer in the ALPN extension.
        """
        context = ssl.create_default_context(cafile=self._authority)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self._certificate, self._key)
        if protocols:
            context.set_alpn_protocols(protocols)
        return context

    def reload(self):
        """Load the files again if any of them changed.

        Returns
        -------
        bool
            Whether the files were loaded.

        Raises
        ------
        InvalidFileError
            If a file cannot be read or the key does not match; the old
            certificate stays in use.
        """
        file_state = self._read_file_state()
        if file_state == self._loaded_state:
            return False
        try:
            self._load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            self._load_into(self._server_context)
        except (OSError, ssl.SSLError) as error:
            raise InvalidFileError(
                f"certificate {self._certificate} cannot be used: {error}",
                "install a certificate and its matching private key",
            ) from None
        self._loaded_state = file_state
        return True

    def _load_into(self, context):
        context.load_cert_chain(self._certificate, self._key)
        context.load_verify_locations(self._authority)

    def _read_file_state(self):
        files = (self._certificate, self._key, self._authority)
        try:
            stats = [pathlib.Path(file).stat() for file in files]
        except OSError as error:
            raise InvalidFileError(
                f"a certificate file cannot be read: {error}",
                "install the file or correct its path in the settings",
            ) from None
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)
