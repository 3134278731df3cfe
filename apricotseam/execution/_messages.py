"""Messages between hosts about runs, and their transport."""

import abc

import msgspec

from apricotseam.execution._records import Claim
from apricotseam.execution._records import Ending
from apricotseam.execution._records import Reply

ASK_TIMEOUT_SECONDS = 2.0


class GrantQuestion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the host that issued a ticket to grant its single run."""

    incarnation: int
    claim: Claim


class RunQuestion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the holder of an idempotency key how its run ended."""

    incarnation: int
    claim: Claim


class RunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answers a `GrantQuestion` or a `RunQuestion`."""

    reply: Reply


class EndReport(msgspec.Struct, frozen=True, kw_only=True):
    """Reports the end of a run to the host that issued its ticket."""

    incarnation: int
    identifier: str
    attempt: str
    ending: Ending


class PeerLink(abc.ABC):
    """Interface for the messages that execution sends between hosts."""

    @property
    @abc.abstractmethod
    def address(self):
        """Peer address of this host."""

    @property
    @abc.abstractmethod
    def incarnation(self):
        """Incarnation of this process, which changes at each restart."""

    @abc.abstractmethod
    def ask(self, address, record):
        """Ask a peer and return its answer.

        Raises
        ------
        PeerUnreachableError
            If the message was not delivered.
        PeerAnswerLostError
            If the message may have been delivered but was not answered.
        """

    @abc.abstractmethod
    def tell(self, address, record):
        """Send a message without waiting for delivery; it may be lost."""

    @abc.abstractmethod
    def handle(self, record_type, handler, answer_type=None):
        """Register a handler for records of a type on the control loop."""


class TransportLink(PeerLink):
    """Implements `PeerLink` with the transport between hosts.

    Parameters
    ----------
    transport : PeerTransport
        Transport that carries the messages.
    loop : ControlLoop
        Event loop on which the transport runs.
    """

    def __init__(self, transport, loop):
        self._transport = transport
        self._loop = loop

    @property
    def address(self):
        """Peer address of this host."""
        return self._transport.address

    @property
    def incarnation(self):
        """Incarnation of this process, which changes at each restart."""
        return self._transport.incarnation

    def ask(self, address, record):
        """Ask a peer and return its answer."""
        return self._transport.ask(address, record, ASK_TIMEOUT_SECONDS)

    def tell(self, address, record):
        """Send a message without waiting for delivery; it may be lost."""
        future = self._loop.submit(
            self._transport.ask_async(address, record, ASK_TIMEOUT_SECONDS)
        )
        future.add_done_callback(lambda done: done.exception())

    def handle(self, record_type, handler, answer_type=None):
        """Register a handler for records of a type on the control loop."""
        answer_types = () if answer_type is None else (answer_type,)
        self._transport.handle(record_type, handler, *answer_types)
