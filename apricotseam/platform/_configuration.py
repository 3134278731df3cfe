"""Configuration that operators write to the platform's store."""

import msgspec

from apricotseam.decoding import Amount
from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.decoding import Signed
from apricotseam.errors import InvalidFileError
from apricotseam.errors import InvalidInputError
from apricotseam.http1 import Limits
from apricotseam.routes import AcceleratorKind
from apricotseam.routes import Customer
from apricotseam.routes import EngineProfile
from apricotseam.routes import RepeatPolicy
from apricotseam.routes import Route
from apricotseam.routes import RouteTable
from apricotseam.routes import Service
from apricotseam.routes import ServiceShare

MILLISECONDS_PER_SECOND = 1000.0
DEFAULT_TIMEOUT_MS = 30000.0
# The search for the best layout grows with the square of the layers.
MAX_LAYERS = 1024
# Least sizes, speeds and lengths of an engine, in place of lower ones that
# nothing can be divided by.
MIN_LAYER_MB = 0.001
MIN_TOKEN_BYTES = 1.0
MIN_TOKENS_PER_SECOND = 1.0
MIN_FACTOR = 0.001
MIN_TOKENS = 1.0

_REPEAT_BY_ROUTE_KIND = {
    "safe": RepeatPolicy.IDEMPOTENT,
    "unsafe": RepeatPolicy.ONCE,
    "streaming": RepeatPolicy.STREAM,
}


class _Record(msgspec.Struct, rename="pascal", kw_only=True):
    """Base of records with field names in Pascal case.

    Unknown fields are ignored, since later versions may add some.
    """


class _ServiceShare(_Record, kw_only=True):
    service: str
    weight: Amount = 1.0


class _Route(_Record, kw_only=True):
    name: str = ""
    host: str
    prefix: str
    # Retry policy of the route. On a target the field of this name is its
    # kind of accelerator instead.
    route_kind: str
    timeout_ms: Amount = DEFAULT_TIMEOUT_MS
    target_latency_ms: Amount = MILLISECONDS_PER_SECOND
    # Objective for the time between two events of a stream.
    gap_aim_ms: Amount = MILLISECONDS_PER_SECOND
    priority: Signed = 0
    service: str = ""
    split: list[_ServiceShare] | None = None
    max_attempts: Signed = 1
    public: bool = False
    # Set on routes to language models, whose requests carry a prompt and
    # whose answers are generated from it.
    sticky: bool = False
    resumable: bool = False


class _AcceleratorKind(_Record, kw_only=True):
    name: str
    # Memory in units of 10**6 bytes.
    size_mb: Amount
    # Factor on the duration of prompt processing.
    read_factor: Amount = 1.0
    # Factor on the duration of decoding steps.
    pace: Amount = msgspec.field(name="pace", default=1.0)


class _Model(_Record, kw_only=True):
    name: str = ""
    load_s: Amount = 0.0


class _TypicalLengths(msgspec.Struct):
    # Both in tokens.
    prompt: Amount = 1.0
    answer: Amount = 1.0


class _Engine(_Record, kw_only=True):
    slots: Count = 1
    # KV cache of one token over all layers.
    kv_token_bytes: Amount = 0.0
    # Tokens per stream event.
    stride: Count = 1
    models: list[_Model] = []
    layers: Count = 0
    layer_mb: Amount = 0.0
    activation_bytes: Amount = 0.0
    # Link between zones that all chains of the service share, in 10**6
    # bits a second.
    inter_zone_mbps: Amount = 0.0
    kinds: list[_AcceleratorKind] = []
    # Duration of a decoding step over all layers: a constant part, a part
    # per request and a part per 1000 tokens of context, all in ms.
    step_ms: Amount = msgspec.field(name="step_ms", default=1.0)
    per_seq_ms: Amount = msgspec.field(name="per_seq_ms", default=0.0)
    context_per_k: Amount = msgspec.field(name="context_per_k", default=0.0)
    # Prompt processing: tokens per second, and ms per million pairs of
    # tokens.
    read_per_s: Amount = msgspec.field(name="read_per_s", default=1e5)
    pairs_per_m: Amount = msgspec.field(name="pairs_per_m", default=0.0)
    # Tokens per chunk of prompt processing.
    chunk: Count = msgspec.field(name="chunk", default=512)
    loads_at_once: Count = msgspec.field(name="loads_at_once", default=1)
    usual: _TypicalLengths = msgspec.field(
        name="usual", default_factory=_TypicalLengths
    )


class _Service(_Record, kw_only=True):
    name: str
    health_path: str = "/"
    max_conns: Signed = 100
    engine: _Engine | None = None


class _Limits(_Record, kw_only=True):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4 << 20
    header_timeout_ms: Amount = 3000.0
    idle_timeout_ms: Amount = 15000.0


class _Tenant(_Record, kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: Signed | None = None


class _Configuration(_Record, kw_only=True):
    version: Signed = 0
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Configuration)


def decode_configuration(value, position):
    """Decode a stored configuration.

    Parameters
    ----------
    value : bytes
        JSON value of the entry.
    position : Position
        Position of the entry in the store.

    Returns
    -------
    RouteTable

    Raises
    ------
    InvalidFileError
        If the value is not a valid configuration.
    """
    try:
        configuration = decode_json(_DECODER, value)
        return RouteTable(
            position=position,
            version=configuration.version,
            routes=[_route(route) for route in configuration.routes],
            services=[_service(service) for service in configuration.services],
            customers=[_customer(tenant) for tenant in configuration.tenants],
            limits=_limits(configuration.limits),
        )
    except (InvalidInputError, KeyError) as error:
        raise InvalidFileError(
            f"the stored configuration is invalid ({error})",
            "write a corrected one; the last valid configuration stays",
        ) from None


def _route(route):
    if route.split:
        shares = [ServiceShare(s.service, s.weight) for s in route.split]
    else:
        shares = [ServiceShare(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        repeat=_REPEAT_BY_ROUTE_KIND[route.route_kind],
        shares=tuple(shares),
        timeout_seconds=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective_seconds=route.target_latency_ms / MILLISECONDS_PER_SECOND,
        pause_seconds=route.gap_aim_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_public=route.public,
        is_generation=route.sticky,
        is_resumable=route.resumable,
    )


def _service(service):
    engine = service.engine
    return Service(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        engine=_engine(engine) if engine and engine.layers else None,
    )


def _engine(engine):
    if engine.layers > MAX_LAYERS:
        raise InvalidInputError(
            f"a model has {engine.layers} layers, at most {MAX_LAYERS} are"
            " supported",
            "declare fewer layers",
        )
    kinds = tuple(
        AcceleratorKind(
            name=kind.name,
            memory_mb=kind.size_mb,
            step_factor=max(MIN_FACTOR, kind.pace),
            read_factor=max(MIN_FACTOR, kind.read_factor),
        )
        for kind in engine.kinds
        if kind.size_mb > 0
    )
    return EngineProfile(
        layers=engine.layers,
        layer_mb=max(MIN_LAYER_MB, engine.layer_mb),
        token_bytes=max(MIN_TOKEN_BYTES, engine.kv_token_bytes),
        kinds=kinds,
        slots=max(1, engine.slots),
        step_ms=engine.step_ms,
        step_ms_per_request=engine.per_seq_ms,
        step_ms_per_1000_tokens=engine.context_per_k,
        read_tokens_per_second=max(MIN_TOKENS_PER_SECOND, engine.read_per_s),
        read_ms_per_million_pairs=engine.pairs_per_m,
        chunk_tokens=max(1, engine.chunk),
        tokens_per_event=max(1, engine.stride),
        load_seconds=max((m.load_s for m in engine.models), default=0.0),
        usual_prompt_tokens=max(MIN_TOKENS, engine.usual.prompt),
        usual_answer_tokens=max(MIN_TOKENS, engine.usual.answer),
        simultaneous_loads=max(1, engine.loads_at_once),
        activation_bytes=engine.activation_bytes,
        inter_zone_mbps=engine.inter_zone_mbps,
    )


def _customer(tenant):
    return Customer(
        name=tenant.name,
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
    )


def _limits(limits):
    return Limits(
        head_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        receive_timeout_seconds=limits.header_timeout_ms
        / MILLISECONDS_PER_SECOND,
        idle_seconds=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )
