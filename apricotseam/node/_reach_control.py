"""Shows operators which targets this host reaches."""

import msgspec

REACH_PATH = "/reach"
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class ReachStatus(msgspec.Struct, frozen=True):
    """What a host knows of its own and of the others' links.

    ``lost_services`` are those of which it reaches no target. ``silent`` are
    targets that it finds silent, ``silent_to_peers`` those of them that most
    other hosts find silent, too. ``cut_off_hosts`` has the lost services of
    each host that has any.
    """

    host: str
    lost_services: list[str]
    targets: int
    silent: list[str]
    silent_to_peers: list[str]
    cut_off_hosts: dict[str, list[str]]


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
            lost_services=list(context.prober.reach.lost_services),
            targets=len(context.fleet),
            silent=silent,
            silent_to_peers=[
                identity
                for identity in silent
                if context.peer_views.is_shared(identity)
            ],
            cut_off_hosts={
                member.name: list(member.lost_services)
                for member in self._hosts.table.present()
                if member.lost_services
            },
        )
