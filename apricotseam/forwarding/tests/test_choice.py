"""Selection of the availability zone whose chain runs a request."""

import random
import types

import msgspec
import pytest

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._paces import PaceRecorder
from apricotseam.forwarding._start_estimates import StartEstimator
from apricotseam.forwarding import TargetSelector
from apricotseam.positions import Position
from apricotseam.routes import AcceleratorKind
from apricotseam.routes import EngineProfile
from apricotseam.routes import LoadFeatures
from apricotseam.routes import NO_FEATURES

LAYERS = 4
# Layers that leave a target room for requests.
MAX_HELD = 5
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


@pytest.mark.parametrize("last", [LAYERS, LAYERS + 1, 1 << 62])
def test_chain_of_a_target_with_layers_beyond_the_model(last):
    """Guards against chains that run layers which the model has not."""
    fleet = make_fleet({"a": "fast"})
    record = msgspec.structs.replace(
        fleet.get("a").record, layers=LayerRange(0, last)
    )
    fleet.update(record)
    selector = TargetSelector(fleet, Ledger(), "a")
    choice = selector.choose_chain(make_call(), 0.0)
    found = [stage.layers for stage in choice.path] if choice else None
    assert found == (None if last > MAX_HELD else [LayerRange(0, LAYERS)])


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


# Start work under way at the own zone's target, which has just started,
# whether the other zone's has too, whether answers of the first one were
# late, the zone that is selected.
PACED = [
    ("idle", 0.0, False, False, "a"),
    ("one prompt under way", 10.0, False, False, "b"),
    ("all have just started", 10.0, True, False, "a"),
    ("all have, and the first is late", 10.0, True, True, "b"),
]


@pytest.mark.parametrize(
    ("work_ms", "are_all_new", "is_late", "chosen"),
    [case[1:] for case in PACED],
    ids=[case[0] for case in PACED],
)
def test_paced_targets(work_ms, are_all_new, is_late, chosen):
    """Guards against overrun new targets, and fleets that refuse as new."""
    ledger = Ledger()
    fleet = make_fleet({"b": "fast", "a": "fast"})
    for target in fleet:
        if target.identity == "a" or are_all_new:
            target.pace.begin(0.0)
            ledger.book(1.0, [(target.identity, 1)], [("a", work_ms / 2)])
            ledger.book(1.0, [(target.identity, 1)], [("b", work_ms / 2)])
    if is_late:
        fleet.get("a").pace.record_failure(0.5, 0.1)
    call = make_call()
    call.load = LoadFeatures(start_estimates=True, pacing=True)
    call.last_event = None
    call.is_return = False
    call.deadline = 20.0
    call.request = types.SimpleNamespace(received_at=0.0)
    call.route = types.SimpleNamespace(objective_seconds=0.5)
    call.draw_place = lambda generator: 0.0
    target_selector = TargetSelector(fleet, ledger, "a")
    target_selector.starts = StartEstimator(ledger, random.Random(1))
    context = types.SimpleNamespace(fleet=fleet, table=None)
    target_selector.paces = PaceRecorder(context, lambda: 0.2)
    choice = target_selector.choose_chain(call, 0.2)
    assert choice.head.identity == chosen
