"""Signed tickets that name the one host that may grant a run."""

import secrets

import msgspec

from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.security import Signer

RANDOM_BYTES = 12


class Ticket(msgspec.Struct, frozen=True, array_like=True, tag="ticket"):
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
        self._signer = Signer(keys)

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
        return self._signer.sign(msgspec.json.encode(ticket).decode())

    def read(self, text, scope, customer):
        """Return the `Ticket` of a text if it belongs to the customer.

        Raises
        ------
        InvalidRequestError
            If it is damaged, of an unknown key or another customer's.
        """
        try:
            signed = self._signer.verify(text)
            ticket = msgspec.json.decode(signed, type=Ticket)
        except (ForbiddenError, ValueError):
            raise _invalid("it was not issued by this system") from None
        if (ticket.scope, ticket.customer) != (scope, customer):
            raise _invalid("it was issued to another customer")
        return ticket


def _invalid(reason):
    return InvalidRequestError(
        f"the ticket is not accepted: {reason}",
        "take a new ticket at GET /v1/addresses",
    )
