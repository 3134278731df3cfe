"""Immutable snapshots that the control path swaps as a whole."""

from apricotseam.operators import HostStatus
from apricotseam.platform import LIVE
from apricotseam.routing import TargetTable


class Snapshots:
    """What the request path reads without a lock.

    Each attribute refers to an immutable object and is replaced by one
    assignment.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    """

    __slots__ = ("_settings", "configuration", "listed", "targets")

    def __init__(self, settings):
        self._settings = settings
        self.configuration = None
        self.listed = {}
        self.targets = TargetTable()

    def callers_addresses(self):
        """Return the callers' addresses of entry hosts, nearest first."""
        zone = self._settings.availability_zone
        own = self._settings.callers_address
        hosts = self._live_hosts()
        hosts.sort(key=lambda h: (h.availability_zone != zone, h.address))
        addresses = [host.address for host in hosts]
        return addresses or [own]

    def count_entry_hosts(self):
        """Return the number of live entry hosts, at least 1."""
        return max(1, len(self._live_hosts()))

    def host_statuses(self):
        """Return the `HostStatus` of each known entry host."""
        revision = self.configuration.revision if self.configuration else 0
        return [
            HostStatus(
                name=self._settings.host,
                address=self._settings.callers_address,
                availability_zone=self._settings.availability_zone,
                state=LIVE,
                revision=revision,
            )
        ]

    def _live_hosts(self):
        return [
            host
            for host in self.listed.values()
            if host.role == "entry" and host.state == LIVE
        ]
