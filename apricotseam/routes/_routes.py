"""Types of what operators declared."""

import enum

import msgspec

from apricotseam.routes._engine import EngineProfile


class Repeat(enum.Enum):
    """What a route allows to be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that takes a share of a route, by weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route. Times are in seconds; priority 0 goes first."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
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
    def is_repeatable(self):
        """Whether a request may run on a second target after a failure."""
        if self.repeat is Repeat.IDEMPOTENT:
            return True
        return self.repeat is Repeat.STREAM and self.is_resumable


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service; ``engine`` is set where it runs models by layers."""

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineProfile | None = None


class Customer(msgspec.Struct, frozen=True, kw_only=True):
    """One customer and its keys."""

    name: str
    keys: frozenset[str]
    priority: int | None = None
