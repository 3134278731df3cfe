"""HTTP endpoints for host addresses, readiness and metrics."""

import prometheus_client

from apricotseam.http1 import Server
from apricotseam.platform import decode_address_query
from apricotseam.platform import encode_addresses
from apricotseam.platform import MAX_ADDRESSES
from apricotseam.platform import READINESS_PATH

MIN_ZONE_HOSTS = 2
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class AddressDirectory:
    """Serves the addresses of hosts that callers may send requests to.

    Parameters
    ----------
    hosts : Hosts
        The known hosts of the fleet.
    valid_seconds : float
        How long callers may cache an answer.
    list_silent_peers : callable
        Returns the peer addresses of hosts whose usage messages are overdue.
    """

    def __init__(self, hosts, valid_seconds, list_silent_peers):
        self._hosts = hosts
        self._list_silent_peers = list_silent_peers
        self._valid_seconds = valid_seconds

    async def handle(self, request, exchange):
        """Answer a query for host addresses."""
        query = decode_address_query(request.target)
        if query is None:
            exchange.answer(404)
            return
        addresses = choose_addresses(
            self._hosts.table, query.zone, self._list_silent_peers()
        )
        if not addresses:
            exchange.answer(503)
            return
        body = encode_addresses(addresses, self._valid_seconds)
        exchange.answer(200, body, JSON_HEADERS)


def choose_addresses(table, zone, silent_peers=()):
    """Return the host addresses that a caller in a zone should use.

    Returns the hosts of the caller's availability zone if it has at least
    ``MIN_ZONE_HOSTS`` usable ones, otherwise those of all zones. Hosts that
    are cut off from a service are included only if all are, suspect and
    silent ones only if there is no other; leaving hosts never are.

    Parameters
    ----------
    table : MemberTable
        The known hosts.
    zone : str
        Availability zone of the caller.
    silent_peers : container of str
        Peer addresses of hosts whose usage messages are overdue.

    Returns
    -------
    list of str
        At most ``MAX_ADDRESSES`` callers' addresses, each ``ip:port``.
    """
    heard = [m for m in table.live() if m.peers_address not in silent_peers]
    live = [m for m in heard if not m.lost_services] or heard
    if not live:
        live = [m for m in table.present() if not m.is_leaving]
    same_zone = [m for m in live if m.availability_zone == zone]
    chosen = same_zone if len(same_zone) >= MIN_ZONE_HOSTS else live
    return [m.callers_address for m in chosen][:MAX_ADDRESSES]


class Readiness:
    """Readiness endpoint for the platform.

    Parameters
    ----------
    is_ready : callable
        Returns whether this host can take requests.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, request, exchange):
        """Answer a readiness probe with status 200 or 503."""
        if request.path != READINESS_PATH:
            exchange.answer(404)
            return
        exchange.answer(200 if self._is_ready() else 503)


class Metrics:
    """Serves the metrics of this process in the Prometheus text format.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        The metrics to serve.
    controls : list of QuarantineControl and ReachControl
        Answer operators' requests at the same address.
    """

    def __init__(self, registry, controls):
        self._registry = registry
        self._controls = controls

    async def handle(self, request, exchange):
        """Answer one scrape, or a request of an operator."""
        for control in self._controls:
            if control.accepts(request):
                control.handle(request, exchange)
                return
        body = prometheus_client.generate_latest(self._registry)
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.answer(200, body, headers)


async def start_server(address, handler, budget=None):
    """Start and return a `Server` for a handler on ``ip:port``."""
    server = Server(handler, budget=budget)
    await server.start(address)
    return server
