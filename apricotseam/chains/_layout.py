"""Layout of a model's layers over the accelerators of a zone.

The accelerators of an availability zone are sorted by speed and divided
into groups of consecutive ones. Each group holds one copy of the model. In
a group, every accelerator uses the same fraction of its memory for layers,
so that all have room for the same number of tokens. The accelerators that
are left over hold some layers a second time. The reasons for this design
are in docs/design/users-platform.md.
"""

import msgspec

from apricotseam.fleet import LayerRange

# Largest fraction of an accelerator's memory that weights may take: in a
# group that holds a whole copy, and on an accelerator that is left over.
MAX_WEIGHT_SHARE = 0.85
SPARE_WEIGHT_SHARE = 0.82
# Groups of more memory, in which weights take a smaller fraction, are not
# considered.
MIN_WEIGHT_SHARE = 0.25
# A larger group is preferred to a smaller one only if the served rate grows
# by this fraction: a copy is lost when any one of its accelerators fails.
MIN_RATE_GAIN = 0.02


class AcceleratorSpec(msgspec.Struct, frozen=True):
    """An accelerator that may hold layers.

    ``identity`` is that of its target. The factors scale the profile's
    times of token steps and prompt reads.
    """

    identity: str
    memory_mb: float
    step_factor: float
    read_factor: float


def plan_zone(accelerators, profile, model):
    """Return the layers that each accelerator should hold.

    Parameters
    ----------
    accelerators : list of AcceleratorSpec
        The accelerators of one availability zone.
    profile : EngineProfile
        Profile of the model that they run.
    model : ChainModel
        Estimates for chains of the model.

    Returns
    -------
    dict of str to LayerRange
        Layers by target identity. Accelerators that are not used are left
        out.

    Examples
    --------
    >>> from apricotseam.chains import ChainModel
    >>> from apricotseam.routes import EngineProfile
    >>> profile = EngineProfile(
    ...     layers=4, layer_mb=10.0, token_bytes=4000.0, kinds=(),
    ...     slots=8, step_ms=1.0)
    >>> accelerators = [
    ...     AcceleratorSpec("a", 30.0, 1.0, 1.0),
    ...     AcceleratorSpec("b", 30.0, 1.0, 1.0),
    ... ]
    >>> plan = plan_zone(accelerators, profile, ChainModel(profile))
    >>> sorted((r.first, r.last) for r in plan.values())
    [(0, 2), (2, 4)]
    """
    ordered = sorted(
        accelerators, key=lambda a: (a.step_factor, -a.memory_mb, a.identity)
    )
    groups = _best_groups(tuple(ordered), profile, model)
    plan = {}
    for group in groups:
        plan.update(_assign_ranges(group, profile))
    used = set(plan)
    spares = [
        accelerator
        for accelerator in ordered
        if accelerator.identity not in used
    ]
    plan.update(_place_spares(spares, profile))
    return plan


def _best_groups(accelerators, profile, model):
    """Divide sorted accelerators into the groups with the highest rate.

    For each accelerator, from the last to the first, the best division of
    those from it to the last is found from the divisions of fewer. As a
    group has a limited size, the work grows with their number only.
    """
    count = len(accelerators)
    # Rate of the best division from each accelerator on, and the end of its
    # first group, None if there is no group.
    best = [(0.0, None)] * (count + 1)
    for start in reversed(range(count)):
        for end in _group_ends(accelerators, start, profile):
            rate = _group_rate(accelerators[start:end], profile, model)
            if not rate:
                continue
            total = rate + best[end][0]
            if total > best[start][0] * (1 + MIN_RATE_GAIN):
                best[start] = (total, end)
    groups = []
    start = 0
    while best[start][1] is not None:
        end = best[start][1]
        groups.append(accelerators[start:end])
        start = end
    return groups


def _group_ends(accelerators, start, profile):
    """Yield the ends of the groups to consider that begin at an index.

    These are the groups with enough memory for a copy of the model, up to
    the first in which the weights fill less than `MIN_WEIGHT_SHARE`.
    """
    weights = profile.layers * profile.layer_mb
    memory = 0.0
    for end in range(start + 1, len(accelerators) + 1):
        memory += accelerators[end - 1].memory_mb
        if weights <= MAX_WEIGHT_SHARE * memory:
            yield end
        if weights < MIN_WEIGHT_SHARE * memory:
            return


def _group_rate(accelerators, profile, model):
    """Return the requests per second of a group, 0 if it can't hold a copy."""
    memory = sum(accelerator.memory_mb for accelerator in accelerators)
    share = profile.layers * profile.layer_mb / memory
    if share > MAX_WEIGHT_SHARE:
        return 0.0
    layer_counts = _layer_counts(accelerators, profile)
    if layer_counts is None:
        return 0.0
    stages = []
    token_capacities = []
    for accelerator, layers in zip(accelerators, layer_counts):
        if not layers:
            continue
        stages.append(
            (accelerator.step_factor, accelerator.read_factor, layers)
        )
        capacity = profile.capacity_units(accelerator.memory_mb, layers)
        token_capacities.append(capacity / layers)
    return model.served_rate(stages, min(token_capacities))


def _layer_counts(accelerators, profile):
    """Return layer counts in proportion to memory, None if they don't fit."""
    memory = sum(accelerator.memory_mb for accelerator in accelerators)
    exact_counts = [
        profile.layers * accelerator.memory_mb / memory
        for accelerator in accelerators
    ]
    layer_counts = [int(value) for value in exact_counts]
    by_remainder = sorted(
        range(len(accelerators)),
        key=lambda i: layer_counts[i] - exact_counts[i],
    )
    for i in by_remainder[: profile.layers - sum(layer_counts)]:
        layer_counts[i] += 1
    for accelerator, layers in zip(accelerators, layer_counts):
        if (
            layers * profile.layer_mb
            > MAX_WEIGHT_SHARE * accelerator.memory_mb
        ):
            return None
    return layer_counts


def _assign_ranges(accelerators, profile):
    """Return consecutive layer ranges of a group by identity."""
    plan = {}
    first = 0
    for accelerator, layers in zip(
        accelerators, _layer_counts(accelerators, profile)
    ):
        if layers:
            plan[accelerator.identity] = LayerRange(first, first + layers)
        first += layers
    return plan


def _place_spares(accelerators, profile):
    """Assign consecutive ranges to spares, from the last layer backwards.

    The smallest accelerators of a group hold its last layers. Starting
    there, the spares hold all layers of as many of them as possible.
    """
    plan = {}
    last = profile.layers
    for accelerator in sorted(accelerators, key=lambda a: -a.memory_mb):
        layers = int(
            accelerator.memory_mb * SPARE_WEIGHT_SHARE / profile.layer_mb
        )
        layers = min(layers, profile.layers)
        if layers < 1:
            continue
        if last <= 0:
            last = profile.layers
        first = max(0, last - layers)
        plan[accelerator.identity] = LayerRange(first, first + layers)
        last = first
    return plan
