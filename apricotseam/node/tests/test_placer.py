"""When the placer regards the set of known targets as complete."""

import asyncio
import types

import pytest

from apricotseam.chains import LayerOrder
from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.node._placer import Placer
from apricotseam.node.tests.harness import run
from apricotseam.platform import OrderOutcome
from apricotseam.platform.standins import TargetStandIn
from apricotseam.positions import Position


def make_record(number, layers=None):
    """Return a target that may hold layers."""
    return TargetRecord(
        identity=f"t{number}",
        address=f"10.0.0.{number}:80",
        service="model",
        zone="a",
        kind="k",
        layers=layers,
        is_placeable=True,
        position=Position(number + 1),
    )


# Description, layers of the first target, times in seconds at which targets
# appear, and times of checks with whether the fleet has settled by then.
CASES = [
    (
        "first layout, targets come in batches",
        None,
        [0.0, 0.7, 1.5],
        [(0.6, False), (1.4, False), (2.2, False), (3.0, True)],
    ),
    (
        "first layout, targets come in one batch",
        None,
        [0.0],
        [(0.9, False), (1.3, True)],
    ),
    (
        "some target holds layers already",
        LayerRange(0, 4),
        [0.0, 2.0],
        [(1.0, False), (1.3, True), (2.1, False), (2.35, True)],
    ),
]


@pytest.mark.parametrize(
    ("layers", "arrivals", "checks"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_settled(layers, arrivals, checks):
    now = [0.0]
    fleet = Fleet()
    context = types.SimpleNamespace(fleet=fleet)
    placer = Placer(context, None, lambda: now[0])
    found = []
    pending = list(arrivals)
    for step in range(1, 400):
        now[0] = step / 100
        while pending and pending[0] <= now[0]:
            is_first = len(pending) == len(arrivals)
            fleet.update(make_record(step, layers if is_first else None))
            pending.pop(0)
        has_settled = placer._has_settled()
        if now[0] in [at for at, _ in checks]:
            found.append((now[0], has_settled))
    assert found == checks


class ScriptedPlacer(Placer):
    """Placer whose orders have given outcomes."""

    def __init__(self, fleet, outcomes, now):
        context = types.SimpleNamespace(fleet=fleet)
        election = types.SimpleNamespace(fence=1, is_holder=True)
        super().__init__(context, election, now)
        self.outcomes = list(outcomes)

    async def _send_order(self, target, order):
        return self.outcomes.pop(0)


# Outcomes of two orders, layers that are expected then, and whether the
# target may get another order at once.
ORDERS = [
    ("both begun", ["BEGUN", "BEGUN"], LayerRange(4, 8), False),
    ("busy with the first", ["BEGUN", "CONFLICT"], LayerRange(0, 4), False),
    ("no answer to the second", ["BEGUN", "FAILED"], LayerRange(4, 8), True),
    ("busy with an unknown one", ["FAILED", "CONFLICT"], None, False),
]


@pytest.mark.parametrize(
    ("outcomes", "expected", "is_free"),
    [case[1:] for case in ORDERS],
    ids=[case[0] for case in ORDERS],
)
def test_order_that_a_busy_target_refused(outcomes, expected, is_free):
    """Guards against gaps that stay, as a refused order counts as begun."""
    fleet = Fleet()
    fleet.update(make_record(1))
    placer = ScriptedPlacer(
        fleet, [OrderOutcome[name] for name in outcomes], lambda: 1.0
    )
    target = fleet.get("t1")

    async def give_orders():
        for layers in (LayerRange(0, 4), LayerRange(4, 8)):
            await placer._issue_order(LayerOrder("t1", layers, "gap"))
        return await placer._expected_record(target)

    record = asyncio.run(give_orders())
    if expected is not None:
        assert record.layers == expected
    assert ("t1" not in placer._busy_targets()) is is_free


def test_service_that_cannot_be_placed_keeps_no_other_back(monkeypatch):
    """Guards against services without layers after a fault of another."""
    profile = types.SimpleNamespace()
    services = {
        name: types.SimpleNamespace(name=name, engine=profile)
        for name in ("first", "odd", "last")
    }
    context = types.SimpleNamespace(
        fleet=Fleet(), table=types.SimpleNamespace(services=services)
    )
    placer = Placer(context, None, lambda: 0.0)
    placed = []

    async def place(service):
        if service.name == "odd":
            raise ZeroDivisionError
        placed.append(service.name)

    monkeypatch.setattr(placer, "_has_settled", lambda: True)
    monkeypatch.setattr(placer, "_place_service", place)
    with pytest.raises(ExceptionGroup):
        asyncio.run(placer._cycle())
    assert placed == ["first", "last"]


# Layers that the former process held, which decides whether it is asked first.
HELD = [None, (0, 2)]


@pytest.mark.parametrize("layers", HELD)
def test_an_order_does_not_reach_the_next_process_at_an_address(layers):
    """Guards against LIMIT: orders that were meant for another server."""

    async def scenario(platform):
        (engine,) = platform.engine_targets
        former = TargetStandIn("former", engine.address, is_engine=True)
        former.layers = layers
        node = platform.nodes[0]
        platform.store.remove(engine)
        platform.register(former)
        fleet = node.forwarding.fleet
        await platform.wait_until(lambda: fleet.get("former"))
        await platform.wait_until(lambda: node._election.is_holder)
        engine.orders.clear()
        order = LayerOrder("former", LayerRange(0, 4), "gap")
        outcome = await node.placer._send_order(fleet.get("former"), order)
        return outcome, engine.orders, engine.refused_for_others > 0

    outcome, orders, is_refused = run(scenario, engine_targets=1)
    assert outcome in (OrderOutcome.WRONG_TARGET, OrderOutcome.FAILED)
    assert (orders, is_refused) == ([], True)
