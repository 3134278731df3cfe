"""Plans of chains for the targets that this host routes to."""

import msgspec

from apricotseam.config import TargetKind
from apricotseam.pipelines import plan_chains
from apricotseam.routing._chooser import stage_of

MAX_LEVEL = 6
TOKEN_SECONDS = 0.056
RAISE_MARGIN = 2.0
LOWER_MARGIN = 1.0


class _Known(msgspec.Struct, frozen=True):
    """A plan and what it was computed from."""

    key: tuple
    plan: object


class ChainPlans:
    """Holds the newest plan of each group that a pipeline uses.

    A plan is computed again when a target dies, joins, leaves or changes
    its layers, when its steps become much slower or faster than it
    reports, and when the operators' file changes; else `refresh` only
    compares.

    Parameters
    ----------
    observed : callable, optional
        Returns the observed seconds of a step at an address, or None.
    """

    def __init__(self, observed=None):
        self._observed = observed or (lambda address: None)
        self._plans = {}
        self._levels = {}

    def __call__(self, scope, group, model):
        """Return pairs of `Chain` and weight, or nothing."""
        known = self._plans.get((scope, group, model.name, model.serving))
        return known.plan.chains if known is not None else ()

    def plan(self, scope, group, model):
        """Return the `ChainPlan` in force, or None."""
        known = self._plans.get((scope, group, model.name, model.serving))
        return known.plan if known is not None else None

    def refresh(self, configuration, table, watched):
        """Compute the plans that something changed for.

        Parameters
        ----------
        configuration : Configuration
            The configuration in force.
        table : TargetTable
            All targets.
        watched : iterable of TargetState
            Targets that this host routes to.
        """
        mine = {}
        for target in watched:
            if target.kind is TargetKind.ENGINE and _is_usable(target):
                key = (target.scope, target.group)
                mine.setdefault(key, []).append(target)
        plans = {}
        for scope, scope_file in configuration.scopes.items():
            models = {model.name: model for model in scope_file.models}
            for group in scope_file.groups:
                model = models.get(group.model)
                targets = mine.get((scope, group.name), [])
                if model is None or not targets:
                    continue
                share = len(targets) / len(table.group(scope, group.name))
                name = (scope, group.name, model.name, model.serving)
                plans[name] = self._one(
                    name, scope_file, model, targets, min(1.0, share)
                )
        self._plans = plans
        self._forget(mine)

    def _one(self, name, scope_file, model, targets, share):
        targets = [t for t in targets if t.version == model.serving]
        kinds = {kind.name: kind for kind in scope_file.accelerators}
        rates = {t.name: self._rate(t, kinds) for t in targets}
        links = {
            frozenset(link.between): _link_rate(link) * share
            for link in scope_file.links
        }
        stages = sorted(map(stage_of, targets), key=lambda s: s.address)
        key = (
            model.layers,
            tuple((stage, rates[stage.target]) for stage in stages),
            tuple(sorted((*sorted(p), links[p]) for p in links)),
        )
        known = self._plans.get(name)
        if known is not None and known.key == key:
            return known
        plan = plan_chains(model, model.serving, stages, rates, links)
        return _Known(key, plan)

    def _rate(self, target, kinds):
        """Return tokens per second through a target's stage."""
        kind = kinds.get(target.accelerator)
        if kind is not None:
            held = target.last - target.first + 1
            rate = kind.layer_tokens_per_second / held
        elif target.step_seconds > 0.0:
            rate = max(1, target.max_batch) / target.step_seconds
        else:
            rate = 1.0
        return rate / (1 << self._level(target))

    def _level(self, target):
        seconds = self._observed(target.address)
        level = self._levels.get(target.address, 0)
        if seconds is not None and target.step_seconds > 0.0:
            queued = target.running_streams / max(1, target.max_batch)
            expected = target.step_seconds * (1.0 + queued)
            level = slowness_level(level, seconds / expected)
        self._levels[target.address] = level
        return level

    def _forget(self, mine):
        used = {t.address for targets in mine.values() for t in targets}
        for address in [a for a in self._levels if a not in used]:
            del self._levels[address]


def slowness_level(level, ratio):
    """Return by how many halvings a stage is slower than it reports.

    Margins on both sides keep a ratio near a threshold from changing the
    level back and forth.

    Parameters
    ----------
    level : int
        Level so far.
    ratio : float
        Observed over reported seconds of a step.

    Examples
    --------
    >>> slowness_level(0, 3.9), slowness_level(0, 4.1), slowness_level(1, 2.1)
    (0, 1, 1)
    """
    while level < MAX_LEVEL and ratio > RAISE_MARGIN * (2 << level):
        level += 1
    while level > 0 and ratio < LOWER_MARGIN * (1 << level):
        level -= 1
    return level


def _link_rate(link):
    """Return a link's rate, 0 if it is too slow for a single answer."""
    if link.tokens_per_second * TOKEN_SECONDS < 1.0:
        return 0.0
    return link.tokens_per_second


def _is_usable(target):
    return (
        not target.leaving and not target.suspect and target.first is not None
    )
