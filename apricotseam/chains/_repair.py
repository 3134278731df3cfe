"""Which targets should be ordered to hold which layers, and when."""

import msgspec

from apricotseam.chains._cost import ChainModel
from apricotseam.chains._layout import Card
from apricotseam.chains._layout import plan_zone
from apricotseam.chains._layout import SPARE_WEIGHT_SHARE
from apricotseam.fleet import LayerRange

# A survivor takes more layers only up to this share of its memory.
REPAIR_WEIGHT_SHARE = 0.9


class LayerOrder(msgspec.Struct, frozen=True):
    """A target and the layers that it should hold."""

    identity: str
    layers: LayerRange
    cause: str


def choose_orders(records, profile):
    """Return the orders that bring targets nearer to a good layout.

    Targets that hold layers keep them unless a layer has no holder in
    their availability zone. Empty ones take what is held least.

    Parameters
    ----------
    records : list of TargetRecord
        Targets of one service that take work, with what they hold or are
        loading.
    profile : EngineProfile
        The model that they run.

    Returns
    -------
    list of LayerOrder
    """
    zones = {}
    for record in records:
        if profile.kind(record.kind) is not None:
            zones.setdefault(record.zone, []).append(record)
    poor, rich = _split_by_memory(zones, profile)
    orders = []
    for group in [*rich, poor] if poor else rich:
        orders.extend(_choose_for_group(group, profile))
    return orders


def _split_by_memory(zones, profile):
    """Return the targets of zones too small for a copy, and the others."""
    poor = []
    rich = []
    for records in zones.values():
        memory = sum(profile.kind(r.kind).memory_mb for r in records)
        if memory * REPAIR_WEIGHT_SHARE < profile.layers * profile.layer_mb:
            poor.extend(records)
        else:
            rich.append(records)
    return poor, rich


def _choose_for_group(records, profile):
    empty = [r for r in records if r.layers is None]
    held = [r for r in records if r.layers is not None]
    plan = plan_zone(
        [_card(r, profile) for r in records], profile, ChainModel(profile)
    )
    if not held:
        return _lay_out(records, plan, "first layout")
    orders = _fill_with_empty(empty, held, plan, profile)
    ordered = {order.identity: order.layers for order in orders}
    after = [
        msgspec.structs.replace(r, layers=ordered.get(r.identity, r.layers))
        for r in records
    ]
    after = [r for r in after if r.layers is not None]
    if 0 not in _coverage(after, profile):
        return orders
    moves = _fill_gap(after, profile)
    if moves:
        return [*orders, *(m for m in moves if m.identity not in ordered)]
    return _lay_out_again(records, plan, profile) or orders


def _lay_out(records, plan, cause):
    """Order all targets to what a plan says, where they differ from it."""
    return [
        LayerOrder(r.identity, plan[r.identity], cause)
        for r in records
        if r.identity in plan and plan[r.identity] != r.layers
    ]


def _lay_out_again(records, plan, profile):
    """Lay out a group anew that serves no chain as it is."""
    planned = [
        msgspec.structs.replace(r, layers=plan[r.identity])
        for r in records
        if r.identity in plan
    ]
    if 0 in _coverage(planned, profile):
        return []
    return _lay_out(records, plan, "no whole chain")


def _fill_with_empty(empty, held, plan, profile):
    """Give empty targets the ranges that the fewest others hold."""
    coverage = _coverage(held, profile)
    orders = []
    by_size = sorted(
        empty, key=lambda r: (-profile.kind(r.kind).memory_mb, r.identity)
    )
    for record in by_size:
        memory = profile.kind(record.kind).memory_mb
        planned = plan.get(record.identity)
        most = int(memory * SPARE_WEIGHT_SHARE / profile.layer_mb)
        size = min(most, profile.layers)
        if planned is not None:
            size = max(1, min(size, planned.size))
        layers = _scarcest(coverage, size)
        if 0 in coverage:
            layers = _around_gap(coverage, most)
        for layer in range(layers.first, layers.last):
            coverage[layer] += profile.capacity_units(memory, size) / size
        orders.append(LayerOrder(record.identity, layers, "empty target"))
    return orders


def _fill_gap(records, profile):
    """Let a target whose layers others hold too take over a gap."""
    coverage = _coverage(records, profile)
    counts = _holder_counts(records, profile)
    candidates = [
        r
        for r in records
        if all(counts[i] > 1 for i in range(r.layers.first, r.layers.last))
    ]
    if not candidates:
        return []
    chosen = max(
        candidates, key=lambda r: (profile.kind(r.kind).memory_mb, r.identity)
    )
    memory = profile.kind(chosen.kind).memory_mb
    most = int(memory * REPAIR_WEIGHT_SHARE / profile.layer_mb)
    return [LayerOrder(chosen.identity, _around_gap(coverage, most), "gap")]


def _around_gap(coverage, most):
    first = coverage.index(0)
    last = first
    while last < len(coverage) and coverage[last] == 0:
        last += 1
    last = min(last, first + most)
    return LayerRange(first, last)


def _scarcest(coverage, size):
    """Return the range of a size whose layers have the least room."""
    starts = range(len(coverage) - size + 1)

    def room(start):
        window = coverage[start : start + size]
        return (min(window), sum(window))

    first = min(starts, key=room)
    return LayerRange(first, first + size)


def _coverage(records, profile):
    """Return the tokens that each layer has room for, over its holders."""
    coverage = [0.0] * profile.layers
    for record in records:
        memory = profile.kind(record.kind).memory_mb
        size = record.layers.size
        tokens = max(1.0, profile.capacity_units(memory, size) / size)
        for layer in range(record.layers.first, record.layers.last):
            if layer < profile.layers:
                coverage[layer] += tokens
    return coverage


def _holder_counts(records, profile):
    counts = [0] * profile.layers
    for record in records:
        for layer in range(record.layers.first, record.layers.last):
            if layer < profile.layers:
                counts[layer] += 1
    return counts


def _card(record, profile):
    kind = profile.kind(record.kind)
    return Card(
        record.identity, kind.memory_mb, kind.step_factor, kind.read_factor
    )
