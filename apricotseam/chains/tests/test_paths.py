"""Search for chains: the cheapest one is found, with bounded work."""

import heapq
import math
import random

import pytest

from apricotseam.chains import choose_orders
from apricotseam.chains import covers_layers
from apricotseam.chains import find_chain
from apricotseam.chains import Holder
from apricotseam.chains.tests.profiles import make_records
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.fleet import LayerRange

ZONES = ("a", "b", "c", "d", "e")
# Targets of one zone by kind; five zones have 190.
ZONE_COUNTS = {"large": 4, "middle": 13, "small": 21}
MAX_PUSHES_PER_HOLDER = 60


def cost_of(chain):
    """Return the cost of a chain in milliseconds, None for no chain."""
    if chain is None:
        return None
    crossings = sum(
        previous.holder.zone != stage.holder.zone
        for previous, stage in zip(chain, chain[1:])
    )
    stages = sum(s.holder.layer_cost_ms * s.layers.size for s in chain)
    hops = 0.6 * (len(chain) - crossings) + 30.0 * crossings
    return round(stages + hops, 6)


def least_cost(holders, layers):
    """Return the cost of the cheapest of all chains, None without any."""
    ends = sorted(
        {h.layers.first for h in holders} | {h.layers.last for h in holders}
    )
    best = math.inf

    def extend(position, path, cost):
        nonlocal best
        if cost >= best:
            return
        if position >= layers:
            best = cost
            return
        for holder in holders:
            held = holder.layers
            if holder in path or not held.first <= position < held.last:
                continue
            is_near = not path or path[-1].zone == holder.zone
            hop = 0.6 if is_near else 30.0
            for end in ends:
                count = end - position
                if 0 < count <= min(held.last - position, holder.free_units):
                    extend(
                        end,
                        [*path, holder],
                        cost + hop + count * holder.layer_cost_ms,
                    )

    extend(0, [], 0.0)
    return None if math.isinf(best) else round(best, 6)


def random_holders(seed, layers):
    """Return up to nine targets with random layers, costs and memory."""
    generator = random.Random(seed)
    holders = []
    for number in range(generator.randint(1, 9)):
        first = generator.randrange(layers)
        holders.append(
            Holder(
                f"t{number}",
                f"10.0.0.{number}:80",
                generator.choice("xyz"),
                LayerRange(first, generator.randint(first + 1, layers)),
                generator.choice([1.0, 2.0, 5.0, 9.5]),
                generator.choice([2.0, 5.0, 50.0, 50.0]),
            )
        )
    return holders


@pytest.mark.parametrize("layers", [4, 8, 12])
def test_chain_is_the_cheapest_of_all(layers):
    for seed in range(200):
        holders = random_holders(seed, layers)
        found = find_chain(holders, layers, 1.0)
        assert cost_of(found) == least_cost(holders, layers), seed


def laid_out_holders(scale):
    """Return the targets of five zones, with the layers that they load."""
    holders = []
    for zone in ZONES:
        counts = {kind: n * scale for kind, n in ZONE_COUNTS.items()}
        records = make_records(counts, zone)
        orders = choose_orders(records, PROFILE)
        layers = {order.identity: order.layers for order in orders}
        holders += [
            Holder(
                record.identity,
                record.address,
                zone,
                layers[record.identity],
                PROFILE.kind(record.kind).step_factor,
                1e6,
            )
            for record in records
            if record.identity in layers
        ]
    return holders


def lacks_first_layers_in_first_zone(holder):
    """Return whether a chain has to cross from another zone to the first."""
    if holder.zone == ZONES[0]:
        return holder.layers.first == 0
    return holder.layers.last == PROFILE.layers


# Which targets can't be used, and whether there is a chain of the others.
SEARCHES = [
    ("all usable", lambda holder: False, True),
    ("no end", lambda holder: holder.layers.last == PROFILE.layers, False),
    ("no chain in any zone", lacks_first_layers_in_first_zone, True),
]


@pytest.mark.parametrize("scale", [1, 3], ids=["190", "570"])
@pytest.mark.parametrize(
    ("is_full", "has_chain"),
    [case[1:] for case in SEARCHES],
    ids=[case[0] for case in SEARCHES],
)
def test_work_of_search_over_all_zones(is_full, has_chain, scale, monkeypatch):
    holders = [h for h in laid_out_holders(scale) if not is_full(h)]
    pushes = []
    push = heapq.heappush

    def count_push(queue, item):
        pushes.append(item)
        push(queue, item)

    monkeypatch.setattr(heapq, "heappush", count_push)
    chain = find_chain(holders, PROFILE.layers, 800.0)
    assert (chain is not None) == has_chain
    assert len(pushes) <= MAX_PUSHES_PER_HOLDER * len(holders)


# Ranges that targets hold, and whether they hold layers 0 to 4.
COVERS = [
    ("nothing", [], False),
    ("one", [(0, 4)], True),
    ("overlap", [(2, 4), (0, 3)], True),
    ("gap", [(0, 1), (2, 4)], False),
    ("no start", [(1, 4)], False),
    ("no end", [(0, 2), (0, 3), (1, 3)], False),
    ("contained", [(0, 3), (1, 2), (3, 4)], True),
]


@pytest.mark.parametrize(
    ("ranges", "expected"),
    [case[1:] for case in COVERS],
    ids=[case[0] for case in COVERS],
)
def test_layers_that_are_covered(ranges, expected):
    held = [LayerRange(*pair) for pair in ranges]
    assert covers_layers(held, 4) is expected
