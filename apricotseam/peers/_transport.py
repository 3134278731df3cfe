"""Typed messages between hosts over `grpclib`."""

import asyncio
import contextlib
import logging

import grpclib.exceptions
import msgspec

from apricotseam.peers._channels import Channels
from apricotseam.peers._channels import CONNECT_TIMEOUT_SECONDS
from apricotseam.peers._channels import make_configuration
from apricotseam.peers._errors import PeerAnswerLostError
from apricotseam.peers._errors import PeerMessageError
from apricotseam.peers._errors import PeerUnreachableError
from apricotseam.peers import _peers_grpc
from apricotseam.peers import _peers_pb2
from apricotseam.peers._servant import ClosingServer
from apricotseam.peers._servant import Servant

_LOG = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 2.0
IDLE_STREAM_SECONDS = 30.0
MAX_MESSAGE_BYTES = 1 << 20
MAX_QUEUED_MESSAGES = 256
MAX_QUEUES = 128
STOP_TIMEOUT_SECONDS = 2.0


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
        self._tls_context = tls_context or (lambda side: None)
        self._types = {"Nothing": Nothing}
        self._handlers = {}
        self._channels = Channels(lambda: self._tls_context("client"))
        self._queues = {}
        self._pumps = set()
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

    @property
    def kinds(self):
        """Names of the kinds of messages that have a handler."""
        return list(self._handlers)

    def renew_incarnation(self, incarnation):
        """Take a higher incarnation than an earlier process had.

        Needed only where the wall clock went back between two processes
        at the same address.
        """
        self._incarnation = max(self._incarnation, incarnation)

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
        self._loop.run(self.open(), CALL_TIMEOUT_SECONDS)

    def stop(self):
        """Close the listener and all connections."""
        with contextlib.suppress(Exception):
            self._loop.run(self.close(), STOP_TIMEOUT_SECONDS)

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
        envelope = self._pack(record)
        self._count_sent(envelope)
        channel = await self._channels.connect(address, timeout)
        stub = _peers_grpc.PeersStub(channel)
        try:
            answer = await stub.Ask(envelope, timeout=timeout)
            return self._unpack(answer)
        except (
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            msgspec.DecodeError,
            PeerMessageError,
            OSError,
            asyncio.TimeoutError,
        ) as error:
            raise PeerAnswerLostError(
                f"peer {address} gave no answer ({type(error).__name__})",
                "ask again if the question is idempotent",
            ) from None

    def send(self, address, record):
        """Queue a one-way message; the oldest is dropped when full.

        Must be called on the control loop.
        """
        self.send_all([address], record)

    def send_all(self, addresses, record):
        """Queue one message for several peers; it is encoded once.

        Must be called on the control loop.
        """
        envelope = self._pack(record)
        for address in addresses:
            self._count_sent(envelope)
            self._queue(address, envelope)

    def _queue(self, address, envelope):
        queue = self._queues.get(address)
        if queue is None:
            if len(self._queues) >= MAX_QUEUES:
                return
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queues[address] = queue
            pump = asyncio.ensure_future(self._pump(address, queue))
            self._pumps.add(pump)
            pump.add_done_callback(self._pumps.discard)
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(envelope)

    def forget(self, address):
        """Close the connection to a peer that is gone.

        Must be called on the control loop.
        """
        self._channels.close(address)

    async def open(self):
        """Listen on the address; for callers on the control loop."""
        host, port = self._address.rsplit(":", 1)
        self._server = ClosingServer(
            [Servant(self.dispatch)], config=make_configuration()
        )
        context = self._tls_context("server")
        await self._server.start(host, int(port), ssl=context)

    async def close(self):
        """Close all connections; for callers on the control loop."""
        for pump in list(self._pumps):
            pump.cancel()
        self._channels.close_all()
        if self._server is not None:
            self._server.close()
            self._server.close_accepted()
            await self._server.wait_closed()

    async def _pump(self, address, queue):
        try:
            channel = await self._channels.connect(
                address, CONNECT_TIMEOUT_SECONDS
            )
            stub = _peers_grpc.PeersStub(channel)
            async with stub.Exchange.open() as stream:
                await self._send_queued(stream, queue)
                await stream.end()
        except (
            PeerUnreachableError,
            grpclib.exceptions.GRPCError,
            grpclib.exceptions.StreamTerminatedError,
            OSError,
        ):
            _LOG.debug("peer_stream_ended", extra={"peer": address})
        finally:
            if self._queues.get(address) is queue:
                del self._queues[address]

    async def _send_queued(self, stream, queue):
        """Send what is queued until nothing comes for a while."""
        while True:
            if queue.empty():
                try:
                    async with asyncio.timeout(IDLE_STREAM_SECONDS):
                        envelope = await queue.get()
                except TimeoutError:
                    return
            else:
                envelope = queue.get_nowait()
            await stream.send_message(envelope)

    def _pack(self, record):
        body = msgspec.msgpack.encode(record)
        if len(body) > MAX_MESSAGE_BYTES:
            raise PeerMessageError(
                f"a message of {len(body)} bytes, {MAX_MESSAGE_BYTES} allowed",
                "send it in pieces",
            )
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
        if record_type is None or len(envelope.body) > MAX_MESSAGE_BYTES:
            raise PeerMessageError(
                f"a message of kind {envelope.kind!r} with"
                f" {len(envelope.body)} bytes",
                "run the same version on all hosts",
            )
        return msgspec.msgpack.decode(envelope.body, type=record_type)

    async def dispatch(self, envelope):
        """Give one envelope to its handler and pack the answer."""
        record = self._unpack(envelope)
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            raise PeerMessageError(
                f"a message of kind {envelope.kind!r} that nobody takes",
                "run the same version on all hosts",
            )
        answer = handler(envelope.sender, record)
        if asyncio.iscoroutine(answer):
            answer = await answer
        packed = self._pack(Nothing() if answer is None else answer)
        self._count_sent(packed)
        return packed

    def _count_sent(self, envelope):
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(envelope.body)
