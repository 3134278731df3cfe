"""Selection of the availability zone whose chain runs a request."""

import types

import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import TargetSelector
from apricotseam.positions import Position
from apricotseam.routes import AcceleratorKind
from apricotseam.routes import EngineProfile
from apricotseam.routes import NO_FEATURES

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


def make_call():
    """Return a request that needs a chain of targets."""
    metadata = types.SimpleNamespace(
        prompt_tokens=10, expected_answer_tokens=10, max_answer_tokens=None
    )
    service = types.SimpleNamespace(name="model", engine=PROFILE)
    return types.SimpleNamespace(
        metadata=metadata,
        service=service,
        failed_targets=set(),
        load=NO_FEATURES,
    )


def make_fleet(kinds):
    """Return a fleet with one target per zone that holds all layers."""
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
            position=Position(number + 1),
        )
        fleet.update(record)
    return fleet


# Accelerator kind by zone, zones without capacity, zone that is selected.
# The host is in zone "a".
CASES = [
    ("equal cost, own zone preferred", {"b": "fast", "a": "fast"}, (), "a"),
    ("other zone much cheaper", {"b": "fast", "a": "slow"}, (), "b"),
    ("other zone more expensive", {"b": "slow", "a": "fast"}, (), "a"),
    ("own zone full", {"b": "slow", "a": "fast"}, ("a",), "b"),
    ("no target in own zone", {"b": "slow", "c": "fast"}, (), "c"),
    ("all zones full", {"b": "fast", "a": "fast"}, ("a", "b"), None),
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
    target_selector = TargetSelector(make_fleet(kinds), ledger, "a")
    choice = target_selector.choose_chain(make_call(), 0.0)
    found = choice.head.identity if choice is not None else None
    assert found == chosen


# Accelerator kinds of the own zone and of four others, and the number of
# targets that are looked at for a chain.
SEARCHED = [
    ("own zone is cheap enough", "fast", "fast", 1),
    ("other zones may be much cheaper", "slow", "fast", 5),
]


@pytest.mark.parametrize(
    ("own", "others", "searched"),
    [case[1:] for case in SEARCHED],
    ids=[case[0] for case in SEARCHED],
)
def test_targets_that_are_looked_at(own, others, searched):
    looked_at = []

    class CountingLedger(Ledger):
        def running(self, identity):
            looked_at.append(identity)
            return super().running(identity)

    kinds = {"b": others, "c": others, "a": own, "d": others, "e": others}
    selector = TargetSelector(make_fleet(kinds), CountingLedger(), "a")
    assert selector.choose_chain(make_call(), 0.0) is not None
    assert len(looked_at) == searched
