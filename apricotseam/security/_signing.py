"""Signatures of text that support key rotation."""

import base64
import hashlib
import hmac

from apricotseam.errors import ForbiddenError

# Signed text that is longer is truncated and therefore invalid.
MAX_SIGNED_CHARACTERS = 4096


class Signer:
    """Signs text with the first key and verifies it with any key.

    To rotate keys, add the new key as the second one on every host, then
    move it to the first place on every host, then remove the old key.

    Parameters
    ----------
    keys : list of str
        Secret keys; the first one is used for signing.

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
        """Return the text and its signature, encoded for HTTP headers."""
        body = _encode(text.encode())
        return f"{body}.{self._signature(self._keys[0], body)}"

    def verify(self, signed):
        """Check the signature and return the text that was signed.

        Parameters
        ----------
        signed : str
            Result of `sign`.

        Raises
        ------
        ForbiddenError
            If the signature does not match any key.
        """
        body, _, signature = signed[:MAX_SIGNED_CHARACTERS].rpartition(".")
        signature_bytes = signature.encode("utf-8", "surrogateescape")
        for key in self._keys:
            if hmac.compare_digest(
                self._signature(key, body).encode(), signature_bytes
            ):
                return _decode(body)
        raise ForbiddenError(
            "the signature is not valid", "send the signed text unchanged"
        )

    @staticmethod
    def _signature(key, body):
        text = body.encode("utf-8", "surrogateescape")
        return _encode(hmac.digest(key, text, hashlib.sha256))


def _encode(data):
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text):
    padding = "=" * (-len(text) % 4)
    return base64.urlsafe_b64decode(text + padding).decode()
