"""Typed schema of scope files.

A file declares one scope; applying it replaces the whole scope. The classes
are frozen, slotted records that `msgspec` fills and validates.
"""

import enum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Positive = Annotated[float, msgspec.Meta(gt=0, le=1e12)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000_000)]


class _Record(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all records; frozen, slotted and without unknown fields."""


class LayerRange(_Record, kw_only=True):
    """Contiguous layers ``first`` to ``last``, both included."""

    first: Annotated[int, msgspec.Meta(ge=0, le=10_000)]
    last: Annotated[int, msgspec.Meta(ge=0, le=10_000)]


class Model(_Record, kw_only=True):
    """A model, its number of layers and the version to serve."""

    name: Name
    layers: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    versions: Annotated[list[Name], msgspec.Meta(min_length=1, max_length=16)]
    serving: Name
    adapters: list[Name] = []


class Accelerator(_Record, kw_only=True):
    """A kind of accelerator and its speed.

    ``layer_tokens_per_second`` is the number of tokens that it can
    process in one layer per second; ``memory_layers`` is the number of
    layers that fit into its memory.
    """

    name: Name
    layer_tokens_per_second: Positive
    memory_layers: Count


class Link(_Record, kw_only=True):
    """Bandwidth and latency between two availability zones.

    ``tokens_per_second`` bounds the hidden states that cross the link,
    ``latency_milliseconds`` is one way.
    """

    between: Annotated[list[Name], msgspec.Meta(min_length=2, max_length=2)]
    tokens_per_second: Positive
    latency_milliseconds: Annotated[float, msgspec.Meta(ge=0, le=10_000)]


class TargetKind(enum.Enum):
    """Whether a group holds model engines or plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.Enum):
    """Whether targets of a group refuse an outdated fencing token."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Target(_Record, kw_only=True):
    """A target: a model engine or a server of a plain service."""

    name: Name
    address: Address
    availability_zone: Name
    accelerator: Name | None = None
    layers: LayerRange | None = None
    leaving: bool = False


class Group(_Record, kw_only=True):
    """Targets that are ordered and routed to together."""

    name: Name
    kind: TargetKind
    targets: Annotated[list[Target], msgspec.Meta(max_length=10_000)]
    model: Name | None = None
    fencing: Fencing = Fencing.IGNORED


class PriorityClass(_Record, kw_only=True):
    """A class of requests; a lower rank goes first.

    ``weight`` shares capacity inside one rank.
    """

    name: Name
    rank: Annotated[int, msgspec.Meta(ge=0, le=100)]
    weight: Positive = 1.0
    first_token_milliseconds: Positive = 1300.0


class Pipeline(_Record, kw_only=True):
    """A model that callers reach by the pipeline's name."""

    name: Name
    model: Name
    group: Name
    default_priority: Name
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 1024
    share_prefixes: bool = False


class Call(_Record, kw_only=True):
    """A call of a plain service, matched by method and path prefix."""

    method: Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{3,7}$")]
    path: Annotated[str, msgspec.Meta(pattern=r"^/\S*$", max_length=512)]
    idempotent: bool
    priority: Name


class PlainService(_Record, kw_only=True):
    """A plain service, its group and its calls."""

    name: Name
    group: Name
    calls: Annotated[list[Call], msgspec.Meta(min_length=1, max_length=256)]


class Customer(_Record, kw_only=True):
    """A customer with its weight, limits and the hashes of its keys.

    ``priorities`` names classes that its callers may ask for although
    they are more urgent than the declared class of a call.
    """

    name: Name
    weight: Positive = 1.0
    requests_per_second: Positive = 100.0
    tokens_per_second: Positive = 100_000.0
    max_streams: Count = 1000
    priorities: list[Name] = []
    key_hashes: Annotated[list[Digest], msgspec.Meta(max_length=8)]


class WeightStoreLimit(_Record, kw_only=True):
    """Bound on loads from the weight store."""

    loads_per_minute: Positive = 6.0


class ScopeFile(_Record, kw_only=True):
    """A scope file: everything that one scope declares."""

    scope: Name
    models: list[Model] = []
    accelerators: list[Accelerator] = []
    links: list[Link] = []
    groups: list[Group] = []
    priorities: Annotated[
        list[PriorityClass], msgspec.Meta(min_length=1, max_length=32)
    ]
    pipelines: list[Pipeline] = []
    services: list[PlainService] = []
    customers: Annotated[list[Customer], msgspec.Meta(max_length=100_000)]
    weight_store: WeightStoreLimit = WeightStoreLimit()
