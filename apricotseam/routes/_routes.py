"""Types of the declared routes, services and customers."""

import enum

import msgspec

from apricotseam.routes._engine import EngineProfile

# Callers leave a stream after a gap of these seconds, or of a multiple of
# the objective or of the longest pause if that is longer.
MIN_PATIENCE_SECONDS = 2.0
OBJECTIVE_PATIENCE_FACTOR = 4.0
PAUSE_PATIENCE_FACTOR = 8.0


class RepeatPolicy(enum.Enum):
    """Whether and how requests of a route may be retried.

    A request that a target may have run is run again if it is idempotent.
    ``ONCE`` requests are not. ``STREAM`` requests, which are answered by a
    stream of events, are run again only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route, with times in seconds.

    ``objective_seconds`` is the latency objective, ``pause_seconds`` the
    objective for the time between two events. ``priority`` 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float
    objective_seconds: float = 1.0
    pause_seconds: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_generation: bool = False
    is_resumable: bool = False

    @property
    def patience_seconds(self):
        """Longest gap, also before the first event, that callers accept."""
        return max(
            MIN_PATIENCE_SECONDS,
            OBJECTIVE_PATIENCE_FACTOR * self.objective_seconds,
            PAUSE_PATIENCE_FACTOR * self.pause_seconds,
        )

    @property
    def is_repeatable(self):
        """Whether a failed request may be run again on another target."""
        if self.repeat is RepeatPolicy.IDEMPOTENT:
            return True
        return self.repeat is RepeatPolicy.STREAM and self.is_resumable


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service.

    ``engine`` is None unless the targets run a model in chains, each target
    a range of its layers.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineProfile | None = None


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """One customer and its API keys.

    ``priority`` replaces that of the route; None leaves the route's.
    """

    name: str
    keys: frozenset[str]
    priority: int | None = None
