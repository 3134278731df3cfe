"""Signed tickets that name the one host that may grant a run."""

import base64
import hashlib
import hmac
import secrets

import msgspec

from apricotseam.errors import InvalidRequestError

RANDOM_BYTES = 12
SIGNATURE_BYTES = 16
MAX_TICKET_CHARACTERS = 512


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Permission for one run, granted by the host that issued it.

    ``home`` is that host's peers address, ``incarnation`` its process and
    ``expires`` a time in seconds of the home's clock since 1970.
    """

    home: str
    incarnation: int
    nonce: str
    expires: float
    scope: str
    customer: str


class TicketSigner:
    """Signs tickets with the first key and accepts those of any key.

    Parameters
    ----------
    keys : list of str
        Signing keys of the settings, newest first.
    """

    def __init__(self, keys):
        self._keys = [key.encode() for key in keys]

    def issue(self, home, incarnation, scope, customer, expires):
        """Return the text of a new ticket.

        Parameters
        ----------
        home : str
            Peers address of the issuing host.
        incarnation : int
            Incarnation of the issuing process.
        scope, customer : str
            The only customer that may use it.
        expires : float
            Seconds since 1970 past which no run is granted.
        """
        nonce = secrets.token_urlsafe(RANDOM_BYTES)
        ticket = Ticket(home, incarnation, nonce, expires, scope, customer)
        body = msgspec.msgpack.encode(ticket)
        text = base64.urlsafe_b64encode(_sign(self._keys[0], body) + body)
        return text.rstrip(b"=").decode()

    def read(self, text, scope, customer):
        """Return the `Ticket` of a text if it belongs to the customer.

        Raises
        ------
        InvalidRequestError
            If it is damaged, of an unknown key or another customer's.
        """
        raw = _decode(text)
        signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        accepted = [
            hmac.compare_digest(_sign(key, body), signature)
            for key in self._keys
        ]
        if not any(accepted):
            raise _invalid("it was not signed by this system")
        ticket = msgspec.msgpack.decode(body, type=Ticket)
        if (ticket.scope, ticket.customer) != (scope, customer):
            raise _invalid("it was issued to another customer")
        return ticket


def _sign(key, body):
    digest = hmac.new(key, b"ticket\n" + body, hashlib.sha256).digest()
    return digest[:SIGNATURE_BYTES]


def _decode(text):
    if len(text) > MAX_TICKET_CHARACTERS:
        raise _invalid("it is too long")
    try:
        return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
    except ValueError:
        raise _invalid("it is damaged") from None


def _invalid(reason):
    return InvalidRequestError(
        f"the ticket is not accepted: {reason}",
        "take a new ticket at GET /v1/addresses",
    )
