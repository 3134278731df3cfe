"""Decisions under configurations with any value in any field."""

import contextlib
import copy
import json
import types

from hypothesis import given
from hypothesis import strategies
import pytest

from apricotseam.chains import choose_orders
from apricotseam.chains import Ledger
from apricotseam.errors import InvalidFileError
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import TargetSelector
from apricotseam.node.tests.test_odd_entries import NESTED
from apricotseam.node.tests.test_odd_entries import play
from apricotseam.node.tests.test_odd_entries import VALUES
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform import decode_configuration
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import sample_configuration
from apricotseam.positions import Position
from apricotseam.routes import LoadPolicy
from apricotseam.routes import NO_FEATURES

# Fields of the engine that the sample leaves out, with usual values.
ENGINE_FIELDS = {
    "per_seq_ms": 0.01,
    "context_per_k": 0.01,
    "pairs_per_m": 0.3,
    "chunk": 512,
    "loads_at_once": 2,
    "ActivationBytes": 100,
    "InterZoneMbps": 1000,
}
LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 1 << 20,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}
# What targets hold: all layers over two, or some, or none.
HELD = [
    [(0, LAYERS // 2), (LAYERS // 2, LAYERS), None],
    [(0, LAYERS // 2), (0, LAYERS // 2), None],
    [(0, LAYERS), (0, LAYERS + 5), (LAYERS, LAYERS + 5)],
    [None, None, None],
]
ANY_VALUE = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([0, -1, 10**18, 1 << 64, 10**30, 10**400])
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.sampled_from([5e-324, 1e308, -1e308])
    | strategies.text(max_size=8)
    | strategies.just([])
    | strategies.just({})
)


def full_configuration():
    """Return the sample configuration with all fields that are read."""
    configuration = copy.deepcopy(sample_configuration())
    configuration["Limits"] = dict(LIMITS)
    engine = configuration["Services"][0]["Engine"]
    engine.update(ENGINE_FIELDS)
    engine["Kinds"][0]["ReadFactor"] = 1.0
    return configuration


def paths(value, prefix=()):
    """Yield the path to each field of a configuration."""
    if isinstance(value, list):
        items = enumerate(value)
    else:
        items = value.items() if isinstance(value, dict) else ()
    for key, member in items:
        yield (*prefix, key)
        yield from paths(member, (*prefix, key))


def make_records(service, held):
    """Return targets of a service with the given layers."""
    return [
        TargetRecord(
            identity=f"t{number}",
            service=service.name,
            address=f"10.0.0.{number + 1}:80",
            zone="ab"[number % 2],
            slots=8,
            kind=service.engine.kinds[0].name if service.engine.kinds else "",
            layers=LayerRange(*layers) if layers else None,
            is_placeable=True,
            position=Position(number + 1),
        )
        for number, layers in enumerate(held)
    ]


def decide(table, service):
    """Make the decisions that depend on a service's profile."""
    LoadPolicy().features(table, service)
    if service.engine is None:
        return
    metadata = types.SimpleNamespace(
        prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
    )
    call = types.SimpleNamespace(
        metadata=metadata,
        service=service,
        failed_targets=set(),
        load=NO_FEATURES,
    )
    for held in HELD:
        records = make_records(service, held)
        for order in choose_orders(records, service.engine):
            assert 0 <= order.layers.first < order.layers.last
            assert order.layers.last <= service.engine.layers
        fleet = Fleet()
        for record in records:
            fleet.update(record)
        TargetSelector(fleet, Ledger(), "a").choose_chain(call, 0.0)


@given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(paths(full_configuration()), key=str)),
        ANY_VALUE,
        min_size=1,
        max_size=3,
    )
)
def test_decisions_under_any_configuration(changes):
    """Guards against hosts that end on a value in the configuration."""
    configuration = full_configuration()
    for path, value in sorted(changes.items(), key=lambda c: -len(c[0])):
        with contextlib.suppress(KeyError, IndexError, TypeError):
            holder = configuration
            for key in path[:-1]:
                holder = holder[key]
            holder[path[-1]] = value
    try:
        table = decode_configuration(
            json.dumps(configuration).encode(), Position(1)
        )
    except InvalidFileError:
        return
    for service in table.services.values():
        decide(table, service)
    route = table.find_route("h.example", "/chat/x")
    if route is not None:
        table.pick_service(route, "r1")


# Description, path and value of a field of the engine.
ENGINE_VALUES = [
    ("no memory for a token", "KvTokenBytes", 0),
    ("no size of a layer", "LayerMb", 0),
    ("tiny layers", "LayerMb", 1e-320),
    ("no speed of reading", "read_per_s", 0),
    ("no usual prompt", "usual", {"prompt": 0, "answer": 0}),
    (
        "no reading factor",
        "Kinds",
        [{"Name": "k", "SizeMb": 40, "ReadFactor": 0}],
    ),
    ("no memory", "Kinds", [{"Name": "k", "SizeMb": 0.0}]),
    ("huge memory", "Kinds", [{"Name": "k", "SizeMb": 1e308}]),
    ("too many layers", "Layers", 10**12),
    ("a number of layers beyond 64 bits", "Layers", 10**30),
    ("slots beyond the floats", "Slots", 10**400),
]


@pytest.mark.parametrize(
    ("field", "value"),
    [case[1:] for case in ENGINE_VALUES],
    ids=[case[0] for case in ENGINE_VALUES],
)
def test_decisions_under_an_odd_profile(field, value):
    """Guards against divisions by nothing, and lists without bounds."""
    configuration = full_configuration()
    configuration["Services"][0]["Engine"][field] = value
    try:
        table = decode_configuration(
            json.dumps(configuration).encode(), Position(1)
        )
    except InvalidFileError:
        return
    decide(table, table.services["llm"])


@pytest.mark.parametrize("value", [*VALUES[:4], NESTED])
def test_configuration_that_is_none_is_refused(value):
    """Guards against hosts that end as they cannot read a configuration."""
    with pytest.raises(InvalidFileError):
        decode_configuration(value, Position(1))


def test_hosts_after_a_configuration_that_is_none():
    """Guards against hosts that follow the operator no longer."""
    play({CONFIGURATION_KEY: NESTED})
