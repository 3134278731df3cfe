"""Simple policies of choice, as baselines: they keep no account of load."""

import abc
import collections
import itertools
import random

from apricotseam.pipelines import Chain
from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import no_chain
from apricotseam.routing._chooser import usable_stages
from apricotseam.routing._chooser import usable_targets


class _StagewiseChooser(Chooser):
    """Chooses one stage after the other, each by the same rule."""

    def choose_chain(self, table, model, demand):
        """Return a chain, chosen stage by stage."""
        stages = usable_stages(table, model, demand)
        reaching = _boundaries_to_end(stages, model.layers)
        loads = {
            t.address: t for t in table.usable(demand.scope, demand.group)
        }
        path = []
        boundary = 0
        while boundary < model.layers:
            options = [
                stage
                for stage in stages
                if stage.first == boundary and stage.last + 1 in reaching
            ]
            if not options:
                raise no_chain(model)
            stage = self._pick(options, loads)
            path.append(stage)
            boundary = stage.last + 1
        return Chain(model.name, model.serving, tuple(path))

    def choose_target(self, table, demand):
        """Return a usable target."""
        targets = usable_targets(table, demand)
        return self._pick(targets, {t.address: t for t in targets})

    @abc.abstractmethod
    def _pick(self, options, targets):
        """Return one of the options, which have addresses."""


class RandomChooser(_StagewiseChooser):
    """Chooses evenly at random.

    Parameters
    ----------
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, generator=None):
        self._random = generator or random.Random()

    def _pick(self, options, targets):
        return self._random.choice(options)


class RoundRobinChooser(_StagewiseChooser):
    """Chooses the options in turn."""

    def __init__(self):
        self._turns = collections.defaultdict(itertools.count)

    def _pick(self, options, targets):
        boundary = targets[options[0].address].first
        key = (targets[options[0].address].group, boundary)
        turn = next(self._turns[key])
        ordered = sorted(options, key=lambda option: option.address)
        return ordered[turn % len(ordered)]


class LeastReportedChooser(_StagewiseChooser):
    """Chooses the least load as reported, however old the report is."""

    def __init__(self, generator=None):
        self._random = generator or random.Random()

    def _pick(self, options, targets):
        lowest = min(targets[o.address].running_streams for o in options)
        return self._random.choice(
            [
                option
                for option in options
                if targets[option.address].running_streams == lowest
            ]
        )


def _boundaries_to_end(stages, layers):
    reaching = {layers}
    for stage in sorted(stages, key=lambda s: -s.first):
        if stage.last + 1 in reaching:
            reaching.add(stage.first)
    return reaching
