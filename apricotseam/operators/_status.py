"""Handlers of the administration calls for hosts and targets."""

import msgspec
import prometheus_client

from apricotseam.config import Role
from apricotseam.errors import InvalidRequestError
from apricotseam.operators._context import require_role
from apricotseam.web import Response

# Upper bound on the rows of each list in a status, since a scope may have
# thousands of targets, chains or customers.
MAX_ROWS = 1000


class HostStatus(msgspec.Struct, frozen=True, kw_only=True):
    """An entry host, its state and the revision in force on it."""

    name: str
    address: str
    availability_zone: str
    state: str
    revision: int
    peers_address: str = ""


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A target as the answering host sees it.

    ``layers`` holds the first and last model layer that it serves.
    """

    name: str
    group: str
    address: str
    availability_zone: str
    leaving: bool
    suspect: bool
    version: str | None
    layers: tuple[int | None, int | None]


class ChainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A chain in the answering host's routing plan.

    ``tokens_per_second`` is the share of the planned flow that the chain
    carries.
    """

    scope: str
    group: str
    version: str
    targets: list[str]
    tokens_per_second: float


class LimitStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Declared limits of one customer over all hosts together."""

    scope: str
    customer: str
    weight: float
    requests_per_second: float
    tokens_per_second: float
    max_streams: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of the whole system as the answering host sees it.

    Targets, chains and limits are truncated to `MAX_ROWS`; ``customers``
    counts all customers.
    """

    revision: int
    customers: int
    hosts: list[HostStatus]
    targets: list[TargetStatus]
    chains: list[ChainStatus]
    limits: list[LimitStatus]


class SpreadState(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a revision: hosts that do not have it in force yet.

    ``hosts`` counts the hosts that are not dead.
    """

    revision: int
    hosts: int
    lagging: list[HostStatus]


class StatusCalls:
    """Handles calls for status, drain and metrics.

    Parameters
    ----------
    context : OperatorContext
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context

    def status(self, request):
        """Answer ``GET /v1/admin/status``."""
        require_role(request, self._context.settings, Role.READ)
        snapshots = self._context.snapshots
        configuration = snapshots.configuration
        limits = list(_limit_statuses(configuration))
        return Response.of(
            Status(
                revision=configuration.revision if configuration else 0,
                customers=len(limits),
                hosts=snapshots.host_statuses(),
                targets=[
                    _target_status(t) for t in snapshots.targets.all[:MAX_ROWS]
                ],
                chains=self._chains(configuration)[:MAX_ROWS],
                limits=limits[:MAX_ROWS],
            )
        )

    def _chains(self, configuration):
        rows = []
        for scope, group, model in _engine_groups(configuration):
            for chain, rate in self._context.plans(scope, group, model):
                row = ChainStatus(
                    scope=scope,
                    group=group,
                    version=chain.version,
                    targets=[stage.target for stage in chain.stages],
                    tokens_per_second=round(rate, 1),
                )
                rows.append(row)
        return rows

    def revision_spread(self, request):
        """Answer ``GET /v1/admin/revisions/{revision}``."""
        require_role(request, self._context.settings, Role.READ)
        value = request.arguments["revision"]
        if not value.isdigit():
            raise InvalidRequestError(
                f"revision {value!r} is not a number", "send a revision number"
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
        """Answer ``GET /metrics``; the labels name scopes and pools.

        For that reason a role is required to read them.
        """
        require_role(request, self._context.settings, Role.READ)
        return Response(
            body=prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )


def _target_status(target):
    return TargetStatus(
        name=target.name,
        group=target.group,
        address=target.address,
        availability_zone=target.availability_zone,
        leaving=target.leaving,
        suspect=target.suspect,
        version=target.version,
        layers=(target.first, target.last),
    )


def _engine_groups(configuration):
    """Yield scope, group and model of every group of model engines."""
    scopes = configuration.scopes if configuration else {}
    for scope, scope_file in scopes.items():
        models = {model.name: model for model in scope_file.models}
        for group in scope_file.groups:
            if group.model is not None:
                yield scope, group.name, models[group.model]


def _limit_statuses(configuration):
    scopes = configuration.scopes if configuration else {}
    for scope, scope_file in scopes.items():
        for customer in scope_file.customers:
            yield LimitStatus(
                scope=scope,
                customer=customer.name,
                weight=customer.weight,
                requests_per_second=customer.requests_per_second,
                tokens_per_second=customer.tokens_per_second,
                max_streams=customer.max_streams,
            )
