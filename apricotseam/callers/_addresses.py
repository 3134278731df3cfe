"""Addresses of entry hosts and execution tickets for callers."""

import urllib.parse

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.errors import InvalidRequestError
from apricotseam.web import Response

MAX_TICKETS = 64


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses in the order to try them, and execution tickets.

    ``valid_until`` is a wall-clock time in seconds. Each ticket allows one
    request that is not idempotent to run at most once; ``tickets`` has as
    many as were requested, beginning with ``ticket``. A request with a
    ticket may be sent to any address, but ``ticket_address``, the host
    that issued it, is the fastest.
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
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context

    def handle(self, request):
        """Return the addresses that this caller should use."""
        caller = authenticate(request, self._context.snapshots)
        tickets = self._issue_tickets(caller, _ticket_count(request))
        settings = self._context.settings
        valid_seconds = settings.bounds.address_valid_seconds
        answer = AddressAnswer(
            addresses=self._context.snapshots.callers_addresses(),
            valid_until=self._context.clock.wall() + valid_seconds,
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
    """Return the number of tickets that the query asks for, 1 by default.

    Raises
    ------
    InvalidRequestError
        If it is not a number from 1 to `MAX_TICKETS`.
    """
    query = urllib.parse.parse_qs(request.query)
    value = query.get("tickets", ["1"])[0]
    if value.isdecimal() and 1 <= int(value) <= MAX_TICKETS:
        return int(value)
    raise InvalidRequestError(
        f"tickets={value!r} is not a number from 1 to {MAX_TICKETS}",
        "ask for a number in this range",
    )
