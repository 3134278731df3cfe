"""Signed handles with which a caller goes on after its host died."""

import hashlib

import msgspec

from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.security import Signer

PURPOSE = "resume 1 "


class ResumeHandle(msgspec.Struct, frozen=True, kw_only=True):
    """What any host must know to go on with an answer.

    ``position`` is the first one that the caller may ask for, ``digest``
    that of the request's body, ``deadline`` the wall-clock time in seconds
    past which the handle is void.
    """

    scope: str
    customer: str
    pipeline: str
    model: str
    version: str
    stream: str
    revision: int
    position: int
    max_tokens: int
    digest: str
    deadline: float


class HandleSigner:
    """Signs handles and opens signed ones.

    Parameters
    ----------
    keys : list of str
        The first key signs; each of them is accepted.
    """

    __slots__ = ("_signer",)

    def __init__(self, keys):
        self._signer = Signer(keys)

    def sign(self, handle):
        """Return a handle as text for a header."""
        return self._signer.sign(
            PURPOSE + msgspec.json.encode(handle).decode()
        )

    def open(self, text, now):
        """Return the `ResumeHandle` of a signed text.

        Parameters
        ----------
        text : str
            What `sign` returned.
        now : float
            Wall-clock time in seconds.

        Raises
        ------
        ForbiddenError
            If no key of this host signed it as a resume handle.
        InvalidRequestError
            If it is past its deadline.
        """
        handle = _decode(self._signer.verify(text))
        if handle.deadline <= now:
            raise InvalidRequestError(
                "the resume handle is past its deadline",
                "send the request again without it",
            )
        return handle


def body_digest(model, messages):
    """Return the digest that ties a handle to a request's body.

    Parameters
    ----------
    model : str
        Name of the pipeline.
    messages : list of (str, str)
        Role and content of each message.
    """
    text = msgspec.json.encode((model, messages))
    return hashlib.sha256(text).hexdigest()


def _decode(text):
    try:
        if not text.startswith(PURPOSE):
            raise msgspec.DecodeError("signed for another purpose")
        return msgspec.json.decode(text[len(PURPOSE) :], type=ResumeHandle)
    except msgspec.DecodeError:
        raise ForbiddenError(
            "the resume handle is of another release or purpose",
            "send the request again without it",
        ) from None
