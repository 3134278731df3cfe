"""Typed schema of the settings of one process."""

import enum
from typing import Annotated

import msgspec

from apricotseam.config._schema import _Record
from apricotseam.config._schema import Address
from apricotseam.config._schema import Digest
from apricotseam.config._schema import Name
from apricotseam.config._schema import Positive


class Role(enum.Enum):
    """What an operator's key may do; each role includes the one before."""

    READ = "read"
    APPLY = "apply"
    OPERATE = "operate"


class Choice(enum.Enum):
    """Policy by which targets are chosen; all but the last are baselines."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REPORTED = "least_reported"
    LEAST_COST = "least_cost"


class Operator(_Record, kw_only=True):
    """An operator with a role and the hash of a key."""

    name: Name
    role: Role
    key_hash: Digest


class Tls(_Record, kw_only=True):
    """Certificate, key and authority files of one process (PEM)."""

    certificate: str
    key: str
    authority: str


class Bounds(_Record, kw_only=True):
    """Bounds of one process."""

    caller_threads: Annotated[int, msgspec.Meta(ge=2, le=2000)] = 64
    body_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 26)] = 1 << 20
    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 20)] = 1 << 16
    queued_requests: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 512
    queued_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 30)] = 1 << 23
    socket_timeout_seconds: Positive = 10.0
    step_timeout_seconds: Positive = 0.5
    report_lag_seconds: Annotated[float, msgspec.Meta(ge=0, le=60)] = 0.0
    address_valid_seconds: Positive = 30.0
    leaving_margin_seconds: Positive = 5.0
    stop_timeout_seconds: Positive = 120.0


class Settings(_Record, kw_only=True):
    """Settings of one ``apricotseam serve`` process."""

    host: Name
    availability_zone: Name
    region: Name = "default"
    callers_address: Address
    operators_address: Address
    peers_address: Address
    key_value_service: Annotated[list[Address], msgspec.Meta(min_length=1)]
    host_list: Address
    weight_store: Address | None = None
    key_prefix: str = "/apricotseam/"
    operators: list[Operator]
    signing_keys: Annotated[
        list[str], msgspec.Meta(min_length=1, max_length=4)
    ]
    tls: Tls | None = None
    peer_tls: Tls | None = None
    platform_tls: Tls | None = None
    plain_text_allowed: bool = False
    bounds: Bounds = Bounds()
    choice: Choice = Choice.LEAST_COST
