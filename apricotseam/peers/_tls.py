"""Mutual TLS between hosts."""

import ssl


def peer_tls_context(tls):
    """Return a function that makes the contexts of both sides.

    Both sides show a certificate of the same authority. Names are not
    checked, since hosts are known by IP address only.

    Parameters
    ----------
    tls : Tls or None
        Files of certificate, key and authority.

    Returns
    -------
    callable or None
        Takes ``server`` or ``client``; None without `tls`.
    """
    if tls is None:
        return None

    def make(side):
        is_server = side == "server"
        protocol = (
            ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
        )
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.load_cert_chain(tls.certificate, tls.key)
        context.load_verify_locations(tls.authority)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["h2"])
        return context

    return make
