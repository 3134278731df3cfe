"""Baseline choice policies that do not track load themselves."""

import abc
import collections
import itertools
import random

from apricotseam.pipelines import Chain
from apricotseam.routing._chooser import Chooser
from apricotseam.routing._chooser import no_chain_error
from apricotseam.routing._chooser import usable_stages
from apricotseam.routing._chooser import usable_targets


class _StagewiseChooser(Chooser):
    """Chooses the stages of a chain in order, each by the same rule."""

    def choose_chain(self, table, model, demand):
        """Return a chain that covers the model, chosen stage by stage."""
        stages = usable_stages(table, model, demand)
        connected = _connected_boundaries(stages, model.layers)
        targets_by_address = {
            t.address: t for t in table.usable(demand.scope, demand.group)
        }
        path = []
        boundary = 0
        while boundary < model.layers:
            options = [
                stage
                for stage in stages
                if stage.first == boundary and stage.last + 1 in connected
            ]
            if not options:
                raise no_chain_error(model)
            stage = self._pick(options, targets_by_address)
            path.append(stage)
            boundary = stage.last + 1
        return Chain(model.name, model.serving, tuple(path))

    def choose_target(self, table, demand):
        """Return a usable target."""
        targets = usable_targets(table, demand)
        return self._pick(targets, {t.address: t for t in targets})

    @abc.abstractmethod
    def _pick(self, options, targets):
        """Return one of the options.

        Parameters
        ----------
        options : list of Stage or list of TargetState
            Candidates; each has an address.
        targets : dict of str to TargetState
            States of the candidates by address.
        """


class RandomChooser(_StagewiseChooser):
    """Chooses uniformly at random.

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
    """Chooses targets in order of address, one after the other.

    Targets are rotated separately for each group and first layer.
    """

    def __init__(self):
        self._counters = collections.defaultdict(itertools.count)

    def _pick(self, options, targets):
        boundary = targets[options[0].address].first
        key = (targets[options[0].address].group, boundary)
        next_count = next(self._counters[key])
        ordered = sorted(options, key=lambda option: option.address)
        return ordered[next_count % len(ordered)]


class LeastReportedChooser(_StagewiseChooser):
    """Chooses the target that reported the fewest running streams.

    Reports are used as they are, without regard to their age.

    Parameters
    ----------
    generator : random.Random, optional
        Chooses among targets that reported the same number.
    """

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


def _connected_boundaries(stages, layers):
    """Return the boundaries from which stages reach the last layer."""
    connected = {layers}
    for stage in sorted(stages, key=lambda s: -s.first):
        if stage.last + 1 in connected:
            connected.add(stage.first)
    return connected
