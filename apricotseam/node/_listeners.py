"""Small listeners beside the callers': addresses, readiness, metrics."""

import prometheus_client

from apricotseam.http1 import Server
from apricotseam.platform import decode_address_question
from apricotseam.platform import encode_addresses
from apricotseam.platform import MAX_ADDRESSES
from apricotseam.platform import READINESS_PATH

MIN_NEAR_HOSTS = 2
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class Directory:
    """Tells callers which addresses to use.

    Parameters
    ----------
    hosts : Hosts
        Membership.
    valid_seconds : float
        How long callers may keep an answer.
    silent : callable
        Returns the peers' addresses of hosts that should have been heard
        and were not.
    """

    def __init__(self, hosts, valid_seconds, silent):
        self._hosts = hosts
        self._silent = silent
        self._valid_seconds = valid_seconds

    async def handle(self, request, exchange):
        """Answer one question for addresses."""
        question = decode_address_question(request.target)
        if question is None:
            exchange.answer(404)
            return
        addresses = choose_addresses(
            self._hosts.table, question.zone, self._silent()
        )
        if not addresses:
            exchange.answer(503)
            return
        body = encode_addresses(addresses, self._valid_seconds)
        exchange.answer(200, body, JSON_HEADERS)


def choose_addresses(table, zone, silent=()):
    """Return the callers' addresses that a caller of a zone should use.

    Hosts of the caller's availability zone, if there are two at least;
    else all. Hosts that are leaving, suspect or silent are left out unless
    no other is known.

    Parameters
    ----------
    table : MemberTable
        The known hosts.
    zone : str
        Availability zone of the caller.
    silent : container of str
        Peers' addresses of hosts that were not heard for a while.
    """
    live = [m for m in table.live() if m.peers_address not in silent]
    if not live:
        live = [m for m in table.present() if not m.is_leaving]
    near = [m for m in live if m.availability_zone == zone]
    chosen = near if len(near) >= MIN_NEAR_HOSTS else live
    return [m.callers_address for m in chosen][:MAX_ADDRESSES]


class Readiness:
    """Answers whether this host is ready to take requests.

    Parameters
    ----------
    is_ready : callable
        Returns whether it is.
    """

    def __init__(self, is_ready):
        self._is_ready = is_ready

    async def handle(self, request, exchange):
        """Answer one question of the platform."""
        if request.path != READINESS_PATH:
            exchange.answer(404)
            return
        exchange.answer(200 if self._is_ready() else 503)


class Metrics:
    """Serves the metrics of this process.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        What is served.
    """

    def __init__(self, registry):
        self._registry = registry

    async def handle(self, request, exchange):
        """Answer one reader of metrics."""
        body = prometheus_client.generate_latest(self._registry)
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.answer(200, body, headers)


async def listen(address, handler):
    """Return a started `Server` of a handler on ``ip:port``."""
    server = Server(handler)
    await server.start(address)
    return server
