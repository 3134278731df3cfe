"""Answers to callers that ask which addresses to use."""

import urllib.parse

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.errors import InvalidRequestError
from apricotseam.web import Response

MAX_TICKETS = 64


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses in the order to try them, valid until a wall time.

    ``ticket`` lets one request that is not idempotent run once;
    ``tickets`` holds as many as were asked for, that one first. They are
    settled fastest at ``ticket_address``; any address will do.
    """

    addresses: list[str]
    valid_until: float
    ticket: str
    tickets: list[str] = []
    ticket_address: str = ""


class Addresses:
    """Answers ``GET /v1/addresses``.

    Parameters
    ----------
    context : CallerContext
        Parts of the request path.
    """

    def __init__(self, context):
        self._context = context

    def handle(self, request):
        """Return the addresses that this caller should use."""
        caller = authenticate(request, self._context.snapshots)
        tickets = self._issue_tickets(caller, _ticket_count(request))
        settings = self._context.settings
        valid = settings.bounds.address_valid_seconds
        answer = AddressAnswer(
            addresses=self._context.snapshots.callers_addresses(),
            valid_until=self._context.clock.wall() + valid,
            ticket=tickets[0],
            tickets=tickets,
            ticket_address=settings.callers_address,
        )
        return Response.of(answer)

    def _issue_tickets(self, caller, count):
        issue = self._context.execution.issue_ticket
        scope = caller.scope_file.scope
        return [issue(scope, caller.customer.name) for _ in range(count)]


def _ticket_count(request):
    """Return how many tickets the query asks for.

    Raises
    ------
    InvalidRequestError
        If it is no number from 1 to `MAX_TICKETS`.
    """
    query = urllib.parse.parse_qs(request.query)
    text = query.get("tickets", ["1"])[0]
    if text.isdecimal() and 1 <= int(text) <= MAX_TICKETS:
        return int(text)
    raise InvalidRequestError(
        f"tickets={text!r} is no number from 1 to {MAX_TICKETS}",
        "ask for fewer tickets",
    )
