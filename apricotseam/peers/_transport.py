"""Typed messages between hosts over `grpclib`."""

import asyncio
import contextlib
import logging

import grpclib.client
import grpclib.const
import grpclib.exceptions
import grpclib.server
import msgspec

from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import RefusedError
from apricotseam.peers import _peers_grpc
from apricotseam.peers import _peers_pb2

_LOG = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_QUEUED_MESSAGES = 256
MAX_OPEN_STREAMS = 64


class PeerUnreachableError(RefusedError):
    """No connection to the peer could be made; nothing was asked."""

    code = "peer_unreachable"


class PeerAnswerLostError(OutcomeUnknownError):
    """The peer may have taken the question; its answer was lost."""

    code = "peer_answer_lost"


class Nothing(msgspec.Struct, frozen=True):
    """Answer of a handler that has nothing to say."""


class Traffic:
    """Messages and bytes that went out and came in."""

    __slots__ = (
        "bytes_received",
        "bytes_sent",
        "messages_received",
        "messages_sent",
    )

    def __init__(self):
        self.bytes_received = 0
        self.bytes_sent = 0
        self.messages_received = 0
        self.messages_sent = 0


class PeerTransport:
    """Sends and receives typed messages between hosts.

    Records are `msgspec.Struct` classes, named on the wire by their class
    name. A handler takes the sender's address and the record; it runs on
    the control loop and must not block.

    Parameters
    ----------
    loop : ControlLoop
        Loop that carries all traffic.
    address : str
        ``ip:port`` to listen on and to be known by.
    incarnation : int
        Number that is higher for each later process at this address.
    tls_context : callable, optional
        Called with ``server`` or ``client``; returns an `ssl.SSLContext`.
    """

    def __init__(self, loop, address, incarnation, tls_context=None):
        self._loop = loop
        self._address = address
        self._incarnation = incarnation
        self._tls_context = tls_context
        self._types = {"Nothing": Nothing}
        self._handlers = {}
        self._channels = {}
        self._queues = {}
        self._server = None
        self.traffic = Traffic()

    @property
    def address(self):
        """The address that peers know this host by."""
        return self._address

    @property
    def incarnation(self):
        """Incarnation of this process."""
        return self._incarnation

    def handle(self, record_type, handler, answer_type=Nothing):
        """Give records of a type to a handler.

        Parameters
        ----------
        record_type : type
            The `msgspec.Struct` class of the question or message.
        handler : callable
            ``handler(sender_address, record)`` returns the answer record
            or None; it may be a coroutine function.
        answer_type : type
            Class of its answers.
        """
        self._types[record_type.__name__] = record_type
        self._types[answer_type.__name__] = answer_type
        self._handlers[record_type.__name__] = handler

    def start(self):
        """Listen on the address."""
        self._loop.run(self._start(), CALL_TIMEOUT_SECONDS)

    def stop(self):
        """Close the listener and all connections."""
        with contextlib.suppress(Exception):
            self._loop.run(self._stop(), CALL_TIMEOUT_SECONDS)

    def ask(self, address, record, timeout=CALL_TIMEOUT_SECONDS):
        """Ask a peer and wait for its answer (not on the control loop).

        Raises
        ------
        PeerUnreachableError
            If nothing was sent.
        PeerAnswerLostError
            If the answer was lost.
        """
        return self._loop.run(self.ask_async(address, record, timeout))

    async def ask_async(self, address, record, timeout=CALL_TIMEOUT_SECONDS):
        """Ask a peer and wait for its answer on the control loop."""
        channel = await self._connected(address, timeout)
        stub = _peers_grpc.PeersStub(channel)
        try:
            answer = await stub.Ask(self._pack(record), timeout=timeout)
        except (
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            OSError,
            asyncio.TimeoutError,
        ) as error:
            raise PeerAnswerLostError(
                f"peer {address} gave no answer ({type(error).__name__})",
                "ask again if the question is idempotent",
            ) from None
        return self._unpack(answer)

    def send(self, address, record):
        """Queue a one-way message; the oldest is dropped when full.

        Must be called on the control loop.
        """
        queue = self._queues.get(address)
        if queue is None:
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queues[address] = queue
            task = asyncio.ensure_future(self._pump(address, queue))
            task.add_done_callback(lambda _: self._queues.pop(address, None))
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(self._pack(record))

    def forget(self, address):
        """Close the connection to a peer that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    async def _start(self):
        host, port = self._address.rsplit(":", 1)
        self._server = grpclib.server.Server([_Servant(self)])
        context = self._tls_context("server") if self._tls_context else None
        await self._server.start(host, int(port), ssl=context)

    async def _stop(self):
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _connected(self, address, timeout):
        channel = self._channels.get(address)
        if channel is None:
            host, port = address.rsplit(":", 1)
            context = None
            if self._tls_context is not None:
                context = self._tls_context("client")
            channel = grpclib.client.Channel(host, int(port), ssl=context)
            self._channels[address] = channel
        try:
            await asyncio.wait_for(
                channel.__connect__(), min(timeout, CONNECT_TIMEOUT_SECONDS)
            )
        except (OSError, asyncio.TimeoutError):
            raise PeerUnreachableError(
                f"no connection to peer {address}", "try another host"
            ) from None
        return channel

    async def _pump(self, address, queue):
        try:
            channel = await self._connected(address, CONNECT_TIMEOUT_SECONDS)
            stub = _peers_grpc.PeersStub(channel)
            async with stub.Exchange.open() as stream:
                while True:
                    await stream.send_message(await queue.get())
        except (
            PeerUnreachableError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            OSError,
        ):
            _LOG.debug("peer_stream_ended", extra={"peer": address})

    def _pack(self, record):
        body = msgspec.msgpack.encode(record)
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(body)
        return _peers_pb2.Envelope(
            kind=type(record).__name__,
            sender=self._address,
            incarnation=self._incarnation,
            body=body,
        )

    def _unpack(self, envelope):
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(envelope.body)
        record_type = self._types.get(envelope.kind)
        if record_type is None:
            raise PeerAnswerLostError(
                f"an unknown kind of message, {envelope.kind!r}",
                "run the same version on all hosts",
            )
        return msgspec.msgpack.decode(envelope.body, type=record_type)

    async def dispatch(self, envelope):
        """Give one envelope to its handler and pack the answer."""
        record = self._unpack(envelope)
        handler = self._handlers[envelope.kind]
        answer = handler(envelope.sender, record)
        if asyncio.iscoroutine(answer):
            answer = await answer
        return self._pack(Nothing() if answer is None else answer)


class _Servant(_peers_grpc.PeersBase):
    """Server side of the calls between hosts."""

    def __init__(self, transport):
        self._transport = transport

    async def Ask(self, stream):
        """Answer one question."""
        envelope = await stream.recv_message()
        try:
            answer = await self._transport.dispatch(envelope)
        except Exception as error:
            _LOG.warning(
                "peer_message_refused",
                extra={"kind": envelope.kind, "reason": type(error).__name__},
            )
            raise grpclib.exceptions.GRPCError(
                grpclib.const.Status.INVALID_ARGUMENT
            ) from None
        await stream.send_message(answer)

    async def Exchange(self, stream):
        """Take one-way messages until the sender ends the stream."""
        async for envelope in stream:
            try:
                await self._transport.dispatch(envelope)
            except Exception as error:
                _LOG.warning(
                    "peer_message_refused",
                    extra={
                        "kind": envelope.kind,
                        "reason": type(error).__name__,
                    },
                )
