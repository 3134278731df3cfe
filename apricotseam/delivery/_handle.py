"""Signed handles with which a caller goes on after its host died."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError

MAX_HANDLE_BYTES = 2048
PURPOSE = b"apricotseam resume handle 1\n"


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

    Examples
    --------
    >>> HandleSigner(["key"]).open("altered.text", 0.0)
    Traceback (most recent call last):
    ...
    apricotseam.errors._errors.ForbiddenError: the resume handle was not \
signed here; remedy: send the request again without it
    """

    __slots__ = ("_keys",)

    def __init__(self, keys):
        self._keys = [key.encode() for key in keys]

    def sign(self, handle):
        """Return a handle as text for a header."""
        payload = _encode(msgspec.json.encode(handle))
        return f"{payload}.{_signature(self._keys[0], payload)}"

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
            If no key of this host signed it.
        InvalidRequestError
            If it is past its deadline.
        """
        payload, _, signature = text.partition(".")
        if len(text) > MAX_HANDLE_BYTES or not self._is_signed(
            payload, signature
        ):
            raise ForbiddenError(
                "the resume handle was not signed here",
                "send the request again without it",
            )
        handle = _decode(payload)
        if handle.deadline <= now:
            raise InvalidRequestError(
                "the resume handle is past its deadline",
                "send the request again without it",
            )
        return handle

    def _is_signed(self, payload, signature):
        if not (payload.isascii() and signature.isascii()):
            return False
        return any(
            hmac.compare_digest(_signature(key, payload), signature)
            for key in self._keys
        )


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


def _signature(key, payload):
    text = PURPOSE + payload.encode()
    return _encode(hmac.digest(key, text, "sha256"))


def _encode(data):
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(payload):
    padding = "=" * (-len(payload) % 4)
    try:
        data = base64.urlsafe_b64decode(payload + padding)
        return msgspec.json.decode(data, type=ResumeHandle)
    except (binascii.Error, msgspec.DecodeError):
        raise ForbiddenError(
            "the resume handle is of another release",
            "send the request again without it",
        ) from None
