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


# Whether the entry was lost, whether the target was draining, seconds until
# the fleet expires targets; position that is remembered and whether the same
# state is outdated.
REMOVALS = [
    (False, False, 0.0, Position.of(1, 20), True),
    (False, True, 0.0, Position.of(1, 20), True),
    (True, False, 2.0, Position.of(1, 20), True),
    (True, True, 0.0, KNOWN.position, False),
]


@pytest.mark.parametrize(
    ("was_lost", "is_draining", "seconds", "position", "has_left"), REMOVALS
)
def test_removed_targets_are_remembered(
    was_lost, is_draining, seconds, position, has_left
):
    fleet = Fleet()
    record = msgspec.structs.replace(KNOWN, is_draining=is_draining)
    fleet.update(record)
    fleet.advance(Position.of(1, 20))
    fleet.remove("i-1", 0.0, was_lost, was_lost)
    fleet.expire(seconds)
    removed = fleet.removed("i-1")
    assert removed.record.position == position
    assert removed.has_left is has_left
    fleet.update(record)
    assert fleet.removed("i-1") is None
