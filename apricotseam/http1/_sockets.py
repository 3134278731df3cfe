"""Options of sockets, so that a silent peer is noticed."""

import contextlib
import socket

KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# Bytes that stay unacknowledged this long end the connection.
USER_TIMEOUT_MILLISECONDS = 3000


def watch_for_silence(transport):
    """Make the kernel end a connection whose peer is silent for good.

    Parameters
    ----------
    transport : asyncio.Transport
        An open connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # A peer that is gone already shows in the next read.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
