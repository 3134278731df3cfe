"""Errors of the calls between hosts."""

from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import RefusedError


class PeerUnreachableError(RefusedError):
    """No connection to the peer could be made; nothing was asked."""

    code = "peer_unreachable"


class PeerAnswerLostError(OutcomeUnknownError):
    """The peer may have taken the question; its answer was lost."""

    code = "peer_answer_lost"


class PeerMessageError(RefusedError):
    """A message between hosts is too large, forged or not understood."""

    code = "peer_message_refused"
