"""Choice of what takes the place of a stage in mid-answer."""

import random

from apricotseam.errors import NoTargetError
from apricotseam.pipelines import Stage
from apricotseam.pipelines import StageChooser


class TableStageChooser(StageChooser):
    """Chooses replacements from the target table in force.

    Parameters
    ----------
    snapshots : Snapshots
        Holds the target table in ``targets``.
    scope, group : str
        Where the chain's targets are declared.
    generator : random.Random, optional
        Spreads streams over equal targets.
    """

    def __init__(self, snapshots, scope, group, generator=None):
        self._snapshots = snapshots
        self._scope = scope
        self._group = group
        self._random = generator or random

    def replace(self, chain, stage, excluded):
        """Return stages of the chain's version that cover the layers."""
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
        found = cover(states, stage.first, stage.last)
        if found is None:
            raise NoTargetError(
                f"no target holds layers {stage.first} to {stage.last}",
                "send the request again with the resume handle",
                retry_after=1,
            )
        return tuple(
            Stage(s.name, s.address, s.availability_zone, s.first, s.last)
            for s in found
        )


def cover(states, first, last):
    """Return the fewest targets that cover layers once, or None.

    Parameters
    ----------
    states : list of TargetState
        Candidates; among covers of equal length the earlier go first.
    first, last : int
        Layers to cover, both included.

    Examples
    --------
    >>> cover([], 0, 3) is None
    True
    """
    reached = {first: ()}
    while reached and last + 1 not in reached:
        following = {}
        for layer, chosen in reached.items():
            for state in states:
                if state.first == layer and state.last <= last:
                    following.setdefault(state.last + 1, (*chosen, state))
        reached = following
    return reached.get(last + 1)
