"""Keeps work in this host's availability zone until it is nearly full."""

import abc

from apricotseam.routing._spill import may_spill
from apricotseam.routing._spill import spill_allowance


class ZoneLoads(abc.ABC):
    """Loads of targets in streams.

    They decide whether work may spill over to other availability zones.
    """

    @abc.abstractmethod
    def capacity(self, target):
        """Return how many streams a target can run at once."""

    @abc.abstractmethod
    def reported(self, target):
        """Return the number of running streams that a target reported."""

    @abc.abstractmethod
    def unreported(self, target):
        """Return how many of this host's streams the report lacks."""


class ZoneFilter:
    """Filters out targets of other zones unless work may spill to them.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    hosts : callable
        Returns the number of live entry hosts.
    """

    __slots__ = ("_hosts", "_zone")

    def __init__(self, zone, hosts):
        self._zone = zone
        self._hosts = hosts

    def allowed(self, targets, loads):
        """Return the targets that new work may go to.

        The targets of each range of layers are filtered separately.
        Targets in the host's own zone are always allowed. When
        that zone is nearly full, every other zone that has room is allowed
        too. If no target is in the host's zone, all are allowed.

        Parameters
        ----------
        targets : list of TargetState
            Candidates.
        loads : ZoneLoads
            Loads of the candidates.
        """
        by_range = {}
        for target in targets:
            key = (target.first, target.last)
            by_range.setdefault(key, []).append(target)
        return [
            target
            for same_range in by_range.values()
            for target in self._allowed_in_range(same_range, loads)
        ]

    def _allowed_in_range(self, targets, loads):
        zones = {}
        for target in targets:
            zones.setdefault(target.availability_zone, []).append(target)
        own = zones.pop(self._zone, [])
        if not own or not zones:
            return targets
        capacity = sum(map(loads.capacity, own))
        used = sum(loads.reported(t) + loads.unreported(t) for t in own)
        if not may_spill(used / capacity):
            return own
        allowed_targets = list(own)
        for others in zones.values():
            if self._has_room(others, loads):
                allowed_targets += others
        return allowed_targets

    def _has_room(self, targets, loads):
        allowance = spill_allowance(
            sum(map(loads.capacity, targets)),
            sum(map(loads.reported, targets)),
            self._hosts(),
        )
        return sum(map(loads.unreported, targets)) < allowance
