"""Which of two states of a target is the earlier one, without positions."""

import msgspec
import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import is_outdated
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.positions import Position

KNOWN = TargetRecord(
    identity="i-1",
    service="s",
    address="10.0.0.1:80",
    zone="a",
    born_ms=5,
    orders=3,
    position=Position.of(0, 90),
)
DRAINING = {"is_draining": True}

# Fields of the known record and of the other one, whether the target has
# left, whether the other record is the earlier one.
CASES = [
    ("same state", {}, {}, False, False),
    ("same state of one that left", {}, {}, True, True),
    ("earlier process", {}, {"born_ms": 4}, False, True),
    ("later process", {}, {"born_ms": 6, "orders": 0}, False, False),
    ("later process of one that left", {}, {"born_ms": 6}, True, False),
    ("fewer orders", {}, {"orders": 2}, False, True),
    ("more orders", {}, {"orders": 4}, False, False),
    ("more orders of one that left", {}, {"orders": 4}, True, False),
    ("has begun to drain", {}, DRAINING, False, False),
    ("does not drain yet", DRAINING, {"orders": 4}, False, True),
    ("still drains", DRAINING, DRAINING, False, False),
    ("other layers", {}, {"layers": LayerRange(0, 4)}, False, True),
]


@pytest.mark.parametrize(
    ("known", "other", "has_left", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_outdated(known, other, has_left, expected):
    known = msgspec.structs.replace(KNOWN, **known)
    position = Position.of(1, 20)
    record = msgspec.structs.replace(KNOWN, **other, position=position)
    assert is_outdated(record, known, has_left) is expected


# Start and position of the target that is known at an address, and of another
# one at it; whether the other one takes the address.
ADDRESSES = [
    (5, Position.of(0, 90), 4, Position.of(1, 20), False),
    (5, Position.of(0, 90), 6, Position.of(1, 20), True),
    (0, Position.of(0, 90), 4, Position.of(1, 20), True),
    (5, Position.of(1, 20), 4, Position.of(1, 21), True),
]


@pytest.mark.parametrize(
    ("born", "position", "other_born", "other_position", "is_taken"), ADDRESSES
)
def test_address_of_two_targets(
    born, position, other_born, other_position, is_taken
):
    fleet = Fleet()
    fleet.update(
        msgspec.structs.replace(KNOWN, born_ms=born, position=position)
    )
    other = msgspec.structs.replace(
        KNOWN, identity="i-2", born_ms=other_born, position=other_position
    )
    fleet.update(other)
    assert (fleet.at(KNOWN.address).identity == "i-2") is is_taken


# Position of the store when a target is removed, whether it was lost.
REMOVALS = [(Position.of(0, 95), False), (Position.of(1, 20), True)]


@pytest.mark.parametrize(("position", "was_lost"), REMOVALS)
def test_removed_targets_are_remembered(position, was_lost):
    fleet = Fleet()
    fleet.update(KNOWN)
    fleet.advance(position)
    fleet.remove("i-1", 0.0)
    assert fleet.removed("i-1").record == KNOWN
    assert fleet.removed("i-1").was_lost is was_lost
    fleet.update(KNOWN)
    assert fleet.removed("i-1") is None
