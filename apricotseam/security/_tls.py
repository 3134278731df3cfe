"""TLS contexts whose certificates are reloaded without a restart."""

import pathlib
import ssl

from apricotseam.errors import InvalidFileError


class Certificates:
    """Server and client contexts of one certificate.

    Contexts stay the same objects; `reload` loads the files again, so
    that new connections use the new certificate.

    Parameters
    ----------
    certificate, key, authority : str
        PEM files: the certificate with its chain, its private key, and
        the authority that peers are checked against.
    is_mutual : bool
        Whether the server asks clients for a certificate.

    Raises
    ------
    InvalidFileError
        If a file cannot be read or does not fit the others.
    """

    __slots__ = ("_authority", "_certificate", "_key", "_server", "_stamp")

    def __init__(self, certificate, key, authority, is_mutual=False):
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._server.minimum_version = ssl.TLSVersion.TLSv1_2
        if is_mutual:
            self._server.verify_mode = ssl.CERT_REQUIRED
        self._stamp = None
        self.reload()

    @property
    def server_context(self):
        """Context of the listening side."""
        return self._server

    def client_context(self, protocols=()):
        """Return a new context of the connecting side.

        Parameters
        ----------
        protocols : list of str
            Protocols to offer by ALPN.
        """
        context = ssl.create_default_context(cafile=self._authority)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(self._certificate, self._key)
        if protocols:
            context.set_alpn_protocols(protocols)
        return context

    def reload(self):
        """Load the files again if they changed.

        Returns
        -------
        bool
            Whether they had changed.

        Raises
        ------
        InvalidFileError
            If the files do not fit; the old certificate stays in use.
        """
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return False
        try:
            self._load_into(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
            self._load_into(self._server)
        except (OSError, ssl.SSLError) as error:
            raise InvalidFileError(
                f"certificate {self._certificate} cannot be used: {error}",
                "put a certificate and a key that fit in place",
            ) from None
        self._stamp = stamp
        return True

    def _load_into(self, context):
        context.load_cert_chain(self._certificate, self._key)
        context.load_verify_locations(self._authority)

    def _read_stamp(self):
        files = (self._certificate, self._key, self._authority)
        try:
            stats = [pathlib.Path(file).stat() for file in files]
        except OSError as error:
            raise InvalidFileError(
                f"a certificate file cannot be read: {error}",
                "put the file in place or correct the settings",
            ) from None
        return tuple((s.st_mtime_ns, s.st_size, s.st_ino) for s in stats)
