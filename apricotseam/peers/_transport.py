"""Transport of typed messages between hosts, based on `grpclib`."""

import asyncio
import contextlib
import logging

import grpclib.exceptions
import msgspec

from apricotseam.http1 import ACCEPTED_AT_ONCE
from apricotseam.http1 import allow_pending
from apricotseam.http1 import NoBudget
from apricotseam.http1 import open_listener
from apricotseam.peers._channels import Channels
from apricotseam.peers._channels import CONNECT_TIMEOUT_SECONDS
from apricotseam.peers._channels import make_configuration
from apricotseam.peers._errors import PeerAnswerLostError
from apricotseam.peers._errors import PeerMessageError
from apricotseam.peers._errors import PeerUnreachableError
from apricotseam.peers import _peers_grpc
from apricotseam.peers import _peers_pb2
from apricotseam.peers._servant import ClosingServer
from apricotseam.peers._servant import PeerService
from apricotseam.peers._traffic import Traffic
from apricotseam.positions import decode_hook
from apricotseam.positions import encode_hook

_LOG = logging.getLogger(__name__)

CALL_TIMEOUT_SECONDS = 2.0
STREAM_IDLE_TIMEOUT_SECONDS = 30.0
MAX_MESSAGE_BYTES = 1 << 20
# Per peer; if there are more, the oldest one is dropped.
MAX_QUEUED_MESSAGES = 256
# Number of peers with a queue; messages to further peers are dropped.
MAX_QUEUES = 128
STOP_TIMEOUT_SECONDS = 2.0


class Nothing(msgspec.Struct, frozen=True):
    """Empty answer, sent if a handler returns None."""


class PeerTransport:
    """Sends and receives typed messages between hosts.

    Messages are instances of `msgspec.Struct` classes; on the wire, the
    class name identifies the type. Handlers run on the control loop and
    must not block.

    Parameters
    ----------
    loop : ControlLoop
        Event loop of all connections and handlers.
    address : str
        ``ip:port`` to listen on, also sent as the sender's address.
    incarnation : int
        Incarnation of this process, which is higher for each later
        process at this address.
    tls_context : callable, optional
        Called with ``"server"`` or ``"client"``; returns an
        `ssl.SSLContext`, or None for plain text.
    budget : Budget, optional
        Bounds on the connections that it accepts; none by default.
    """

    def __init__(
        self, loop, address, incarnation, tls_context=None, budget=None
    ):
        self._loop = loop
        self._address = address
        self._incarnation = incarnation
        self._tls_context = tls_context or (lambda side: None)
        self._budget = budget or NoBudget()
        self._record_types = {"Nothing": Nothing}
        self._handlers = {}
        self.traffic = Traffic()
        self._channels = Channels(
            lambda: self._tls_context("client"), self.traffic
        )
        self._queues = {}
        self._sender_tasks = set()
        self._server = None

    @property
    def address(self):
        """Address of this host as ``ip:port``."""
        return self._address

    @property
    def incarnation(self):
        """Incarnation of this process."""
        return self._incarnation

    @property
    def kinds(self):
        """Kinds of messages that have a handler."""
        return list(self._handlers)

    def renew_incarnation(self, incarnation):
        """Raise the incarnation above that of an earlier process.

        This is only necessary if the wall clock went back between two
        processes at the same address. A lower value is ignored.
        """
        self._incarnation = max(self._incarnation, incarnation)

    def handle(self, record_type, handler, *answer_types):
        """Register the handler for messages of a type.

        Parameters
        ----------
        record_type : type
            The `msgspec.Struct` class of the messages.
        handler : callable
            Called as ``handler(sender_address, record)``; returns the
            answer or None. May be a coroutine function.
        *answer_types : type
            The `msgspec.Struct` classes of the answers; none if the handler
            returns None.
        """
        for kind in (record_type, *answer_types):
            self._record_types[kind.__name__] = kind
        self._handlers[record_type.__name__] = handler

    def start(self):
        """Start to listen on the address."""
        self._loop.run(self.open(), CALL_TIMEOUT_SECONDS)

    def stop(self):
        """Close the listener and all connections; ignore any error."""
        with contextlib.suppress(Exception):
            self._loop.run(self.close(), STOP_TIMEOUT_SECONDS)

    def ask(self, address, record, timeout=CALL_TIMEOUT_SECONDS):
        """Send a request to a peer and wait for its answer.

        Must not be called on the control loop; see `ask_async`.

        Parameters
        ----------
        address : str
            Peer address, as ``ip:port``.
        record : msgspec.Struct
            The request.
        timeout : float
            Seconds; applies separately to the connection and the call.

        Returns
        -------
        msgspec.Struct
            The answer.

        Raises
        ------
        PeerMessageError
            If the request is too large.
        PeerUnreachableError
            If no connection could be established; nothing was sent.
        PeerAnswerLostError
            If the request may have been received, but no valid answer was.
        """
        return self._loop.run(self.ask_async(address, record, timeout))

    async def ask_async(self, address, record, timeout=CALL_TIMEOUT_SECONDS):
        """Send a request to a peer and wait for its answer.

        Like `ask`, but must be awaited on the control loop.
        """
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
                f"peer {address} did not answer ({type(error).__name__})",
                "retry if the request is idempotent",
            ) from None

    def send(self, address, record):
        """Queue a one-way message to a peer.

        If the peer's queue is full, its oldest message is dropped. The
        message itself is dropped if the peer has no queue and there are
        already `MAX_QUEUES` others. Must be called on the control loop.
        """
        self.send_all([address], record)

    def send_all(self, addresses, record):
        """Queue a one-way message to several peers, encoding it once.

        Messages are dropped as by `send`. One that is too large, or that
        holds a number which no message can, is dropped and logged. Must be
        called on the control loop.
        """
        try:
            envelope = self._pack(record)
        except PeerMessageError as error:
            _LOG.error("peer_message_dropped", extra={"error": str(error)})
            return
        for address in addresses:
            self._count_sent(envelope)
            self._enqueue(address, envelope)

    def _enqueue(self, address, envelope):
        queue = self._queues.get(address)
        if queue is None:
            if len(self._queues) >= MAX_QUEUES:
                return
            queue = asyncio.Queue(MAX_QUEUED_MESSAGES)
            self._queues[address] = queue
            task = asyncio.ensure_future(self._send_loop(address, queue))
            self._sender_tasks.add(task)
            task.add_done_callback(self._sender_tasks.discard)
        self._channels.mark_used(address)
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(envelope)

    def disconnect(self, address):
        """Close the connection to a peer that no longer exists.

        Must be called on the control loop.
        """
        self._channels.close(address)

    async def open(self):
        """Start to listen; like `start`, but awaited on the control loop."""
        self._server = ClosingServer(
            [PeerService(self.answer, self.dispatch)],
            config=make_configuration(),
            budget=self._budget,
        )
        context = self._tls_context("server")
        sock = open_listener(self._address)
        await self._server.start(
            sock=sock, backlog=ACCEPTED_AT_ONCE, ssl=context
        )
        allow_pending(sock)

    async def close(self):
        """Close the listener and all connections, on the control loop."""
        for task in list(self._sender_tasks):
            task.cancel()
        self._channels.close_all()
        if self._server is not None:
            self._server.close()
            self._server.close_accepted()
            await self._server.wait_closed()

    async def _send_loop(self, address, queue):
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
        """Send queued messages until the stream has been idle for too long."""
        while True:
            if queue.empty():
                try:
                    async with asyncio.timeout(STREAM_IDLE_TIMEOUT_SECONDS):
                        envelope = await queue.get()
                except TimeoutError:
                    return
            else:
                envelope = queue.get_nowait()
            await stream.send_message(envelope)

    def _pack(self, record):
        try:
            body = msgspec.msgpack.encode(record, enc_hook=encode_hook)
        except (OverflowError, UnicodeEncodeError) as error:
            raise PeerMessageError(
                f"a {type(record).__name__} cannot be encoded ({error})",
                "send only numbers of 64 bits and valid text",
            ) from None
        if len(body) > MAX_MESSAGE_BYTES:
            raise PeerMessageError(
                f"message has {len(body)} bytes, limit is {MAX_MESSAGE_BYTES}",
                "split it into smaller messages",
            )
        return _peers_pb2.Envelope(
            kind=type(record).__name__,
            sender=self._address,
            incarnation=self._incarnation,
            body=body,
        )

    def _unpack(self, envelope):
        record_type = self._record_types.get(envelope.kind)
        if record_type is None or len(envelope.body) > MAX_MESSAGE_BYTES:
            raise PeerMessageError(
                f"message of kind {envelope.kind!r} with"
                f" {len(envelope.body)} bytes is of unknown kind or too large",
                "run the same version on all hosts",
            )
        self.traffic.received[envelope.kind].count(len(envelope.body))
        return msgspec.msgpack.decode(
            envelope.body, type=record_type, dec_hook=decode_hook
        )

    async def answer(self, envelope):
        """Pass a request to its handler and pack the answer.

        Returns
        -------
        Envelope
            The answer, which contains `Nothing` if the handler gave none.

        Raises
        ------
        PeerMessageError
            As `dispatch`.
        """
        answer = await self.dispatch(envelope)
        packed = self._pack(Nothing() if answer is None else answer)
        self._count_sent(packed)
        return packed

    async def dispatch(self, envelope):
        """Pass an envelope's message to its handler.

        Returns
        -------
        msgspec.Struct or None
            What the handler returned.

        Raises
        ------
        PeerMessageError
            If the message is of unknown kind, too large or without a
            handler.
        """
        record = self._unpack(envelope)
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            raise PeerMessageError(
                f"no handler for messages of kind {envelope.kind!r}",
                "run the same version on all hosts",
            )
        answer = handler(envelope.sender, record)
        if asyncio.iscoroutine(answer):
            answer = await answer
        return answer

    def _count_sent(self, envelope):
        self.traffic.sent[envelope.kind].count(len(envelope.body))
