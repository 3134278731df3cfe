"""Socket options that detect an unreachable peer."""

import contextlib
import socket

KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# The kernel closes a connection whose peer accepts no data for this long. A
# client that reads slowly or sits behind a full link is still there, so it
# gets more time than a server or another host, which can be replaced.
USER_TIMEOUT_MILLISECONDS = 3000
CLIENT_USER_TIMEOUT_MILLISECONDS = 15000


def enable_keepalive(
    transport, user_timeout_milliseconds=USER_TIMEOUT_MILLISECONDS
):
    """Let the kernel close a connection whose peer is unreachable.

    Sets TCP keep-alive probes for idle connections and a user timeout for
    data that the peer does not acknowledge.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of an open connection.
    user_timeout_milliseconds : int
        Longest time for which the peer may accept no data.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    # If the peer has already closed the connection, the next read fails.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, user_timeout_milliseconds),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
