"""Order, bounds and encoding of positions."""

import msgspec
import pytest

from apricotseam.positions import decode_hook
from apricotseam.positions import encode_hook
from apricotseam.positions import Position

# Positions in rising order, as (era, revision).
RISING = [(0, 0), (0, 1), (0, 2**40 - 1), (1, 0), (1, 1), (2, 0), (8191, 9)]


def test_positions_are_ordered_by_era_and_then_by_revision():
    positions = [Position.of(*pair) for pair in RISING]
    assert sorted(positions) == positions
    assert len(set(positions)) == len(positions)
    assert [(p.era, p.revision) for p in positions] == RISING


def test_a_position_of_era_0_is_its_revision():
    assert Position.of(0, 523) == 523
    assert msgspec.msgpack.encode(
        Position.of(0, 523), enc_hook=encode_hook
    ) == msgspec.msgpack.encode(523)


def test_the_highest_position_is_exact_in_json():
    highest = Position.of(8191, 2**40 - 1)
    assert int(float(highest)) == highest


@pytest.mark.parametrize(
    ("era", "revision"), [(-1, 0), (8192, 0), (0, -1), (0, 2**40)]
)
def test_positions_out_of_range_are_refused(era, revision):
    with pytest.raises(ValueError):
        Position.of(era, revision)


@pytest.mark.parametrize("pair", RISING)
def test_positions_travel_in_messages(pair):
    position = Position.of(*pair)
    body = msgspec.msgpack.encode([position], enc_hook=encode_hook)
    found = msgspec.msgpack.decode(
        body, type=list[Position], dec_hook=decode_hook
    )
    assert found == [position]
    assert isinstance(found[0], Position)


@pytest.mark.parametrize("value", ["5", -5, 1.5, None])
def test_messages_with_another_value_are_refused(value):
    body = msgspec.msgpack.encode(value)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(body, type=Position, dec_hook=decode_hook)
