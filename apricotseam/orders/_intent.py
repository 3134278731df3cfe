"""Declared state of each group of engines, from the configuration."""

from apricotseam.config import TargetKind
from apricotseam.orders._orderer import GroupIntent
from apricotseam.orders._placed import placed_layers
from apricotseam.orders._reconcile import Wanted
from apricotseam.routing import rendezvous_score

RANKS_ON_DUTY = 2


def declared_intents(configuration, table):
    """Return the `GroupIntent` of each group of engines with a model.

    The weight store's limit is split evenly over the groups of a scope.
    Leaving targets get no orders.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    table : TargetTable
        Targets in force.

    Returns
    -------
    list of GroupIntent
    """
    intents = []
    for scope, scope_file in configuration.scopes.items():
        models = {model.name: model for model in scope_file.models}
        groups = [
            group
            for group in scope_file.groups
            if group.kind is TargetKind.ENGINE and group.model is not None
        ]
        for group in groups:
            limit = scope_file.weight_store.loads_per_minute
            model = models[group.model]
            intents.append(
                GroupIntent(
                    scope=scope,
                    group=group.name,
                    layers=model.layers,
                    fencing=group.fencing,
                    loads_per_minute=limit / len(groups),
                    wanted=_wanted(scope_file, group, model, table),
                )
            )
    return intents


def rank_of(host, hosts, scope, group):
    """Return the rank of a host for the duty of one group.

    Examples
    --------
    >>> sorted(rank_of(h, ["a", "b", "c"], "s", "g") for h in "abc")
    [0, 1, 2]
    """
    duty = f"{scope}/{group}"
    ranked = sorted(hosts, key=lambda name: rendezvous_score(name, duty))
    return ranked.index(host) if host in ranked else len(ranked)


def _wanted(scope_file, group, model, table):
    pool = table.group(scope_file.scope, group.name)
    states = {state.name: state for state in pool}
    placed = placed_layers(scope_file, group, model, states)
    wanted = []
    for target in group.targets:
        state = states.get(target.name)
        is_leaving = target.leaving or (state is not None and state.leaving)
        layers = placed.get(target.name)
        if target.layers is not None:
            layers = (target.layers.first, target.layers.last)
        if layers is None or is_leaving:
            continue
        wanted.append(
            Wanted(
                target=target.name,
                address=target.address,
                model=model.name,
                version=model.serving,
                first=layers[0],
                last=layers[1],
                adapters=tuple(sorted(model.adapters)),
            )
        )
    return wanted
