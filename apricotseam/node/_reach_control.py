"""Shows operators which targets this host reaches."""

import msgspec

REACH_PATH = "/reach"
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class ReachStatus(msgspec.Struct, frozen=True):
    """What a host knows of its own and of the others' links.

    ``links_lost`` is whether it reaches no target. ``silent`` are targets
    that it finds silent, ``silent_to_peers`` those of them that most other
    hosts find silent, too. ``cut_off_hosts`` are the hosts that say of
    themselves that they reach no target.
    """

    host: str
    links_lost: bool
    targets: int
    silent: list[str]
    silent_to_peers: list[str]
    cut_off_hosts: list[str]


class ReachControl:
    """Endpoint for operators: ``GET /reach`` answers a `ReachStatus`.

    Parameters
    ----------
    context : ForwardingContext
        Targets and reach of this host.
    hosts : Hosts
        The known hosts of the fleet.
    """

    def __init__(self, context, hosts):
        self._context = context
        self._hosts = hosts

    def accepts(self, request):
        """Return whether a request is for this endpoint."""
        return request.path == REACH_PATH

    def handle(self, request, exchange):
        """Answer a request of an operator."""
        body = msgspec.json.encode(self._status())
        exchange.answer(200, body, JSON_HEADERS)

    def _status(self):
        context = self._context
        silent = [t.identity for t in context.fleet if t.health.is_silent]
        return ReachStatus(
            host=context.host,
            links_lost=context.prober.reach.is_lost,
            targets=len(context.fleet),
            silent=silent,
            silent_to_peers=[
                identity
                for identity in silent
                if context.is_silent_to_peers(identity)
            ],
            cut_off_hosts=sorted(
                member.name
                for member in self._hosts.table.present()
                if member.is_cut_off
            ),
        )
