"""Dependencies of the operators' HTTP handlers and the check of roles."""

import hmac

from apricotseam.callers import bearer_key
from apricotseam.callers import hash_key
from apricotseam.config import Role
from apricotseam.errors import AuthenticationError
from apricotseam.errors import ForbiddenError

_RANKS = {Role.READ: 0, Role.APPLY: 1, Role.OPERATE: 2}


class OperatorContext:
    """Dependencies that the handlers of administration calls share.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    store : ConfigurationStore
        Configuration in the key-value service.
    snapshots : Snapshots
        Current configuration, target table and host members.
    drain : callable
        Starts a planned stop of this host.
    spread_state : callable
        ``spread_state(revision)`` returns the `SpreadState` of a revision
        over all hosts.
    plans : callable
        ``plans(scope, group, model)`` returns pairs of `Chain` and planned
        tokens per second. Without it no chain is listed.
    """

    __slots__ = (
        "clock",
        "drain",
        "plans",
        "settings",
        "snapshots",
        "spread_state",
        "store",
    )

    def __init__(
        self,
        settings,
        clock,
        store,
        snapshots,
        drain,
        spread_state=None,
        plans=None,
    ):
        self.settings = settings
        self.clock = clock
        self.store = store
        self.snapshots = snapshots
        self.drain = drain
        self.spread_state = spread_state
        self.plans = plans or (lambda scope, group, model: ())


def require_role(request, settings, role):
    """Return the `Operator` of a request if its role is sufficient.

    Raises
    ------
    AuthenticationError
        If the key is missing or unknown.
    ForbiddenError
        If the operator's role does not include `role`.
    """
    digest = hash_key(bearer_key(request))
    found = None
    for operator in settings.operators:
        if hmac.compare_digest(operator.key_hash, digest):
            found = operator
    if found is None:
        raise AuthenticationError(
            "the operator's key is unknown",
            "use a key that the host's settings list",
        )
    if _RANKS[found.role] < _RANKS[role]:
        raise ForbiddenError(
            f"role {found.role.value!r} does not allow this call",
            f"use a key with role {role.value!r}",
        )
    return found
