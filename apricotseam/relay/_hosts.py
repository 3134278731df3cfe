"""Hosts that take requests of a host which is cut off from the targets."""

import collections
import random

import msgspec

from apricotseam.membership import MemberState

# Requests that a host of the own availability zone takes more than others:
# bytes between zones are dear, but few hosts must not carry all.
REMOTE_ZONE_REQUESTS = 8
# Time for which a host that declined, or failed, is not asked again.
AVOID_SECONDS = 1.0


class RelayHost(msgspec.Struct, frozen=True):
    """A host that requests may pass through.

    ``address`` is where it takes them, as ``ip:port``.
    """

    name: str
    address: str
    peers_address: str
    zone: str


class RelayHosts:
    """Chooses hosts for requests that this host can't send to targets.

    Parameters
    ----------
    hosts : Hosts
        The known hosts of the fleet.
    zone : str
        Availability zone of this host.
    list_silent_peers : callable
        Returns the peer addresses of hosts that may have failed.
    now : callable
        Returns monotonic time in seconds.
    generator : random.Random, optional
        Breaks ties.
    """

    def __init__(self, hosts, zone, list_silent_peers, now, generator=None):
        self._hosts = hosts
        self._zone = zone
        self._list_silent_peers = list_silent_peers
        self._now = now
        self._random = generator or random.Random()
        self._in_progress = collections.Counter()
        self._avoided_until = {}

    def choose(self, service, tried=()):
        """Return the `RelayHost` that should take a request, or None.

        Hosts of a zone are often cut off together, so that another zone is
        tried next.

        Parameters
        ----------
        service : str
            Name of the service that the request is for.
        tried : container of RelayHost
            Hosts that were asked before.
        """
        now = self._now()
        silent = self._list_silent_peers()
        tried_zones = {host.zone for host in tried}
        candidates = [
            host
            for host in self._able_hosts(service)
            if host not in tried
            and host.peers_address not in silent
            and self._avoided_until.get(host.address, 0.0) <= now
        ]
        return min(
            candidates,
            key=lambda host: (host.zone in tried_zones, *self._cost(host)),
            default=None,
        )

    def begin(self, host):
        """Record that a request passes through a host."""
        self._in_progress[host.address] += 1

    def end(self, host):
        """Record that a request no longer passes through a host."""
        self._in_progress[host.address] -= 1
        if not self._in_progress[host.address]:
            del self._in_progress[host.address]

    def avoid(self, host):
        """Record that a host did not take a request."""
        now = self._now()
        self._avoided_until = {
            address: until
            for address, until in self._avoided_until.items()
            if until > now
        }
        self._avoided_until[host.address] = now + AVOID_SECONDS

    def has_failed(self, host):
        """Return whether a host may have failed since it was chosen."""
        member = self._hosts.table.find(host.peers_address)
        is_gone = member is None or member.state is MemberState.DEAD
        return is_gone or host.peers_address in self._list_silent_peers()

    def is_known(self, ip):
        """Return whether a host of the fleet has an IP address."""
        return any(
            member.peers_address.rpartition(":")[0] == ip
            for member in self._hosts.table.present()
        )

    def _able_hosts(self, service):
        """Return the hosts that take requests and reach a service."""
        return [
            RelayHost(
                member.name,
                member.relay_address,
                member.peers_address,
                member.availability_zone,
            )
            for member in self._hosts.table.live()
            if member.relay_address
            and service not in member.lost_services
            and member.peers_address != self._hosts.own_address
        ]

    def _cost(self, host):
        distance = 0 if host.zone == self._zone else REMOTE_ZONE_REQUESTS
        load = self._in_progress[host.address] + distance
        return load, self._random.random()
