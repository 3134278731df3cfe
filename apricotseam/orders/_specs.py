"""Specs of groups of engines, from the configuration."""

from apricotseam.config import TargetKind
from apricotseam.membership import rendezvous_score
from apricotseam.orders._assignment import assigned_layers
from apricotseam.orders._controller import GroupSpec
from apricotseam.orders._reconcile import TargetSpec

# Hosts that try to acquire the lease of a group.
CANDIDATES_PER_GROUP = 2


def declared_group_specs(configuration, table):
    """Return the `GroupSpec` of each group of engines with a model.

    The weight store's limit on loads per minute is split evenly over the
    groups of a scope. Leaving targets are omitted, so that they get no
    orders.

    Parameters
    ----------
    configuration : Configuration
        The current configuration.
    table : TargetTable
        The current targets.

    Returns
    -------
    list of GroupSpec
    """
    specs = []
    for scope, scope_file in configuration.scopes.items():
        models = {model.name: model for model in scope_file.models}
        groups = [
            group
            for group in scope_file.groups
            if group.kind is TargetKind.ENGINE and group.model is not None
        ]
        for group in groups:
            loads_per_minute = scope_file.weight_store.loads_per_minute
            model = models[group.model]
            specs.append(
                GroupSpec(
                    scope=scope,
                    group=group.name,
                    layers=model.layers,
                    fencing=group.fencing,
                    loads_per_minute=loads_per_minute / len(groups),
                    targets=_target_specs(scope_file, group, model, table),
                )
            )
    return specs


def host_rank(host, hosts, scope, group):
    """Return the rank of a host among the candidates for one group.

    The rank follows from rendezvous hashing; a host that is not listed
    ranks after all others.

    Examples
    --------
    >>> sorted(host_rank(h, ["a", "b", "c"], "s", "g") for h in "abc")
    [0, 1, 2]
    """
    group_key = f"{scope}/{group}"
    ranked = sorted(hosts, key=lambda name: rendezvous_score(name, group_key))
    return ranked.index(host) if host in ranked else len(ranked)


def _target_specs(scope_file, group, model, table):
    group_states = table.group(scope_file.scope, group.name)
    states = {state.name: state for state in group_states}
    assigned = assigned_layers(scope_file, group, model, states)
    specs = []
    for target in group.targets:
        state = states.get(target.name)
        is_leaving = target.leaving or (state is not None and state.leaving)
        layers = assigned.get(target.name)
        if target.layers is not None:
            layers = (target.layers.first, target.layers.last)
        if layers is None or is_leaving:
            continue
        specs.append(
            TargetSpec(
                name=target.name,
                address=target.address,
                model=model.name,
                version=model.serving,
                first=layers[0],
                last=layers[1],
                adapters=tuple(sorted(model.adapters)),
            )
        )
    return specs
