"""Subsets of a target table's pools that this host routes to.

A pool is the targets of one group of a scope.
"""

from apricotseam.routing._subset import choose_subset


class Candidates:
    """Computes and caches the subsets of each pool of one target table.

    A subset is chosen for each range of layers that targets of the pool
    hold.

    Parameters
    ----------
    table : TargetTable
        The current table.
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

        Suspect targets are included, since a report may show that they
        are up.
        """
        key = (scope, group)
        cached = self._watched.get(key)
        if cached is None:
            remaining = [t for t in self.table.group(*key) if not t.leaving]
            cached = self._watched[key] = self._subsets(remaining)
        return cached

    def pool(self, scope, group):
        """Return the targets of a pool that this host routes to.

        If every target of this host's subsets is suspect or leaving, the
        subsets are taken from the usable targets instead.
        """
        key = (scope, group)
        cached = self._pools.get(key)
        if cached is None:
            cached = [t for t in self.watched(*key) if not t.suspect]
            if not cached:
                cached = self._subsets(self.table.usable(*key))
            self._pools[key] = cached
        return cached

    def _subsets(self, targets):
        by_range = {}
        for target in targets:
            key = (target.first, target.last)
            by_range.setdefault(key, []).append(target)
        return [
            target
            for same_range in by_range.values()
            for target in choose_subset(same_range, self._host, self._zone)
        ]
