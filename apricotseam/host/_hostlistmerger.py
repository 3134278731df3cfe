"""Merges successive reads of the host list."""

import msgspec

from apricotseam.external import LEAVING
from apricotseam.external import LIVE

# A host is removed once reads have not shown it for this long.
MAX_ABSENCE_SECONDS = 10.0
# A host read as leaving keeps this state for this long at the same address.
LEAVING_HOLD_SECONDS = 30.0


class HostListMerger:
    """Merges successive reads of the host list.

    The list lags behind and a single read may be stale. A host that is
    missing from a read is therefore kept for ``MAX_ABSENCE_SECONDS``, and one
    that was read as leaving stays so for ``LEAVING_HOLD_SECONDS``.

    Examples
    --------
    >>> merger = HostListMerger()
    >>> merger.update([], 0.0)
    []
    """

    def __init__(self):
        self._hosts = {}
        self._seen_at = {}
        # Address, and monotonic time of the last read as leaving, by name.
        self._leaving = {}

    def update(self, hosts, now):
        """Merge one read of the list and return the resulting hosts.

        Parameters
        ----------
        hosts : list of ListedHost
            Hosts of the read.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ListedHost
            Sorted by name.
        """
        for host in hosts:
            self._hosts[host.name] = self._apply_hold(host, now)
            self._seen_at[host.name] = now
        for name in list(self._hosts):
            if now >= self._seen_at[name] + MAX_ABSENCE_SECONDS:
                del self._hosts[name]
                del self._seen_at[name]
                self._leaving.pop(name, None)
        return [self._hosts[name] for name in sorted(self._hosts)]

    def adopt(self, hosts, now):
        """Add hosts of a peer's list that are not known here yet.

        Hosts that the peer lists as leaving are noted as such.
        """
        for host in hosts:
            if host.name not in self._hosts:
                self._hosts[host.name] = host
                self._seen_at[host.name] = now
            if host.state == LEAVING:
                self._leaving.setdefault(host.name, (host.address, now))

    def _apply_hold(self, host, now):
        if host.state == LEAVING:
            self._leaving[host.name] = (host.address, now)
            return host
        address, leaving_at = self._leaving.get(host.name, (None, 0.0))
        is_on_hold = now < leaving_at + LEAVING_HOLD_SECONDS
        if host.state == LIVE and address == host.address and is_on_hold:
            return msgspec.structs.replace(host, state=LEAVING)
        self._leaving.pop(host.name, None)
        return host
