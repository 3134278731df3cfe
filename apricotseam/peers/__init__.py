"""Transport of typed messages between hosts."""

from apricotseam.peers._errors import PeerAnswerLostError
from apricotseam.peers._errors import PeerMessageError
from apricotseam.peers._errors import PeerUnreachableError
from apricotseam.peers._loop import ControlLoop
from apricotseam.peers._traffic import Traffic
from apricotseam.peers._transport import Nothing
from apricotseam.peers._transport import PeerTransport

__all__ = [
    "ControlLoop",
    "Nothing",
    "PeerAnswerLostError",
    "PeerMessageError",
    "PeerTransport",
    "PeerUnreachableError",
    "Traffic",
]
