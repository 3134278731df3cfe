"""Takes requests that other hosts pass on because they are cut off."""

import logging

from apricotseam.errors import InvalidInputError
from apricotseam.forwarding._answering import decline
from apricotseam.relay import take_hop

_LOG = logging.getLogger(__name__)


class RelayReceiver:
    """Request handler of the listener for other hosts.

    A request that arrives here gets the checks of any other. What differs is
    that it isn't passed on again, and that the other host has counted it.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests of this host.
    gateway : Gateway
        Runs the requests.
    """

    def __init__(self, context, gateway):
        self._context = context
        self._gateway = gateway

    async def handle(self, request, exchange):
        """Run one request of another host, or decline it."""
        ip = exchange.client_ip
        if not self._context.relay_hosts.is_known(ip):
            _LOG.warning("relay_forbidden", extra={"client": ip})
            decline(exchange, "unknown_host")
            return
        try:
            request, hop = take_hop(request)
        except InvalidInputError as error:
            _LOG.warning("relay_invalid", extra={"error": str(error)})
            decline(exchange, "invalid")
            return
        cause = self._declining_cause(hop)
        if cause is not None:
            decline(exchange, cause)
            return
        await self._gateway.handle(request, exchange, hop)

    def _declining_cause(self, hop):
        """Return why this host is no better than the other one, or None."""
        context = self._context
        if context.shutdown_at is not None:
            return "leaving"
        if context.prober.reach.is_lost(hop.service):
            return "cut_off"
        if context.table is None or context.table.position < hop.position:
            return "outdated"
        return None
