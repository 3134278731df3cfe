"""Target table: an immutable snapshot of all known targets."""

import msgspec

from apricotseam.config import TargetKind


class TargetState(msgspec.Struct, frozen=True, kw_only=True):
    """State of one target as known to this host.

    A target that is ``leaving`` is being taken out of service, and one
    that is ``suspect`` may be down; neither gets new work. ``first`` and
    ``last`` are the first and last layer that an engine holds, both
    included, and ``version`` is the model version for which it takes new
    streams; they are None if unknown. ``queued_steps``,
    ``running_streams``, ``max_batch`` and ``step_seconds`` are from its
    latest report.
    """

    name: str
    address: str
    availability_zone: str
    scope: str
    group: str
    kind: TargetKind
    leaving: bool = False
    suspect: bool = False
    accelerator: str | None = None
    first: int | None = None
    last: int | None = None
    version: str | None = None
    queued_steps: int = 0
    running_streams: int = 0
    max_batch: int = 0
    step_seconds: float = 0.0
    report_deadline: float = 0.0


class TargetTable:
    """Targets, indexed by scope and group, by name, and by address.

    Parameters
    ----------
    targets : iterable of TargetState
        All targets.
    """

    __slots__ = ("_by_address", "_by_group", "_by_name")

    def __init__(self, targets=()):
        self._by_group = {}
        self._by_name = {}
        self._by_address = {}
        for target in targets:
            key = (target.scope, target.group)
            self._by_group.setdefault(key, []).append(target)
            self._by_name[(target.scope, target.name)] = target
            self._by_address[target.address] = target

    @property
    def all(self):
        """All targets."""
        return list(self._by_name.values())

    def replace(self, targets):
        """Return a copy of the table with some targets replaced.

        Parameters
        ----------
        targets : list of TargetState
            New states of targets that are in this table, with the same
            groups.
        """
        table = TargetTable()
        table._by_name = dict(self._by_name)
        table._by_address = dict(self._by_address)
        table._by_group = dict(self._by_group)
        by_group = {}
        for target in targets:
            table._by_name[(target.scope, target.name)] = target
            table._by_address[target.address] = target
            key = (target.scope, target.group)
            by_group.setdefault(key, {})[target.name] = target
        for key, replaced in by_group.items():
            table._by_group[key] = [
                replaced.get(old.name, old) for old in self._by_group[key]
            ]
        return table

    def find(self, address):
        """Return the target at an address, or None."""
        return self._by_address.get(address)

    def group(self, scope, group):
        """Return the targets of a group."""
        return self._by_group.get((scope, group), [])

    def usable(self, scope, group):
        """Return the targets of a group that are not leaving or suspect."""
        return [
            target
            for target in self.group(scope, group)
            if not target.leaving and not target.suspect
        ]
