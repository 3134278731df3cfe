"""TLS contexts of one entry host."""

import logging

from apricotseam.errors import ApricotseamError
from apricotseam.errors import InvalidFileError
from apricotseam.security import Certificates
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

RELOAD_PERIOD_SECONDS = 5.0
HTTP2_PROTOCOLS = ["h2"]


class HostTls(Child):
    """Certificates for listeners, for peers and for the platform.

    As a supervised component it reloads certificates whose files changed.

    Parameters
    ----------
    settings : Settings
        Settings of the process.

    Raises
    ------
    InvalidFileError
        If a listener has no TLS and the settings do not allow plain text.
    """

    name = "certificates"

    def __init__(self, settings):
        self._listeners = _load(settings.tls, False)
        self._peers = _load(settings.peer_tls, True)
        self._platform = _load(settings.platform_tls, False)
        if self._peers is not None:
            context = self._peers.server_context
            context.set_alpn_protocols(HTTP2_PROTOCOLS)
        if None in (self._listeners, self._peers):
            _check_plain_text(settings)

    @property
    def listener_context(self):
        """TLS context of the HTTP listeners, or None for plain text."""
        if self._listeners is None:
            return None
        return self._listeners.server_context

    @property
    def platform_context(self):
        """TLS context for calls to targets and platform, or None."""
        if self._platform is None:
            return None
        return self._platform.client_context()

    @property
    def peer_context(self):
        """Callable that returns a TLS context for peers, or None.

        Its argument is the side of the connection that this host is on,
        ``"server"`` or ``"client"``.
        """
        if self._peers is None:
            return None
        return self._peer_context

    def run(self, stopping):
        """Reload changed certificates until told to stop."""
        while not stopping.wait(RELOAD_PERIOD_SECONDS):
            self.reload()

    def reload(self):
        """Reload every certificate whose files changed."""
        for certificates in (self._listeners, self._peers, self._platform):
            if certificates is None:
                continue
            try:
                if certificates.reload():
                    _LOG.info("certificate_reloaded")
            except ApricotseamError as error:
                _LOG.error(
                    "certificate_not_reloaded", extra={"detail": error.found}
                )

    def _peer_context(self, side):
        if side == "server":
            return self._peers.server_context
        return self._peers.client_context(HTTP2_PROTOCOLS)


def _load(tls, is_mutual):
    if tls is None:
        return None
    return Certificates(tls.certificate, tls.key, tls.authority, is_mutual)


def _check_plain_text(settings):
    if not settings.plain_text_allowed:
        raise InvalidFileError(
            "settings without TLS for listeners or peers",
            "set `tls` and `peer_tls`, or `plain_text_allowed: true`",
        )
    _LOG.warning("plain_text_allowed", extra={"host": settings.host})
