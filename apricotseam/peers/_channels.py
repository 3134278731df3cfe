"""Bounded pool of connections to other hosts."""

import asyncio
import collections

import grpclib.client
import grpclib.config

from apricotseam.http1 import enable_keepalive
from apricotseam.peers._errors import PeerUnreachableError

CONNECT_TIMEOUT_SECONDS = 1.0
# More than a host contacts regularly, since an evicted connection loses the
# messages in its queue and has to be opened again.
MAX_CHANNELS = 128
HTTP2_WINDOW_BYTES = 1 << 20


def make_configuration():
    """Return the `grpclib` configuration of clients and servers."""
    return grpclib.config.Configuration(
        http2_connection_window_size=HTTP2_WINDOW_BYTES,
        http2_stream_window_size=HTTP2_WINDOW_BYTES,
    )


class KeepaliveChannel(grpclib.client.Channel):
    """Channel that is closed by TCP keep-alive if its peer is unreachable."""

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        connection_made = protocol.connection_made

        def connection_made_with_keepalive(transport):
            connection_made(transport)
            enable_keepalive(transport)

        protocol.connection_made = connection_made_with_keepalive
        return protocol


class Channels:
    """Pool of connections to other hosts, by address.

    If there are more than `MAX_CHANNELS`, the least recently used one is
    closed.

    Parameters
    ----------
    make_context : callable
        Returns the `ssl.SSLContext` for clients, or None for plain text.
    traffic : Traffic
        Counts the connections.
    """

    def __init__(self, make_context, traffic):
        self._make_context = make_context
        self._traffic = traffic
        self._channels = collections.OrderedDict()

    def __len__(self):
        return len(self._channels)

    async def connect(self, address, timeout):
        """Return a connected channel to an address.

        Parameters
        ----------
        address : str
            Peer address, as ``ip:port``.
        timeout : float
            Seconds, at most `CONNECT_TIMEOUT_SECONDS`.

        Returns
        -------
        grpclib.client.Channel

        Raises
        ------
        PeerUnreachableError
            If no connection could be established.
        """
        try:
            channel = self._find_or_make(address)
            await asyncio.wait_for(
                channel.__connect__(), min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        except (OSError, OverflowError, ValueError, asyncio.TimeoutError):
            # A value error means that the address cannot be used.
            self.close(address)
            raise PeerUnreachableError(
                f"cannot connect to peer {address}", "try another host"
            ) from None
        return channel

    def _find_or_make(self, address):
        channel = self._channels.get(address)
        if channel is None:
            host, port = address.rsplit(":", 1)
            channel = KeepaliveChannel(
                host,
                int(port),
                ssl=self._make_context(),
                config=make_configuration(),
            )
            self._channels[address] = channel
            self._traffic.connections_opened += 1
            self._evict_least_recently_used()
        self._channels.move_to_end(address)
        return channel

    def mark_used(self, address):
        """Record that a message is being sent to an address."""
        if address in self._channels:
            self._channels.move_to_end(address)

    def close(self, address):
        """Close the connection to an address, if any."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close_all(self):
        """Close all connections."""
        for address in list(self._channels):
            self.close(address)

    def _evict_least_recently_used(self):
        if len(self._channels) > MAX_CHANNELS:
            self._traffic.connections_evicted += 1
            self.close(next(iter(self._channels)))
