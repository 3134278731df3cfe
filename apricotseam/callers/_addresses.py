"""Answers to callers that ask which addresses to use."""

import msgspec

from apricotseam.callers._context import authenticate
from apricotseam.web import Response


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses in the order to try them, valid until a wall time.

    ``ticket`` lets one request that is not idempotent run once.
    """

    addresses: list[str]
    valid_until: float
    ticket: str


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
        settings = self._context.settings
        valid = settings.bounds.address_valid_seconds
        answer = AddressAnswer(
            addresses=self._context.snapshots.callers_addresses(),
            valid_until=self._context.clock.wall() + valid,
            ticket=self._context.execution.issue_ticket(
                caller.scope_file.scope, caller.customer.name
            ),
        )
        return Response.of(answer)
