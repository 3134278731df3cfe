"""Selects the next orders from declared specs and engine reports."""

import msgspec

# Maximum number of old chains among which the one to keep is chosen.
MAX_KEPT_CHAINS = 16


class TargetSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What one target is declared to run."""

    name: str
    address: str
    model: str
    version: str
    first: int
    last: int
    adapters: tuple[str, ...] = ()
    role: str = "both"


class RolloutPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Specs to order now, and whether the rollout is blocked.

    ``loads`` is the number of orders that make a target load weights;
    ``differing`` is the number of reported targets that do not run what
    is declared.
    """

    orders: list[TargetSpec]
    loads: int = 0
    is_blocked: bool = False
    differing: int = 0


def matches_spec(spec, report):
    """Return whether a target runs what is declared."""
    return _runs_layers(spec, report) and _has_adapters_and_role(spec, report)


def needs_load(spec, report):
    """Return whether an order makes a target load weights."""
    missing = set(spec.adapters) - set(report.adapters)
    return not _runs_layers(spec, report) or bool(missing)


def reconcile(specs, reports, layers, loads):
    """Return the orders that bring targets towards their specs.

    A new version is rolled out chain by chain. As long as the declared
    version does not cover all layers, a complete chain of another version
    is kept running.

    Parameters
    ----------
    specs : list of TargetSpec
        Declared state of each target.
    reports : dict of str to EngineReport
        Latest report by target; targets without one get no order.
    layers : int
        Number of layers of the model.
    loads : int
        Number of loads of weights that may start now.

    Returns
    -------
    RolloutPlan
    """
    reported = [spec for spec in specs if spec.name in reports]
    differing = [s for s in reported if not matches_spec(s, reports[s.name])]
    updatable, is_blocked = _updatable(reported, differing, reports, layers)
    orders = []
    remaining_loads = loads
    for spec in updatable:
        report = reports[spec.name]
        if report.loading is not None:
            continue
        if needs_load(spec, report):
            if remaining_loads < 1:
                continue
            remaining_loads -= 1
        orders.append(spec)
    return RolloutPlan(
        orders=orders,
        loads=loads - remaining_loads,
        is_blocked=is_blocked,
        differing=len(differing),
    )


def _updatable(reported, differing, reports, layers):
    """Return the specs that may be ordered, and if the rollout is blocked.

    Specs are in order of priority. The rollout is blocked if it has to take
    a target out of the last complete chain of another version. Targets that
    differ only in adapters or role may be ordered in any case.
    """
    updated = [s for s in reported if _runs_layers(s, reports[s.name])]
    if (
        not differing
        or _cheapest_chain(_free_stages(updated), layers) is not None
    ):
        return differing, False
    in_place = [s for s in differing if _runs_layers(s, reports[s.name])]
    old_chains = _old_chains(reported, reports, layers)
    if not old_chains:
        chain = _new_chain(reported, reports, layers, frozenset()) or []
        return _chain_first(chain, differing), False
    for kept in old_chains:
        chain = _new_chain(reported, reports, layers, kept)
        if chain is not None:
            chosen = [s for s in differing if s.name in chain]
            return in_place + [s for s in chosen if s not in in_place], False
    kept = old_chains[0]
    spare = [s for s in differing if s.name not in kept]
    return in_place + [s for s in spare if s not in in_place], True


def _chain_first(chain, differing):
    """Return differing specs, those of a chain before the others."""
    return sorted(differing, key=lambda spec: spec.name not in chain)


def _runs_layers(spec, report):
    """Return whether a target runs the declared layers and version."""
    return (
        spec.model == report.model
        and spec.version == report.version
        and spec.first == report.first
        and spec.last == report.last
    )


def _has_adapters_and_role(spec, report):
    return (
        set(spec.adapters) == set(report.adapters) and spec.role == report.role
    )


def _free_stages(specs):
    """Return a stage of cost 0 for each spec, for `_cheapest_chain`."""
    return [(s.first, s.last, 0, s.name) for s in specs]


def _old_chains(reported, reports, layers):
    """Return the chains, as sets of targets, that run other versions."""
    stages_by_version = {}
    for spec in reported:
        report = reports[spec.name]
        if report.loading is None and not _runs_layers(spec, report):
            stage = (report.first, report.last, 1, spec.name)
            key = (report.model, report.version)
            stages_by_version.setdefault(key, []).append(stage)
    chains = []
    for stages in stages_by_version.values():
        chains.extend(_disjoint_chains(stages, layers))
    return chains[:MAX_KEPT_CHAINS]


def _disjoint_chains(stages, layers):
    """Return up to ``MAX_KEPT_CHAINS`` chains without common targets."""
    chains = []
    remaining = list(stages)
    while len(chains) < MAX_KEPT_CHAINS:
        chain = _cheapest_chain(remaining, layers)
        if chain is None:
            return chains
        chains.append(frozenset(chain))
        remaining = [stage for stage in remaining if stage[3] not in chain]
    return chains


def _new_chain(reported, reports, layers, excluded):
    """Return the chain of the declared version that takes fewest orders.

    The result is None if the targets that are not excluded leave a gap.
    """
    stages = []
    for spec in reported:
        report = reports[spec.name]
        if spec.name in excluded:
            continue
        is_ordered = (
            _runs_layers(spec, report) or report.loading == spec.version
        )
        cost = 0 if is_ordered else 1
        stages.append((spec.first, spec.last, cost, spec.name))
    return _cheapest_chain(stages, layers)


def _cheapest_chain(stages, layers):
    """Return the names of the cheapest stages that cover all layers.

    Parameters
    ----------
    stages : list of (int, int, int, str)
        First layer, last layer, cost and target of each stage.
    layers : int
        Number of layers to cover.

    Returns
    -------
    tuple of str or None
        Targets in layer order, None if the stages leave a gap.
    """
    best = {0: (0, ())}
    for first, last, cost, name in sorted(stages):
        prefix = best.get(first)
        if prefix is None:
            continue
        extended = (prefix[0] + cost, (*prefix[1], name))
        if last + 1 not in best or extended[0] < best[last + 1][0]:
            best[last + 1] = extended
    cheapest = best.get(layers)
    return None if cheapest is None else cheapest[1]
