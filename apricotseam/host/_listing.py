"""Rules for taking over readings of the host list."""

import msgspec

from apricotseam.external import LEAVING
from apricotseam.external import LIVE

ABSENCE_SECONDS = 10.0
LEAVING_HOLD_SECONDS = 30.0


class Listing:
    """Hosts of the list over several readings.

    The list lags and a reading may be stale: a host that one reading does
    not show is kept for a while, and one that was shown as leaving stays
    so for a while.

    Examples
    --------
    >>> listing = Listing()
    >>> listing.update([], 0.0)
    []
    """

    def __init__(self):
        self._hosts = {}
        self._seen = {}
        self._leaving = {}

    def update(self, hosts, now):
        """Take one reading and return the hosts that hold after it.

        Parameters
        ----------
        hosts : list of ListedHost
            The reading.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of ListedHost
            In order of names.
        """
        for host in hosts:
            self._hosts[host.name] = self._held(host, now)
            self._seen[host.name] = now
        for name in list(self._hosts):
            if now >= self._seen[name] + ABSENCE_SECONDS:
                del self._hosts[name]
                del self._seen[name]
                self._leaving.pop(name, None)
        return [self._hosts[name] for name in sorted(self._hosts)]

    def adopt(self, hosts, now):
        """Take what a peer spread, where it is not known better here."""
        for host in hosts:
            if host.name not in self._hosts:
                self._hosts[host.name] = host
                self._seen[host.name] = now
            if host.state == LEAVING:
                self._leaving.setdefault(host.name, (host.address, now))

    def _held(self, host, now):
        if host.state == LEAVING:
            self._leaving[host.name] = (host.address, now)
            return host
        address, since = self._leaving.get(host.name, (None, 0.0))
        is_held = now < since + LEAVING_HOLD_SECONDS
        if host.state == LIVE and address == host.address and is_held:
            return msgspec.structs.replace(host, state=LEAVING)
        self._leaving.pop(host.name, None)
        return host
