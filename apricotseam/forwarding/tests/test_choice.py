"""Which availability zone's chain a request takes."""

import types

import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import Chooser
from apricotseam.routes import AcceleratorKind
from apricotseam.routes import EngineProfile

LAYERS = 4
PROFILE = EngineProfile(
    layers=LAYERS,
    layer_mb=10.0,
    token_bytes=4000.0,
    kinds=(
        AcceleratorKind(
            name="fast", memory_mb=60.0, step_factor=1.0, read_factor=1.0
        ),
        AcceleratorKind(
            name="slow", memory_mb=60.0, step_factor=9.0, read_factor=9.0
        ),
    ),
    slots=8,
    step_ms=10.0,
)


def a_call():
    """Return a request for a chain."""
    facts = types.SimpleNamespace(
        prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
    )
    service = types.SimpleNamespace(name="model", engine=PROFILE)
    return types.SimpleNamespace(facts=facts, service=service, tried=set())


def a_fleet(kinds):
    """Return a fleet with one target that holds the model in each zone."""
    fleet = Fleet()
    for number, (zone, kind) in enumerate(kinds.items()):
        record = TargetRecord(
            identity=zone,
            address=f"10.0.0.{number}:80",
            service="model",
            zone=zone,
            kind=kind,
            layers=LayerRange(0, LAYERS),
            slots=8,
            is_placeable=True,
            revision=number + 1,
        )
        fleet.update(record)
    return fleet


# Kind of target by zone, zones without room, zone that is chosen.
CASES = [
    ("own of two alike", {"b": "fast", "a": "fast"}, (), "a"),
    ("far cheaper elsewhere", {"b": "fast", "a": "slow"}, (), "b"),
    ("dearer elsewhere", {"b": "slow", "a": "fast"}, (), "a"),
    ("no room here", {"b": "slow", "a": "fast"}, ("a",), "b"),
    ("none here", {"b": "slow", "c": "fast"}, (), "c"),
    ("none at all", {"b": "fast", "a": "fast"}, ("a", "b"), None),
]


@pytest.mark.parametrize(
    ("kinds", "full", "chosen"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_zone(kinds, full, chosen):
    ledger = Ledger()
    for zone in full:
        ledger.book(1e9, [(zone, LAYERS)])
    chooser = Chooser(a_fleet(kinds), ledger, "a")
    choice = chooser.choose_chain(a_call(), 0.0)
    found = choice.head.identity if choice is not None else None
    assert found == chosen
