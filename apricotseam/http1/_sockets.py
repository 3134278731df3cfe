"""Socket options that detect an unreachable peer."""

import contextlib
import socket

# Connections that are accepted before the event loop serves others; it takes
# as many at once as it was told may be pending.
ACCEPTED_AT_ONCE = 16
MAX_PENDING_CONNECTIONS = 512
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
# The kernel closes a connection whose peer accepts no data for this long. On
# Linux it also decides when unanswered keep-alive probes end a connection,
# whatever their number.
USER_TIMEOUT_MILLISECONDS = 3000
# The same while bytes wait for a client: one that reads slowly, or sits behind
# a full link, is still there.
CLIENT_USER_TIMEOUT_MILLISECONDS = 15000
# States after the end of the peer's data or a reset: CLOSE, CLOSE_WAIT,
# LAST_ACK and CLOSING in Linux's `tcp_states.h`.
_CLOSED_STATES = (7, 8, 9, 11)


def open_listener(address):
    """Return a socket that is bound to ``ip:port``.

    It is passed to the event loop with a backlog of `ACCEPTED_AT_ONCE`, and
    then to `allow_pending`.
    """
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)))


def allow_pending(sock):
    """Let more connections wait than the event loop accepts at once."""
    sock.listen(MAX_PENDING_CONNECTIONS)


def has_peer_closed(transport):
    """Return whether the peer of a connection has closed its end.

    Unlike a read, this tells it also while received bytes wait.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return True
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return True
    return state in _CLOSED_STATES


def enable_keepalive(transport):
    """Let the kernel close a connection whose peer is unreachable.

    Sets TCP keep-alive probes for idle connections and a user timeout for
    data that the peer does not acknowledge.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of an open connection.
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
            (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)


def set_user_timeout(transport, milliseconds):
    """Set for how long the peer of a connection may accept no data.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection; ignored if it is closing.
    milliseconds : int
        Time after which the kernel closes the connection.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return
    # If the peer has already closed the connection, the next write fails.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )
