"""Keeps chain plans for the targets that this host routes to."""

import msgspec

from apricotseam.config import TargetKind
from apricotseam.pipelines import plan_chains
from apricotseam.routing._chooser import stage_of

MAX_SLOWNESS_LEVEL = 6
# Time between two tokens of one answer.
ANSWER_TOKEN_SECONDS = 0.056
# Slowness level n divides the rate of a stage by 2**n. It is raised when a
# step takes more than RAISE_MARGIN * 2**(n + 1) times as long as expected, and
# lowered when it takes less than LOWER_MARGIN * 2**n times as long.
RAISE_MARGIN = 2.0
LOWER_MARGIN = 1.0


class _CachedPlan(msgspec.Struct, frozen=True):
    """A `ChainPlan` and the inputs that it was computed from."""

    key: tuple
    plan: object


class ChainPlans:
    """Holds the latest plan of each group that serves a model.

    A plan is recomputed when a target fails, joins, leaves or changes its
    layers, when its steps become much slower or faster than it reports,
    and when the scope file changes. Otherwise `refresh` only compares the
    inputs.

    Parameters
    ----------
    observed : callable, optional
        Returns the observed duration of a step at an address in seconds,
        or None if unknown.
    """

    def __init__(self, observed=None):
        self._observed = observed or (lambda address: None)
        self._plans = {}
        self._levels = {}

    def __call__(self, scope, group, model):
        """Return the planned pairs of `Chain` and weight; empty if none."""
        cached = self._plans.get((scope, group, model.name, model.serving))
        return cached.plan.chains if cached is not None else ()

    def plan(self, scope, group, model):
        """Return the current `ChainPlan`, or None."""
        cached = self._plans.get((scope, group, model.name, model.serving))
        return cached.plan if cached is not None else None

    def refresh(self, configuration, table, watched):
        """Recompute the plans whose inputs have changed.

        Parameters
        ----------
        configuration : Configuration
            The current configuration.
        table : TargetTable
            All targets.
        watched : iterable of TargetState
            Targets that this host routes to.
        """
        targets_by_group = {}
        for target in watched:
            if target.kind is TargetKind.ENGINE and _is_usable(target):
                key = (target.scope, target.group)
                targets_by_group.setdefault(key, []).append(target)
        plans = {}
        for scope, scope_file in configuration.scopes.items():
            models = {model.name: model for model in scope_file.models}
            for group in scope_file.groups:
                model = models.get(group.model)
                targets = targets_by_group.get((scope, group.name), [])
                if model is None or not targets:
                    continue
                share = len(targets) / len(table.group(scope, group.name))
                plan_key = (scope, group.name, model.name, model.serving)
                plans[plan_key] = self._plan_group(
                    plan_key, scope_file, model, targets, min(1.0, share)
                )
        self._plans = plans
        self._drop_unused_levels(targets_by_group)

    def _plan_group(self, plan_key, scope_file, model, targets, share):
        """Return the `_CachedPlan` of a group, recomputed if necessary.

        ``share`` is the fraction of the group's targets that this host
        routes to; it gets that fraction of the links' rates.
        """
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
        cached = self._plans.get(plan_key)
        if cached is not None and cached.key == key:
            return cached
        plan = plan_chains(model, model.serving, stages, rates, links)
        return _CachedPlan(key, plan)

    def _rate(self, target, kinds):
        """Return the rate of a target's stage in tokens per second."""
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
        """Update and return the slowness level of a target.

        See `slowness_level`.
        """
        seconds = self._observed(target.address)
        level = self._levels.get(target.address, 0)
        if seconds is not None and target.step_seconds > 0.0:
            used = target.running_streams / max(1, target.max_batch)
            expected = target.step_seconds * (1.0 + used)
            level = slowness_level(level, seconds / expected)
        self._levels[target.address] = level
        return level

    def _drop_unused_levels(self, targets_by_group):
        used = {
            t.address for targets in targets_by_group.values() for t in targets
        }
        for address in [a for a in self._levels if a not in used]:
            del self._levels[address]


def slowness_level(level, ratio):
    """Return how many times the rate of a slow stage is to be halved.

    The level is raised at a higher ratio than it is lowered at, so that it
    does not change back and forth while the ratio is near a threshold.

    Parameters
    ----------
    level : int
        Current slowness level.
    ratio : float
        Observed step time divided by the expected one.

    Examples
    --------
    >>> slowness_level(0, 3.9), slowness_level(0, 4.1), slowness_level(1, 2.1)
    (0, 1, 1)
    """
    while level < MAX_SLOWNESS_LEVEL and ratio > RAISE_MARGIN * (2 << level):
        level += 1
    while level > 0 and ratio < LOWER_MARGIN * (1 << level):
        level -= 1
    return level


def _link_rate(link):
    """Return the rate of a link in tokens per second.

    It is 0 if the link can't keep up with the tokens of a single answer.
    """
    if link.tokens_per_second * ANSWER_TOKEN_SECONDS < 1.0:
        return 0.0
    return link.tokens_per_second


def _is_usable(target):
    return (
        not target.leaving and not target.suspect and target.first is not None
    )
