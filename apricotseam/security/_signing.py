"""Signed text with an overlap of keys while they are replaced."""

import base64
import hashlib
import hmac

from apricotseam.errors import ForbiddenError

MAX_SIGNED_CHARACTERS = 4096


class Signer:
    """Signs with the first key and accepts all keys.

    To replace a key, put the new one second on every host, then first,
    then remove the old one.

    Parameters
    ----------
    keys : list of str
        Secret keys; the first one signs.

    Examples
    --------
    >>> old, new = Signer(["a"]), Signer(["b", "a"])
    >>> new.verify(old.sign("text"))
    'text'
    """

    __slots__ = ("_keys",)

    def __init__(self, keys):
        self._keys = [key.encode() for key in keys]

    def sign(self, text):
        """Return the text with its signature, safe for headers."""
        body = _encode(text.encode())
        return f"{body}.{self._mark(self._keys[0], body)}"

    def verify(self, signed):
        """Return the text that was signed.

        Raises
        ------
        ForbiddenError
            If no key made the signature.
        """
        body, _, mark = signed[:MAX_SIGNED_CHARACTERS].rpartition(".")
        given = mark.encode("utf-8", "surrogateescape")
        for key in self._keys:
            if hmac.compare_digest(self._mark(key, body).encode(), given):
                return _decode(body)
        raise ForbiddenError(
            "the signature is not valid", "send the text as it was given"
        )

    @staticmethod
    def _mark(key, body):
        text = body.encode("utf-8", "surrogateescape")
        return _encode(hmac.digest(key, text, hashlib.sha256))


def _encode(data):
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text):
    padding = "=" * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding).decode()
