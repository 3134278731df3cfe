"""Immutable snapshots that the control path replaces as a whole."""

import random

from apricotseam.external import LEAVING
from apricotseam.membership import MemberTable
from apricotseam.membership import order_addresses
from apricotseam.operators import HostStatus
from apricotseam.routing import TargetTable

# Number of entry hosts assumed before the host list is first known.
ASSUMED_ENTRY_HOSTS = 8


class Snapshots:
    """State that the request path reads without a lock.

    Each attribute refers to an immutable object and is replaced by one
    assignment.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    """

    __slots__ = (
        "_random",
        "_settings",
        "configuration",
        "is_isolated",
        "listed_hosts",
        "members",
        "targets",
    )

    def __init__(self, settings):
        self._settings = settings
        self.configuration = None
        self.is_isolated = False
        self.listed_hosts = {}
        self.members = MemberTable()
        self._random = random.Random()
        self.targets = TargetTable()

    def callers_addresses(self):
        """Return the addresses of entry hosts for callers, best first."""
        settings = self._settings
        leaving = {
            host.address
            for host in self.listed_hosts.values()
            if host.state == LEAVING
        }
        members = [
            member
            for member in self.members.live()
            if member.callers_address not in leaving
        ]
        addresses = order_addresses(
            members, settings.availability_zone, self._random
        )
        return addresses or [settings.callers_address]

    def count_entry_hosts(self):
        """Return the number of live entry hosts, at least 1."""
        return max(1, len(self.members.live()))

    def live_peers(self):
        """Return the peer addresses of live entry hosts."""
        return [member.peers_address for member in self.members.live()]

    def count_fleet(self):
        """Return the number of entry hosts, including unreachable ones."""
        count = sum(
            host.role == "entry" for host in self.listed_hosts.values()
        )
        if not self.listed_hosts:
            count = ASSUMED_ENTRY_HOSTS
        return max(count, len(self.members.live()), 1)

    def max_batch(self, address):
        """Return how many steps a target runs at once, 0 if unknown."""
        target = self.targets.find(address)
        return target.max_batch if target is not None else 0

    def host_statuses(self):
        """Return the `HostStatus` of each known entry host."""
        own = self._settings.peers_address
        revision = self.configuration.revision if self.configuration else 0
        return [
            HostStatus(
                name=member.name,
                address=member.callers_address,
                availability_zone=member.availability_zone,
                state=member.state.value,
                peers_address=member.peers_address,
                revision=(
                    revision
                    if member.peers_address == own
                    else member.revision
                ),
            )
            for member in self.members.all
        ]
