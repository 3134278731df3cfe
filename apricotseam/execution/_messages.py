"""Messages between hosts about runs, and the link that carries them."""

import abc

import msgspec

from apricotseam.execution._records import Claim
from apricotseam.execution._records import Ending
from apricotseam.execution._records import Reply

ASK_TIMEOUT_SECONDS = 2.0


class GrantQuestion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the home of a ticket for its one grant."""

    incarnation: int
    claim: Claim


class RunQuestion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the holder of a caller's key how its run ended."""

    incarnation: int
    claim: Claim


class RunAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answers either question."""

    reply: Reply


class EndReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tells the home of a ticket how its run ended."""

    incarnation: int
    identifier: str
    attempt: str
    ending: Ending


class PeerLink(abc.ABC):
    """What execution needs of the messages between hosts."""

    @property
    @abc.abstractmethod
    def address(self):
        """Peers address of this host."""

    @property
    @abc.abstractmethod
    def incarnation(self):
        """Incarnation of this process."""

    @abc.abstractmethod
    def ask(self, address, record):
        """Ask a peer and return its answer.

        Raises
        ------
        PeerUnreachableError
            If nothing was asked.
        PeerAnswerLostError
            If the answer was lost.
        """

    @abc.abstractmethod
    def tell(self, address, record):
        """Send a message without waiting; it may be lost."""

    @abc.abstractmethod
    def handle(self, record_type, handler, answer_type=None):
        """Give records of a type to a handler on the control loop."""


class TransportLink(PeerLink):
    """Link over the transport between hosts.

    Parameters
    ----------
    transport : PeerTransport
        Carries the messages.
    loop : ControlLoop
        Loop of that transport.
    """

    def __init__(self, transport, loop):
        self._transport = transport
        self._loop = loop

    @property
    def address(self):
        """Peers address of this host."""
        return self._transport.address

    @property
    def incarnation(self):
        """Incarnation of this process."""
        return self._transport.incarnation

    def ask(self, address, record):
        """Ask a peer and return its answer."""
        return self._transport.ask(address, record, ASK_TIMEOUT_SECONDS)

    def tell(self, address, record):
        """Send a message without waiting; it may be lost."""
        future = self._loop.submit(
            self._transport.ask_async(address, record, ASK_TIMEOUT_SECONDS)
        )
        future.add_done_callback(lambda done: done.exception())

    def handle(self, record_type, handler, answer_type=None):
        """Give records of a type to a handler on the control loop."""
        options = {} if answer_type is None else {"answer_type": answer_type}
        self._transport.handle(record_type, handler, **options)
