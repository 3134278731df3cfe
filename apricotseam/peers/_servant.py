"""Server side of calls between hosts."""

import asyncio
import logging
import weakref

import grpclib.const
import grpclib.exceptions
import grpclib.server

from apricotseam.peers._errors import PeerMessageError
from apricotseam.peers import _peers_grpc

_LOG = logging.getLogger(__name__)

MAX_OPEN_STREAMS = 256


class AcceptedConnection:
    """A connection from a peer, as a `Budget` sees it.

    Parameters
    ----------
    protocol : grpclib.protocol.H2Protocol
        Its protocol.
    transport : asyncio.Transport
        Its transport.
    accepted_at : float
        Time of the event loop at which it was accepted, in seconds.
    """

    # What it holds is bounded by the flow control of HTTP/2.
    releasable_bytes = 0

    def __init__(self, protocol, transport, accepted_at):
        self._protocol = protocol
        self._transport = transport
        self._accepted_at = accepted_at

    @property
    def is_busy(self):
        """Whether a call is in progress."""
        processor = getattr(self._protocol, "processor", None)
        return processor is not None and bool(processor.streams)

    @property
    def progress(self):
        """Place among the connections that may be closed, as for clients."""
        return 1, self._accepted_at

    @property
    def client_ip(self):
        """IP address of the peer, empty if the connection is closed."""
        peer = self._transport.get_extra_info("peername")
        return peer[0] if peer else ""

    def cut(self):
        """Close the connection."""
        self._transport.abort()


class ClosingServer(grpclib.server.Server):
    """Server that also closes the connections it accepted.

    Parameters
    ----------
    *arguments, **options
        As for `grpclib.server.Server`.
    budget : Budget
        Bounds on the connections of all listeners.
    """

    def __init__(self, *arguments, budget, **options):
        super().__init__(*arguments, **options)
        self._budget = budget
        self._accepted = weakref.WeakSet()

    def _protocol_factory(self):
        protocol = super()._protocol_factory()
        self._accepted.add(protocol)
        self._watch(protocol)
        return protocol

    def _watch(self, protocol):
        """Let the budget know a connection while it is open."""
        connection_made = protocol.connection_made
        connection_lost = protocol.connection_lost
        connection = None

        def add(transport):
            nonlocal connection
            connection_made(transport)
            now = asyncio.get_running_loop().time()
            connection = AcceptedConnection(protocol, transport, now)
            self._budget.add(connection)

        def remove(error):
            self._budget.remove(connection)
            connection_lost(error)

        protocol.connection_made = add
        protocol.connection_lost = remove

    def close_accepted(self):
        """Close every accepted connection."""
        for protocol in list(self._accepted):
            if getattr(protocol, "connection", None) is not None:
                protocol.connection.close()


class PeerService(_peers_grpc.PeersBase):
    """Verifies the sender of each message and dispatches it.

    Parameters
    ----------
    answer : callable
        Coroutine function that takes the envelope of a request and returns
        that of its answer.
    dispatch : callable
        Coroutine function that takes the envelope of a one-way message.
    """

    def __init__(self, answer, dispatch):
        self._answer = answer
        self._dispatch = dispatch
        self._open_streams = 0

    async def Ask(self, stream):
        """Answer one request; the gRPC method ``Ask``."""
        envelope = await stream.recv_message()
        answer = await self._handle(self._answer, stream, envelope)
        if answer is None:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT
            )
        await stream.send_message(answer)

    async def Exchange(self, stream):
        """Receive one-way messages; the gRPC method ``Exchange``.

        Runs until the sender ends the stream.
        """
        if self._open_streams >= MAX_OPEN_STREAMS:
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.RESOURCE_EXHAUSTED
            )
        self._open_streams += 1
        try:
            async for envelope in stream:
                await self._handle(self._dispatch, stream, envelope)
        finally:
            self._open_streams -= 1

    @staticmethod
    async def _handle(handler, stream, envelope):
        """Return the result of a handler, or None if it failed."""
        try:
            _check_sender(stream, envelope)
            return await handler(envelope)
        except Exception as error:
            _LOG.debug(
                "peer_message_refused",
                extra={
                    "kind": envelope.kind if envelope else "",
                    "reason": type(error).__name__,
                },
            )
            return None


def _check_sender(stream, envelope):
    """Raise an error if the sender's IP is not that of the connection."""
    if envelope is None:
        raise PeerMessageError("call without a message", "send one message")
    peer = stream.peer.addr() if stream.peer is not None else None
    claimed = envelope.sender.rsplit(":", 1)[0]
    if not peer or claimed != peer[0]:
        raise PeerMessageError(
            f"message of sender {claimed!r} came from another address",
            "connect from the address that the host listens on",
        )
