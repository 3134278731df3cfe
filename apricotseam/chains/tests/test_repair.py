"""Orders for targets of any size, also such with room for few layers."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from apricotseam.chains import choose_orders
from apricotseam.chains import covers_layers
from apricotseam.chains.tests.profiles import make_records
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.routes import AcceleratorKind

LAYERS = 20
LAYER_MB = 12_000.0
MAX_ROUNDS = 12
ANY_SIZE = strategies.integers(1, 1 << 62)
# Memory of the accelerators, in units of 10**6 bytes. One layer takes 0.86 of
# a narrow one, more than an accelerator should use that is not needed for a
# gap, and more than all of a tiny one.
WIDE_MB = 72_000.0
NARROW_MB = 14_000.0
TINY_MB = 10_000.0
# Layers of a whole chain of wide accelerators.
WHOLE = {f"a-wide-{n}": (4 * n, 4 * n + 4) for n in range(5)}
# The same without its last two, which the others cannot replace.
PART = {name: held for name, held in WHOLE.items() if held[0] < 12}


def make_profile(sizes):
    """Return a profile of a model with large layers, and kinds by name."""
    kinds = tuple(
        AcceleratorKind(name=name, memory_mb=size, step_factor=2.4)
        for name, size in sizes.items()
    )
    return msgspec.structs.replace(
        PROFILE, layers=LAYERS, layer_mb=LAYER_MB, kinds=kinds
    )


def settle(records, profile):
    """Carry out orders until there are none; return those of each round."""
    rounds = []
    for _ in range(MAX_ROUNDS):
        orders = choose_orders(records, profile)
        if not orders:
            return rounds
        rounds.append(orders)
        ordered = {order.identity: order.layers for order in orders}
        records = [
            msgspec.structs.replace(
                r, layers=ordered.get(r.identity, r.layers)
            )
            for r in records
        ]
    raise AssertionError(f"targets still get orders: {orders}")


# Description, number of targets by kind, layers that they hold, and the
# ranges by target that are ordered in the first round.
NARROW = [
    (
        "a whole chain and targets with room for one layer",
        {"wide": 5, "narrow": 2},
        WHOLE,
        {},
    ),
    (
        "a whole chain and a target with room for none",
        {"wide": 5, "tiny": 1},
        WHOLE,
        {},
    ),
    (
        "a gap and targets with room for one layer",
        {"wide": 3, "narrow": 2},
        PART,
        {"a-narrow-0": (12, 13), "a-narrow-1": (13, 14)},
    ),
    (
        "a gap and a target with room for none",
        {"wide": 3, "tiny": 1},
        PART,
        {},
    ),
    (
        "a gap and a full target that others replace",
        {"wide": 3, "narrow": 1},
        {**PART, "a-narrow-0": (3, 4)},
        {"a-narrow-0": (12, 13)},
    ),
    (
        "a gap and a target that holds more than it has room for",
        {"wide": 3, "tiny": 1},
        {**PART, "a-tiny-0": (3, 4)},
        {},
    ),
]


@pytest.mark.parametrize(
    ("counts", "held", "expected"),
    [case[1:] for case in NARROW],
    ids=[case[0] for case in NARROW],
)
def test_targets_with_room_for_at_most_one_layer(counts, held, expected):
    """Guards against hosts that end as a target has room for no layer."""
    profile = make_profile(
        {"wide": WIDE_MB, "narrow": NARROW_MB, "tiny": TINY_MB}
    )
    orders = choose_orders(make_records(counts, layers=held), profile)
    found = {o.identity: (o.layers.first, o.layers.last) for o in orders}
    assert found == expected


# Description, layers that targets of a whole chain of 20 layers hold in place
# of their own, and number of layers that the model has now.
BEYOND = [
    (
        "a gap and a range that ends beyond the model",
        {"a-wide-0": (16, 20), "a-wide-5": (18, 30)},
        20,
    ),
    ("a gap and a range beyond the model", {"a-wide-0": (40, 44)}, 20),
    ("a range without end", {"a-wide-5": (0, 1 << 62)}, 20),
    (
        "a gap and fewer layers than before",
        {"a-wide-0": (8, 12), "a-wide-5": (8, 12)},
        10,
    ),
    ("more layers than before", {"a-wide-5": (0, 4)}, 24),
]


@pytest.mark.parametrize(
    ("changed", "layers"),
    [case[1:] for case in BEYOND],
    ids=[case[0] for case in BEYOND],
)
def test_targets_with_layers_beyond_the_model(changed, layers):
    """Guards against hosts that end or hang as a target holds such layers."""
    profile = msgspec.structs.replace(
        make_profile({"wide": WIDE_MB}), layers=layers
    )
    records = make_records({"wide": 6}, layers={**WHOLE, **changed})
    settled = settle(records, profile)
    held = {r.identity: r.layers for r in records}
    for orders in settled:
        held.update({order.identity: order.layers for order in orders})
    found = [r for r in held.values() if r is not None]
    assert covers_layers(found, layers)


@settings(deadline=None)
@given(
    sizes=strategies.lists(
        strategies.floats(1.0, 400_000.0), min_size=1, max_size=4
    ),
    data=strategies.data(),
)
def test_orders_fit_accelerators_of_any_size(sizes, data):
    """Guards against hosts that end on a size, and against empty orders."""
    profile = make_profile({f"k{n}": size for n, size in enumerate(sizes)})
    counts = {
        kind.name: data.draw(strategies.integers(0, 5))
        for kind in profile.kinds
    }
    records = [
        msgspec.structs.replace(r, layers=data.draw(held_layers()))
        for r in make_records(counts)
    ]
    kinds = {r.identity: profile.kind(r.kind) for r in records}
    for orders in settle(records, profile):
        for order in orders:
            layers = order.layers
            assert 0 <= layers.first < layers.last <= LAYERS
            weights = layers.size * LAYER_MB
            assert weights <= kinds[order.identity].memory_mb


@strategies.composite
def held_layers(draw):
    """Draw what a target holds: often nothing, or any range."""
    if draw(strategies.booleans()):
        return None
    first = draw(strategies.integers(0, 2 * LAYERS))
    last = first + draw(strategies.integers(1, 2 * LAYERS) | ANY_SIZE)
    return make_records({"x": 1}, layers={"a-x-0": (first, last)})[0].layers
