"""Assigns layers to engines for which the scope file lists none."""

import functools

import msgspec

from apricotseam.pipelines import Holder
from apricotseam.pipelines import plan_placement


MAX_CACHED_PLACEMENTS = 16


class _ModelSize(msgspec.Struct, frozen=True):
    """Number of layers of a model."""

    layers: int


def assigned_layers(scope_file, group, model, states):
    """Return the layers of engines that have none in the scope file.

    Engines with layers in the scope file are not moved. Only the first
    move of the placement is applied; the next one follows when a report
    shows that the first is done.

    Parameters
    ----------
    scope_file : ScopeFile
        Declares accelerators, links and the rate limit of the weight store.
    group : Group
        The group of engines.
    model : Model
        Model of the group.
    states : dict of str to TargetState
        Current state of targets by name.

    Returns
    -------
    dict of str to (int, int)
        First and last layer, both included, by name of target.
    """
    unassigned = {t.name for t in group.targets if t.layers is None}
    if not unassigned:
        return {}
    accelerators = {
        accelerator.name: accelerator
        for accelerator in scope_file.accelerators
    }
    holders = []
    for target in group.targets:
        state = states.get(target.name)
        accelerator = accelerators.get(target.accelerator)
        if (
            state is None
            or accelerator is None
            or state.leaving
            or state.suspect
        ):
            continue
        holders.append(_holder_of(target, state, accelerator, model))
    links = tuple(
        (*sorted(link.between), link.tokens_per_second)
        for link in scope_file.links
    )
    loads_per_minute = scope_file.weight_store.loads_per_minute
    moves = _first_move(
        _ModelSize(model.layers), tuple(holders), links, loads_per_minute
    )
    assigned = {
        holder.target: (holder.first, holder.last)
        for holder in holders
        if holder.target in unassigned and holder.first is not None
    }
    for move in moves:
        assigned[move.target] = (move.first, move.last)
    return assigned


@functools.lru_cache(MAX_CACHED_PLACEMENTS)
def _first_move(model_size, holders, links, loads_per_minute):
    """Return the first move in a sequence, which is empty if there is none.

    Results are cached for equal arguments.
    """
    capacities = {frozenset((a, b)): rate for a, b, rate in links}
    return plan_placement(
        model_size, holders, capacities, loads_per_minute, 0.0, 1
    ).moves


def _holder_of(target, state, accelerator, model):
    """Return a target as the `Holder` that `plan_placement` takes.

    Its layers are those of the scope file, else those that it reports if
    it runs the serving version and they fit; otherwise it has none.
    """
    first = last = None
    if target.layers is not None:
        first, last = target.layers.first, target.layers.last
    elif state.version == model.serving and _fits(state, accelerator, model):
        first, last = state.first, state.last
    return Holder(
        target=target.name,
        availability_zone=target.availability_zone,
        layer_tokens_per_second=accelerator.layer_tokens_per_second,
        memory_layers=accelerator.memory_layers,
        first=first,
        last=last,
        is_fixed=target.layers is not None,
    )


def _fits(state, accelerator, model):
    if state.first is None or state.last >= model.layers:
        return False
    return 0 <= state.last - state.first < accelerator.memory_layers
