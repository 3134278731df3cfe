"""Layers of engines for which the operators' file names none."""

import functools

import msgspec

from apricotseam.pipelines import Holder
from apricotseam.pipelines import plan_placement


MAX_CACHED = 16


class _Size(msgspec.Struct, frozen=True):
    """Number of layers of a model."""

    layers: int


def placed_layers(scope_file, group, model, states):
    """Return the layers of engines that the file leaves to the planner.

    Engines whose layers the file names stay as they are. Of the moves
    that the planner finds only the first is taken; the next follows when
    a report shows that the first was made.

    Parameters
    ----------
    scope_file : ScopeFile
        Declares kinds, links and the weight store's limit.
    group : Group
        The group of engines.
    model : Model
        Model of the group.
    states : dict of str to TargetState
        Targets in force by name.

    Returns
    -------
    dict of str to (int, int)
    """
    open_names = {t.name for t in group.targets if t.layers is None}
    if not open_names:
        return {}
    kinds = {kind.name: kind for kind in scope_file.accelerators}
    holders = []
    for target in group.targets:
        state = states.get(target.name)
        kind = kinds.get(target.accelerator)
        if state is None or kind is None or state.leaving or state.suspect:
            continue
        holders.append(_holder(target, state, kind, model))
    links = tuple(
        (*sorted(link.between), link.tokens_per_second)
        for link in scope_file.links
    )
    limit = scope_file.weight_store.loads_per_minute
    moves = _first_move(_Size(model.layers), tuple(holders), links, limit)
    placed = {
        holder.target: (holder.first, holder.last)
        for holder in holders
        if holder.target in open_names and holder.first is not None
    }
    for move in moves:
        placed[move.target] = (move.first, move.last)
    return placed


@functools.lru_cache(MAX_CACHED)
def _first_move(size, holders, links, limit):
    """Return the first move or none; computed once for equal inputs."""
    pairs = {frozenset((a, b)): rate for a, b, rate in links}
    return plan_placement(size, holders, pairs, limit, 0.0, 1).moves


def _holder(target, state, kind, model):
    """Return the accelerator of a target with the layers it holds."""
    first = last = None
    if target.layers is not None:
        first, last = target.layers.first, target.layers.last
    elif state.version == model.serving and _fits(state, kind, model):
        first, last = state.first, state.last
    return Holder(
        target=target.name,
        availability_zone=target.availability_zone,
        layer_tokens_per_second=kind.layer_tokens_per_second,
        memory_layers=kind.memory_layers,
        first=first,
        last=last,
        is_fixed=target.layers is not None,
    )


def _fits(state, kind, model):
    if state.first is None or state.last >= model.layers:
        return False
    return 0 <= state.last - state.first < kind.memory_layers
