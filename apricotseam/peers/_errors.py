"""Errors of calls between hosts."""

from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import RefusedError


class PeerUnreachableError(RefusedError):
    """No connection to the peer could be established; nothing was sent."""

    code = "peer_unreachable"


class PeerAnswerLostError(OutcomeUnknownError):
    """The peer may have received the request, but its answer was lost."""

    code = "peer_answer_lost"


class PeerMessageError(RefusedError):
    """A message between hosts is too large, forged or of unknown kind."""

    code = "peer_message_refused"
