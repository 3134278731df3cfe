"""Administration calls about hosts and targets."""

import msgspec
import prometheus_client

from apricotseam.config import Role
from apricotseam.errors import InvalidRequestError
from apricotseam.operators._context import require_role
from apricotseam.web import Response


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One entry host: where it is and which revision is in force."""

    name: str
    address: str
    availability_zone: str
    state: str
    revision: int
    peers_address: str = ""


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator reads of the whole system."""

    revision: int
    hosts: list[HostStatus]
    targets: list[dict]


class SpreadState(msgspec.Struct, frozen=True, kw_only=True):
    """Which hosts have a revision in force and which lag behind."""

    revision: int
    hosts: int
    lagging: list[HostStatus]


class StatusCalls:
    """Status, drain and metrics.

    Parameters
    ----------
    context : OperatorContext
        Parts of the administration interface.
    """

    def __init__(self, context):
        self._context = context

    def status(self, request):
        """Answer ``GET /v1/admin/status``."""
        require_role(request, self._context.settings, Role.READ)
        snapshots = self._context.snapshots
        configuration = snapshots.configuration
        targets = [
            {
                "name": target.name,
                "group": target.group,
                "address": target.address,
                "availability_zone": target.availability_zone,
                "leaving": target.leaving,
                "suspect": target.suspect,
                "version": target.version,
                "layers": [target.first, target.last],
            }
            for target in snapshots.targets.all
        ]
        return Response.of(
            Status(
                revision=configuration.revision if configuration else 0,
                hosts=snapshots.host_statuses(),
                targets=targets,
            )
        )

    def wait(self, request):
        """Answer ``GET /v1/admin/revisions/{revision}``."""
        require_role(request, self._context.settings, Role.READ)
        value = request.arguments["revision"]
        if not value.isdigit():
            raise InvalidRequestError(
                f"revision {value!r} is no number", "send a revision number"
            )
        return Response.of(self._context.spread_state(int(value)))

    def drain(self, request):
        """Answer ``POST /v1/admin/drain``."""
        require_role(request, self._context.settings, Role.OPERATE)
        self._context.drain()
        return Response.of({"draining": True}, status=202)

    def ready(self, request):
        """Answer ``GET /readyz``."""
        is_ready = self._context.snapshots.configuration is not None
        return Response.of({"ready": is_ready}, 200 if is_ready else 503)

    def metrics(self, request):
        """Answer ``GET /metrics``; the labels name scopes and pools."""
        require_role(request, self._context.settings, Role.READ)
        return Response(
            body=prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )
