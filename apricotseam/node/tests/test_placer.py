"""When the placer regards the set of known targets as complete."""

import types

import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.node._placer import Placer
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
