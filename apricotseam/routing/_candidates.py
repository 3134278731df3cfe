"""Candidates of one target table, computed once for each table."""

from apricotseam.routing._subset import choose_subset


class Candidates:
    """Subsets of each pool of one table, by the layers that targets hold.

    Parameters
    ----------
    table : TargetTable
        The table in force.
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    """

    __slots__ = ("_host", "_pools", "_watched", "_zone", "table")

    def __init__(self, table, host, zone):
        self.table = table
        self._host = host
        self._zone = zone
        self._pools = {}
        self._watched = {}

    def watched(self, scope, group):
        """Return the targets whose reports this host should read.

        Suspect ones are among them: a report may show that they are up.
        """
        key = (scope, group)
        found = self._watched.get(key)
        if found is None:
            staying = [t for t in self.table.group(*key) if not t.leaving]
            found = self._watched[key] = self._subsets(staying)
        return found

    def pool(self, scope, group):
        """Return the targets of a pool that this host routes to."""
        key = (scope, group)
        found = self._pools.get(key)
        if found is None:
            found = [t for t in self.watched(*key) if not t.suspect]
            if not found:
                found = self._subsets(self.table.usable(*key))
            self._pools[key] = found
        return found

    def _subsets(self, targets):
        alike = {}
        for target in targets:
            key = (target.first, target.last)
            alike.setdefault(key, []).append(target)
        return [
            target
            for same in alike.values()
            for target in choose_subset(same, self._host, self._zone)
        ]
