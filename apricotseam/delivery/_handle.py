"""Signed handles that let a caller resume an answer on another host."""

import hashlib

import msgspec

from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.security import Signer

# Signed with each handle, so that texts signed with the same key for other
# purposes are not accepted as handles.
PURPOSE_PREFIX = "resume 1 "


class ResumeHandle(msgspec.Struct, frozen=True, kw_only=True):
    """Data that any host needs to resume an answer.

    ``position`` is the first position from which the caller may resume, and
    ``digest`` the `body_digest` of the request. The handle expires at
    ``deadline``, a wall-clock time in seconds.
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
    """Signs resume handles, and verifies and decodes signed ones.

    Parameters
    ----------
    keys : list of str
        Signing keys. The first one signs; all are accepted.
    """

    __slots__ = ("_signer",)

    def __init__(self, keys):
        self._signer = Signer(keys)

    def sign(self, handle):
        """Return the signed text form of a handle, fit for a header."""
        return self._signer.sign(
            PURPOSE_PREFIX + msgspec.json.encode(handle).decode()
        )

    def open(self, text, now):
        """Verify a signed text and return its `ResumeHandle`.

        Parameters
        ----------
        text : str
            Text that `sign` returned.
        now : float
            Wall-clock time in seconds.

        Raises
        ------
        ForbiddenError
            If it was not signed with one of the keys as a resume handle of
            this format.
        InvalidRequestError
            If the handle has expired.
        """
        handle = _decode(self._signer.verify(text))
        if handle.deadline <= now:
            raise InvalidRequestError(
                "the resume handle is past its deadline",
                "send the request again without it",
            )
        return handle


def body_digest(model, messages):
    """Return the digest that binds a handle to a request body.

    Parameters
    ----------
    model : str
        Name of the pipeline.
    messages : list of (str, str)
        Role and content of each message.

    Returns
    -------
    str
        SHA-256 digest in hexadecimal digits.
    """
    text = msgspec.json.encode((model, messages))
    return hashlib.sha256(text).hexdigest()


def _decode(text):
    try:
        if not text.startswith(PURPOSE_PREFIX):
            raise msgspec.DecodeError("signed for another purpose")
        return msgspec.json.decode(
            text[len(PURPOSE_PREFIX) :], type=ResumeHandle
        )
    except msgspec.DecodeError:
        raise ForbiddenError(
            "the resume handle is from another release or purpose",
            "send the request again without it",
        ) from None
