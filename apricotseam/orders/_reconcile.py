"""Which targets to order next, from what is declared and reported."""

import msgspec

MAX_KEPT_CHAINS = 16


class Wanted(msgspec.Struct, frozen=True, kw_only=True):
    """What one target is declared to run."""

    target: str
    address: str
    model: str
    version: str
    first: int
    last: int
    adapters: tuple[str, ...] = ()
    role: str = "both"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Targets to order now, and whether the rollout cannot go on.

    ``loads`` counts how many of them load weights.
    """

    orders: list[Wanted]
    loads: int = 0
    is_blocked: bool = False
    differing: int = 0


def is_met(wanted, report):
    """Return whether a target runs what is declared."""
    return _holds(wanted, report) and _extras(wanted, report)


def needs_load(wanted, report):
    """Return whether an order makes a target load weights."""
    adapters = set(wanted.adapters) - set(report.adapters)
    return not _holds(wanted, report) or bool(adapters)


def reconcile(wanted, reports, layers, loads):
    """Return the orders that bring targets towards what is declared.

    A new version moves in chain by chain: no target is taken out of the
    last chain of a version that covers all layers before the declared
    version covers them too.

    Parameters
    ----------
    wanted : list of Wanted
        Declared state of each target.
    reports : dict of str to EngineReport
        Newest report by target; targets without one get no order.
    layers : int
        Number of layers of the model.
    loads : int
        Loads that may start now.

    Returns
    -------
    Plan
    """
    known = [w for w in wanted if w.target in reports]
    differing = [w for w in known if not is_met(w, reports[w.target])]
    movable, is_blocked = _movable(known, differing, reports, layers)
    orders = []
    left = loads
    for item in movable:
        report = reports[item.target]
        if report.loading is not None:
            continue
        if needs_load(item, report):
            if left < 1:
                continue
            left -= 1
        orders.append(item)
    return Plan(
        orders=orders,
        loads=loads - left,
        is_blocked=is_blocked,
        differing=len(differing),
    )


def _movable(known, differing, reports, layers):
    """Return the targets that may be ordered, in order, and if stuck."""
    holders = [w for w in known if _holds(w, reports[w.target])]
    if not differing or _path(_ranges(holders), layers) is not None:
        return differing, False
    light = [w for w in differing if _holds(w, reports[w.target])]
    kept_chains = _kept_chains(known, reports, layers)
    if not kept_chains:
        path = _new_path(known, reports, layers, frozenset()) or []
        return _first(path, differing), False
    for kept in kept_chains:
        path = _new_path(known, reports, layers, kept)
        if path is not None:
            chosen = [w for w in differing if w.target in path]
            return light + [w for w in chosen if w not in light], False
    kept = kept_chains[0]
    spare = [w for w in differing if w.target not in kept]
    return light + [w for w in spare if w not in light], True


def _first(path, differing):
    """Return the differing targets, those on the path before the others."""
    return sorted(differing, key=lambda w: w.target not in path)


def _holds(wanted, report):
    """Return whether a target runs the declared layers of the version."""
    return (
        wanted.model == report.model
        and wanted.version == report.version
        and wanted.first == report.first
        and wanted.last == report.last
    )


def _extras(wanted, report):
    return (
        set(wanted.adapters) == set(report.adapters)
        and wanted.role == report.role
    )


def _ranges(items):
    return [(w.first, w.last, 0, w.target) for w in items]


def _kept_chains(known, reports, layers):
    """Return chains, as sets of targets, that other versions run now."""
    running = {}
    for item in known:
        report = reports[item.target]
        if report.loading is None and not _holds(item, report):
            stage = (report.first, report.last, 1, item.target)
            key = (report.model, report.version)
            running.setdefault(key, []).append(stage)
    chains = []
    for stages in running.values():
        chains.extend(_some_paths(stages, layers))
    return chains[:MAX_KEPT_CHAINS]


def _some_paths(stages, layers):
    """Return a few different paths, none a part of the ones before."""
    found = []
    left = list(stages)
    while len(found) < MAX_KEPT_CHAINS:
        path = _path(left, layers)
        if path is None:
            return found
        found.append(frozenset(path))
        left = [stage for stage in left if stage[3] not in path]
    return found


def _new_path(known, reports, layers, excluded):
    """Return the targets of the cheapest chain of the declared version."""
    stages = []
    for item in known:
        report = reports[item.target]
        if item.target in excluded:
            continue
        is_coming = _holds(item, report) or report.loading == item.version
        cost = 0 if is_coming else 1
        stages.append((item.first, item.last, cost, item.target))
    return _path(stages, layers)


def _path(stages, layers):
    """Return the names of the cheapest stages that cover all layers."""
    best = {0: (0, ())}
    for first, last, cost, name in sorted(stages):
        before = best.get(first)
        if before is None:
            continue
        reached = (before[0] + cost, (*before[1], name))
        if last + 1 not in best or reached[0] < best[last + 1][0]:
            best[last + 1] = reached
    found = best.get(layers)
    return None if found is None else found[1]
