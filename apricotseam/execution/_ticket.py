"""Signed tickets, each for a single run that its issuing host grants."""

import secrets

import msgspec

from apricotseam.errors import ForbiddenError
from apricotseam.errors import InvalidRequestError
from apricotseam.security import Signer

RANDOM_BYTES = 12


class Ticket(msgspec.Struct, frozen=True, array_like=True, tag="ticket"):
    """Entitles its customer to one run, granted by the issuing host.

    ``home`` is the peer address of the issuing host and ``incarnation`` that
    of its process. No run is granted after ``expires``, in seconds since
    1970 by the clock of the issuing host.
    """

    home: str
    incarnation: int
    nonce: str
    expires: float
    scope: str
    customer: str


class TicketSigner:
    """Signs tickets with the first key; accepts those signed with any key.

    Parameters
    ----------
    keys : list of str
        Signing keys from the settings, newest first.
    """

    def __init__(self, keys):
        self._signer = Signer(keys)

    def issue(self, home, incarnation, scope, customer, expires):
        """Return the text of a new ticket.

        Parameters
        ----------
        home : str
            Peer address of the issuing host.
        incarnation : int
            Incarnation of the issuing process.
        scope, customer : str
            The only customer that may use the ticket.
        expires : float
            Seconds since 1970 after which no run is granted.
        """
        nonce = secrets.token_urlsafe(RANDOM_BYTES)
        ticket = Ticket(home, incarnation, nonce, expires, scope, customer)
        return self._signer.sign(msgspec.json.encode(ticket).decode())

    def read(self, text, scope, customer):
        """Verify the text of a ticket and return the `Ticket`.

        Raises
        ------
        InvalidRequestError
            If the text is damaged, if it was signed with an unknown key, or
            if it was issued to another customer.
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
        f"the ticket is invalid: {reason}",
        "get a new ticket from GET /v1/addresses",
    )
