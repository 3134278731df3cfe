"""Keeps work in the own availability zone until spill is due."""

import abc

from apricotseam.routing._spill import may_leave_zone
from apricotseam.routing._spill import spill_allowance


class ZoneLoads(abc.ABC):
    """Figures of targets, in streams, that spill is decided by."""

    @abc.abstractmethod
    def capacity(self, target):
        """Return how many streams a target runs at once."""

    @abc.abstractmethod
    def reported(self, target):
        """Return the streams that it reported."""

    @abc.abstractmethod
    def sent(self, target):
        """Return the streams of this host that the report lacks."""


class ZoneFilter:
    """Leaves out targets of zones that have no room for this host.

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

        Targets that hold the same layers are weighed together. Those of
        the own zone come first; others are added while the own zone is
        nearly full, each zone while it has room. Where no target is in
        the own zone, all are allowed.

        Parameters
        ----------
        targets : list of TargetState
            Candidates.
        loads : ZoneLoads
            Their loads.
        """
        alike = {}
        for target in targets:
            key = (target.first, target.last)
            alike.setdefault(key, []).append(target)
        return [
            target
            for group in alike.values()
            for target in self._of_group(group, loads)
        ]

    def _of_group(self, targets, loads):
        zones = {}
        for target in targets:
            zones.setdefault(target.availability_zone, []).append(target)
        own = zones.pop(self._zone, [])
        if not own or not zones:
            return targets
        capacity = sum(map(loads.capacity, own))
        used = sum(loads.reported(t) + loads.sent(t) for t in own)
        if not may_leave_zone(used / capacity):
            return own
        chosen = list(own)
        for others in zones.values():
            if self._has_room(others, loads):
                chosen += others
        return chosen

    def _has_room(self, targets, loads):
        allowance = spill_allowance(
            sum(map(loads.capacity, targets)),
            sum(map(loads.reported, targets)),
            self._hosts(),
        )
        return sum(map(loads.sent, targets)) < allowance
