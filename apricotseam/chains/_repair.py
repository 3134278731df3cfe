"""Choice of orders that tell targets which layers to hold."""

import msgspec

from apricotseam.chains._cost import ChainModel
from apricotseam.chains._layout import AcceleratorSpec
from apricotseam.chains._layout import plan_zone
from apricotseam.chains._layout import SPARE_WEIGHT_SHARE
from apricotseam.fleet import LayerRange

# Largest fraction of memory for weights on a target that takes over the
# layers of a failed one.
REPAIR_WEIGHT_SHARE = 0.9


class LayerOrder(msgspec.Struct, frozen=True):
    """Order for a target to hold a range of layers.

    ``cause`` is the reason that is logged.
    """

    identity: str
    layers: LayerRange
    cause: str


def choose_orders(records, profile, busy=frozenset()):
    """Return the orders that improve the layout of layers over targets.

    Each availability zone is considered by itself, but zones that are too
    small for a copy of the model are treated as one zone. Targets that
    hold layers keep them, unless some layer is held by no target of their
    zone. A target without layers of the model gets those with the least
    token capacity.

    Parameters
    ----------
    records : list of TargetRecord
        Targets of one service that take work, with the layers that they
        hold or are loading.
    profile : EngineProfile
        Profile of the model that they run.
    busy : collection of str
        Identities of targets that are loading and take no order now; others
        fill the gaps.

    Returns
    -------
    list of LayerOrder
    """
    zones = {}
    for record in records:
        if profile.kind(record.kind) is not None:
            record = _within_model(record, profile)
            zones.setdefault(record.zone, []).append(record)
    merged_zone, large_zones = _split_by_memory(zones, profile)
    orders = []
    for zone in [*large_zones, merged_zone] if merged_zone else large_zones:
        orders.extend(_choose_zone_orders(zone, profile, busy))
    return [order for order in orders if order.identity not in busy]


def _within_model(record, profile):
    """Return a record without layers that the model does not have."""
    if record.layers is None or record.layers.last <= profile.layers:
        return record
    layers = record.layers.within(profile.layers)
    return msgspec.structs.replace(record, layers=layers)


def _split_by_memory(zones, profile):
    """Separate zones that are too small for a copy of the model.

    Returns
    -------
    list of TargetRecord
        Targets of all zones that are too small, together.
    list of list of TargetRecord
        Targets of each of the other zones.
    """
    merged_zone = []
    large_zones = []
    for records in zones.values():
        memory = sum(profile.kind(r.kind).memory_mb for r in records)
        if memory * REPAIR_WEIGHT_SHARE < profile.layers * profile.layer_mb:
            merged_zone.extend(records)
        else:
            large_zones.append(records)
    return merged_zone, large_zones


def _choose_zone_orders(records, profile, busy):
    """Return the orders for the targets of one zone."""
    empty = [r for r in records if r.layers is None]
    holding = [r for r in records if r.layers is not None]
    if not holding:
        plan = _plan_records(records, profile)
        return _orders_for_plan(records, plan, "first layout")
    orders = []
    if empty:
        plan = _plan_records(records, profile)
        orders = _order_empty_targets(empty, holding, plan, profile)
    ordered = {order.identity: order.layers for order in orders}
    updated = [
        msgspec.structs.replace(r, layers=ordered.get(r.identity, r.layers))
        for r in records
    ]
    updated = [r for r in updated if r.layers is not None]
    if 0 not in _coverage(updated, profile):
        return orders
    gap_orders = _order_for_gap(updated, profile, busy)
    if gap_orders:
        return [*orders, *(o for o in gap_orders if o.identity not in ordered)]
    return _replan(records, profile) or orders


def _plan_records(records, profile):
    """Return the layers that each target of a zone should hold."""
    return plan_zone(
        [_accelerator_spec(r, profile) for r in records],
        profile,
        ChainModel(profile),
    )


def _orders_for_plan(records, plan, cause):
    """Return orders for all targets whose layers differ from a plan."""
    return [
        LayerOrder(r.identity, plan[r.identity], cause)
        for r in records
        if r.identity in plan and plan[r.identity] != r.layers
    ]


def _replan(records, profile):
    """Return orders for a new layout of a zone without a whole chain.

    The list is empty if the plan does not cover all layers either.
    """
    plan = _plan_records(records, profile)
    planned_records = [
        msgspec.structs.replace(r, layers=plan[r.identity])
        for r in records
        if r.identity in plan
    ]
    if 0 in _coverage(planned_records, profile):
        return []
    return _orders_for_plan(records, plan, "no whole chain")


def _order_empty_targets(empty, holding, plan, profile):
    """Order empty targets to hold the layers with the least token capacity.

    Layers that no target holds come first. A target without room for a layer
    gets no order.
    """
    coverage = _coverage(holding, profile)
    orders = []
    largest_first = sorted(
        empty, key=lambda r: (-profile.kind(r.kind).memory_mb, r.identity)
    )
    for record in largest_first:
        planned_layers = plan.get(record.identity)
        layers = _range_for_empty(record, planned_layers, coverage, profile)
        if layers is None:
            continue
        memory = profile.kind(record.kind).memory_mb
        units = profile.capacity_units(memory, layers.size)
        for layer in range(layers.first, layers.last):
            coverage[layer] += units / layers.size
        orders.append(LayerOrder(record.identity, layers, "empty target"))
    return orders


def _range_for_empty(record, planned_layers, coverage, profile):
    """Return the layers for an empty target, None if it has no room.

    Weights fill more of its memory only if no target holds some layer.
    """
    max_layers = _max_layers(record, profile, SPARE_WEIGHT_SHARE)
    if 0 in coverage:
        max_layers = max_layers or _max_layers(
            record, profile, REPAIR_WEIGHT_SHARE
        )
        return _gap_range(coverage, max_layers) if max_layers else None
    size = min(max_layers, profile.layers)
    if planned_layers is not None:
        size = max(1, min(size, planned_layers.size))
    return _least_covered_range(coverage, size) if size else None


def _max_layers(record, profile, weight_share):
    """Return how many layers fit in a share of a target's memory."""
    memory = profile.kind(record.kind).memory_mb
    return int(memory * weight_share / profile.layer_mb)


def _order_for_gap(records, profile, busy):
    """Order a target to hold layers that no target holds.

    It must have room for a layer, and its own layers must all be held by
    others too. The list is empty if there is no such target.
    """
    coverage = _coverage(records, profile)
    counts = _holder_counts(records, profile)
    candidates = [
        r
        for r in records
        if r.identity not in busy
        and _max_layers(r, profile, REPAIR_WEIGHT_SHARE)
        and all(counts[i] > 1 for i in range(r.layers.first, r.layers.last))
    ]
    if not candidates:
        return []
    chosen = max(
        candidates, key=lambda r: (profile.kind(r.kind).memory_mb, r.identity)
    )
    max_layers = _max_layers(chosen, profile, REPAIR_WEIGHT_SHARE)
    return [
        LayerOrder(chosen.identity, _gap_range(coverage, max_layers), "gap")
    ]


def _gap_range(coverage, max_layers):
    """Return the first unheld range, of at most `max_layers` layers."""
    first = coverage.index(0)
    last = first
    while last < len(coverage) and coverage[last] == 0:
        last += 1
    last = min(last, first + max_layers)
    return LayerRange(first, last)


def _least_covered_range(coverage, size):
    """Return the range of a given size with the least token capacity."""
    starts = range(len(coverage) - size + 1)

    def capacity_key(start):
        window = coverage[start : start + size]
        return (min(window), sum(window))

    first = min(starts, key=capacity_key)
    return LayerRange(first, first + size)


def _coverage(records, profile):
    """Return the token capacity of each layer, summed over its holders."""
    coverage = [0.0] * profile.layers
    for record in records:
        memory = profile.kind(record.kind).memory_mb
        size = record.layers.size
        tokens = max(1.0, profile.capacity_units(memory, size) / size)
        for layer in range(record.layers.first, record.layers.last):
            coverage[layer] += tokens
    return coverage


def _holder_counts(records, profile):
    """Return the number of targets that hold each layer."""
    counts = [0] * profile.layers
    for record in records:
        for layer in range(record.layers.first, record.layers.last):
            counts[layer] += 1
    return counts


def _accelerator_spec(record, profile):
    kind = profile.kind(record.kind)
    return AcceleratorSpec(
        record.identity, kind.memory_mb, kind.step_factor, kind.read_factor
    )
