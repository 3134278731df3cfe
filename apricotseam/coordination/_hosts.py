"""Membership of the hosts and messages to the other hosts."""

import asyncio
import logging
import math
import random

from apricotseam.coordination._pushes import MAX_PUSHED_BYTES
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.membership import MESSAGE_TYPES

_LOG = logging.getLogger(__name__)

TICK_INTERVAL_SECONDS = 0.2
MS_PER_SECOND = 1000
# A host that started within this time counts as live if the store lists it.
RECENT_START_SECONDS = 10.0
# Larger fleets exchange loads and watch the store by availability zone.
MAX_SMALL_FLEET = 25
# Two, so that a message still reaches a zone of which one delegate has just
# failed.
DELEGATES_PER_ZONE = 2
# Time without further upgrades after which records are published again.
REPUBLISH_SECONDS = 5.0
# Time in which a delegate's link carries one message to all recipients.
PUSH_SECONDS = 0.5
BYTES_PER_MEGABIT = 1e6 / 8


def is_large_fleet(hosts):
    """Return whether a fleet is too large for all-to-all communication.

    In a large fleet, hosts send their load only within their own zone.

    Parameters
    ----------
    hosts : int
        Number of hosts, including this one.

    Examples
    --------
    >>> is_large_fleet(25), is_large_fleet(26)
    (False, True)
    """
    return hosts > MAX_SMALL_FLEET


class Hosts:
    """Runs the membership protocol of this host on the asyncio loop.

    Parameters
    ----------
    own : Member
        Membership record of this host.
    transport : PeerTransport
        Sends and receives messages between hosts.
    facts : callable
        Returns the `Facts` of this host.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, own, transport, facts, now):
        self._transport = transport
        self._facts = facts
        self._now = now
        self._membership = Membership(own, random.Random(), now())
        self._logged_states = {}
        # Addresses of delegates of the own zone whose reports are overdue.
        self.unheard_delegates = set()
        # Live hosts whose link is not known, and the time at which this host
        # publishes its own record again.
        self._without_link = set()
        self._republish_at = math.inf
        # Addresses that receive this host's load, and the live hosts of its
        # zone, each with the table that they were found in.
        self._recipients = (None, ())
        self._zone_members = (None, ())
        self.table = self._membership.snapshot()
        self._published_changes = self._membership.changes
        for message in MESSAGE_TYPES:
            transport.handle(message, self._receive)

    @property
    def transport(self):
        """Transport for messages to other hosts."""
        return self._transport

    @property
    def own_address(self):
        """Peer address of this host."""
        return self._membership.own.peers_address

    @property
    def partners(self):
        """Peer addresses of the hosts that this one keeps in contact with."""
        return self._membership.partners

    @property
    def load_recipients(self):
        """Peer addresses of the hosts that receive this host's load.

        In a small fleet these are all other hosts, in a large one those of
        the own availability zone.
        """
        table, recipients = self._recipients
        if table is not self.table:
            recipients = tuple(self._find_recipients())
            self._recipients = (self.table, recipients)
        return list(recipients)

    def _find_recipients(self):
        own = self._membership.own
        members = [
            m
            for m in self.table.present()
            if m.peers_address != own.peers_address
        ]
        if is_large_fleet(1 + len(members)):
            members = [
                m
                for m in members
                if m.availability_zone == own.availability_zone
            ]
        return [m.peers_address for m in members]

    @property
    def zone_delegates(self):
        """Peer addresses of the delegates of this host's availability zone.

        These are the first `DELEGATES_PER_ZONE` live hosts, in the order of
        `_first_of_zone`, whose reports are not overdue. A small fleet has no
        delegates.
        """
        if not self.is_large:
            return []
        table, members = self._zone_members
        if table is not self.table:
            zone = self._membership.own.availability_zone
            members = tuple(self._first_of_zone(zone))
            self._zone_members = (self.table, members)
        heard = [
            m for m in members if m.peers_address not in self.unheard_delegates
        ]
        return [m.peers_address for m in heard[:DELEGATES_PER_ZONE]]

    @property
    def is_contact(self):
        """Whether new hosts should find this one in the store.

        In a large fleet the delegates are enough.
        """
        return not self.is_large or self.own_address in self.zone_delegates

    @property
    def is_delegate(self):
        """Whether this host reports to other zones on behalf of its zone.

        The first of the zone's delegates does.
        """
        return self.zone_delegates[:1] == [self.own_address]

    @property
    def other_zone_delegates(self):
        """Peer addresses of the delegates of the other availability zones.

        These are the first `DELEGATES_PER_ZONE` live hosts of each.
        """
        own = self._membership.own.availability_zone
        zones = {m.availability_zone for m in self.table.live()} - {own}
        return [
            member.peers_address
            for zone in sorted(zones)
            for member in self._first_of_zone(zone, DELEGATES_PER_ZONE)
        ]

    def _first_of_zone(self, zone, count=None):
        """Return the first live hosts of a zone; all by default.

        Those with the fastest links come first, then those with the first
        names. Hosts of earlier versions state no link and go by names alone;
        as long as a zone has one, all do.
        """
        members = [m for m in self.table.live() if m.availability_zone == zone]
        members.sort(key=lambda m: m.name)
        if all(m.link_mbps for m in members):
            members.sort(key=lambda m: m.link_mbps, reverse=True)
        return members[:count]

    @property
    def is_large(self):
        """Whether the fleet of live hosts is large, see `is_large_fleet`."""
        return is_large_fleet(len(self.table.live()))

    @property
    def reads_store(self):
        """Whether this host should watch the store itself.

        In a small fleet all hosts do, in a large one the delegates of each
        availability zone. A host that is not in the table of live hosts
        does, too.
        """
        if not self.is_large or self.own_address in self.zone_delegates:
            return True
        return all(
            m.peers_address != self.own_address for m in self.table.live()
        )

    @property
    def max_pushed_bytes(self):
        """Limit on the compressed changes in a message of this host.

        The first delegate of a zone sends as much to each other host as its
        link carries in `PUSH_SECONDS`.
        """
        recipients = len(self.load_recipients)
        if not self.is_delegate or not recipients:
            return MAX_PUSHED_BYTES
        link_mbps = self._membership.own.link_mbps
        sent_bytes = PUSH_SECONDS * link_mbps * BYTES_PER_MEGABIT
        return max(MAX_PUSHED_BYTES, int(sent_bytes / recipients))

    def push(self, message):
        """Send a message to the hosts that receive this host's load."""
        self._transport.send_all(self.load_recipients, message)

    def set_seeds(self, addresses):
        """Set peer addresses at which other hosts may be found."""
        self._membership.set_seeds(addresses)

    def add_listed(self, records, wall_now_ms):
        """Add hosts that the store lists as just started.

        Hosts that start together all read the same list, so that they need
        not tell one another who is there. The record of a host that started
        long ago may have outlived it; such hosts are looked for as seeds, and
        so are those that state a start in the future.

        Parameters
        ----------
        records : dict of str to HostRecord
            Records in the store by name of the host.
        wall_now_ms : float
            Current time in milliseconds since the epoch.
        """
        recent_ms = RECENT_START_SECONDS * MS_PER_SECOND
        self._membership.add_listed(
            Member(
                name=name,
                peers_address=record.peers_address,
                callers_address=record.callers_address,
                operators_address="",
                availability_zone=record.zone,
                incarnation=record.started_ms,
                relay_address=record.relay_address,
                link_mbps=record.link_mbps,
            )
            for name, record in records.items()
            if abs(wall_now_ms - record.started_ms) <= recent_ms
        )
        self._publish()

    def announce_leaving(self):
        """Tell the others that this host is leaving."""
        self._send(self._membership.announce_leaving())
        self._publish()

    def announce_reach(self, lost_services):
        """Tell the others of which services this host reaches no target."""
        self._send(self._membership.announce_reach(lost_services))
        self._publish()

    def rank(self):
        """Return the index of this host among the live ones, by name."""
        names = sorted(member.name for member in self.table.live())
        own = self._membership.own.name
        return names.index(own) if own in names else len(names)

    async def run(self):
        """Run the membership protocol (probes and gossip) until cancelled."""
        while True:
            self._membership.set_facts(self._facts())
            self._republish_if_due()
            self._send(self._membership.tick(self._now()))
            self._publish()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    def _republish_if_due(self):
        """Publish the own record again after hosts were upgraded.

        Hosts of earlier versions pass records on without the fields that
        they do not know, such as the link.
        """
        now = self._now()
        without_link = {
            m.peers_address for m in self.table.live() if not m.link_mbps
        }
        if self._without_link - without_link:
            self._republish_at = now + REPUBLISH_SECONDS
        self._without_link = without_link
        if self._membership.own.link_mbps and now >= self._republish_at:
            self._republish_at = math.inf
            self._membership.republish()

    def choose_peers(self, count, readers_first=False, must_pack=False):
        """Return the peer addresses of some other hosts, chosen at random.

        Parameters
        ----------
        count : int
            Number of hosts.
        readers_first : bool
            Whether one of them should be a delegate of this host's zone,
            which reads the store.
        must_pack : bool
            Whether to leave hosts out that may compress no answers. Those of
            earlier versions state no link.

        Returns
        -------
        list of str
        """
        own = self.table.own_address
        addresses = [
            m.peers_address
            for m in self.table.present()
            if m.peers_address != own and (m.link_mbps or not must_pack)
        ]
        chosen = []
        if readers_first:
            readers = set(self.zone_delegates) - {own}
            chosen = random.sample(sorted(readers), min(1, len(readers)))
            addresses = [a for a in addresses if a not in chosen]
        rest = min(count - len(chosen), len(addresses))
        return chosen + random.sample(addresses, rest)

    def _receive(self, sender, message):
        now = self._now()
        self._send(self._membership.receive(sender, message, now))
        self._publish()

    def _send(self, messages):
        for address, message in messages:
            self._transport.send(address, message)

    def _publish(self):
        if self._membership.changes == self._published_changes:
            return
        self._published_changes = self._membership.changes
        self.table = self._membership.snapshot()
        self._log_states()

    def _log_states(self):
        states = {m.peers_address: m.state for m in self.table.all}
        for address, state in states.items():
            if self._logged_states.get(address) is not state:
                _LOG.info(
                    "host_state", extra={"peer": address, "state": state.value}
                )
        self._logged_states = states
