"""Choice of targets that replace a failed stage during an answer."""

import random

from apricotseam.errors import NoTargetError
from apricotseam.pipelines import Stage
from apricotseam.pipelines import StageChooser


class TableStageChooser(StageChooser):
    """Chooses replacement stages from the current target table.

    Parameters
    ----------
    snapshots : Snapshots
        Provides the current target table as ``targets``.
    scope, group : str
        Scope and group of the chain's targets.
    generator : random.Random, optional
        Orders equally good targets, so that streams are spread over them.
    """

    def __init__(self, snapshots, scope, group, generator=None):
        self._snapshots = snapshots
        self._scope = scope
        self._group = group
        self._random = generator or random

    def replace(self, chain, stage, excluded):
        """Return stages of the chain's version that cover a stage's layers.

        The fewest targets that cover the layers are used. Among these,
        targets in the stage's availability zone are preferred, then those
        with the least load.

        Raises
        ------
        NoTargetError
            If no usable targets cover exactly these layers.
        """
        states = [
            state
            for state in self._snapshots.targets.usable(
                self._scope, self._group
            )
            if state.version == chain.version
            and state.name not in excluded
            and state.first is not None
            and state.first >= stage.first
            and state.last <= stage.last
        ]
        zone = stage.availability_zone
        states.sort(
            key=lambda s: (
                s.availability_zone != zone,
                s.queued_steps + s.running_streams,
                self._random.random(),
            )
        )
        replacements = cover_layers(states, stage.first, stage.last)
        if replacements is None:
            raise NoTargetError(
                f"no targets cover layers {stage.first} to {stage.last}",
                "send the request again with the resume handle",
                retry_after=1,
            )
        return tuple(
            Stage(s.name, s.address, s.availability_zone, s.first, s.last)
            for s in replacements
        )


def cover_layers(states, first, last):
    """Return the fewest targets that cover each layer once, or None.

    Parameters
    ----------
    states : list of TargetState
        Candidates in order of preference. Of two covers with equally many
        targets, the one with earlier targets is preferred.
    first, last : int
        First and last layer to cover, both included.

    Examples
    --------
    >>> cover_layers([], 0, 3) is None
    True
    """
    reached = {first: ()}
    while reached and last + 1 not in reached:
        next_reached = {}
        for layer, chosen in reached.items():
            for state in states:
                if state.first == layer and state.last <= last:
                    next_reached.setdefault(state.last + 1, (*chosen, state))
        reached = next_reached
    return reached.get(last + 1)
