"""The other hosts: who is there, and messages to them."""

import asyncio
import logging
import random

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import ChangesRequest
from apricotseam.membership import Membership
from apricotseam.membership import MESSAGE_TYPES
from apricotseam.peers import PeerAnswerLostError
from apricotseam.peers import PeerUnreachableError

_LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.2
ASK_SECONDS = 0.5
MAX_SMALL_FLEET = 25
READERS_A_ZONE = 2
DELEGATES_A_ZONE = 2


def is_large_fleet(hosts):
    """Return whether hosts tell their load to their own zone only.

    Parameters
    ----------
    hosts : int
        Number of hosts, with the one that asks.

    Examples
    --------
    >>> is_large_fleet(25), is_large_fleet(26)
    (False, True)
    """
    return hosts > MAX_SMALL_FLEET


class Hosts:
    """Membership of this host, driven on the running loop.

    Parameters
    ----------
    own : Member
        Record of this host.
    transport : PeerTransport
        Messages between hosts.
    facts : callable
        Returns the `Facts` of this host.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, own, transport, facts, now):
        self._transport = transport
        self._facts = facts
        self._now = now
        self._membership = Membership(own, random.Random(), now())
        self._states = {}
        self.table = self._membership.snapshot()
        self._published = self._membership.changes
        for message in MESSAGE_TYPES:
            transport.handle(message, self._receive)

    @property
    def transport(self):
        """Messages to other hosts."""
        return self._transport

    @property
    def partners(self):
        """Peers' addresses of the hosts that this one keeps contact with."""
        return self._membership.partners

    @property
    def audience(self):
        """Peers' addresses of the hosts that should know this one's load.

        In a small fleet these are all, in a large one those of the own
        availability zone.
        """
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
    def is_delegate(self):
        """Whether this host speaks for its availability zone.

        In a large fleet the first live one by name does; in a small one
        nobody has to.
        """
        if not self.is_large:
            return False
        own = self._membership.own
        return self._first_of_zone(own.availability_zone) == [own]

    @property
    def foreign_delegates(self):
        """Peers' addresses of those that speak for the other zones.

        Two of each, so that one that has just ended is no loss.
        """
        own = self._membership.own.availability_zone
        zones = {m.availability_zone for m in self.table.live()} - {own}
        return [
            member.peers_address
            for zone in sorted(zones)
            for member in self._first_of_zone(zone, DELEGATES_A_ZONE)
        ]

    def _first_of_zone(self, zone, count=1):
        members = [m for m in self.table.live() if m.availability_zone == zone]
        return sorted(members, key=lambda m: m.name)[:count]

    @property
    def is_large(self):
        """Whether the fleet is too large for each host to read the store."""
        return is_large_fleet(len(self.table.live()))

    @property
    def reads_store(self):
        """Whether this host should follow the store itself.

        In a small fleet all do, in a large one the first few of each
        availability zone by name.
        """
        if not self.is_large:
            return True
        own = self._membership.own
        zone = own.availability_zone
        first = [m.name for m in self._first_of_zone(zone, READERS_A_ZONE)]
        if own.name in first:
            return True
        return own.name not in [m.name for m in self.table.live()]

    def push(self, message):
        """Send a message to the other hosts of the availability zone."""
        self._transport.send_all(self.audience, message)

    def set_seeds(self, addresses):
        """Take addresses at which hosts may be found."""
        self._membership.set_seeds(addresses)

    def announce_leaving(self):
        """Tell the others that this host is leaving."""
        self._send(self._membership.announce_leaving())
        self._publish()

    def rank(self):
        """Return this host's place among the live ones, by name."""
        names = sorted(member.name for member in self.table.live())
        own = self._membership.own.name
        return names.index(own) if own in names else len(names)

    async def run(self):
        """Probe and gossip for ever."""
        while True:
            self._membership.set_facts(self._facts())
            self._send(self._membership.tick(self._now()))
            self._publish()
            await asyncio.sleep(TICK_SECONDS)

    async def ask_changes(self, revision, count):
        """Ask some live hosts for what changed in the store.

        Parameters
        ----------
        revision : int
            Revision that this host knows.
        count : int
            Number of hosts to ask.

        Returns
        -------
        list of Changes
        """
        own = self.table.own_address
        addresses = [
            m.peers_address
            for m in self.table.present()
            if m.peers_address != own
        ]
        chosen = random.sample(addresses, min(count, len(addresses)))
        asked = [self._ask(a, ChangesRequest(revision)) for a in chosen]
        answers = await asyncio.gather(*asked)
        return [a for a in answers if isinstance(a, Changes)]

    async def _ask(self, address, record):
        try:
            return await self._transport.ask_async(
                address, record, ASK_SECONDS
            )
        except (PeerAnswerLostError, PeerUnreachableError) as error:
            _LOG.debug("peer_silent", extra={"error": str(error)})
            return None

    def _receive(self, sender, message):
        now = self._now()
        self._send(self._membership.receive(sender, message, now))
        self._publish()

    def _send(self, pairs):
        for address, message in pairs:
            self._transport.send(address, message)

    def _publish(self):
        if self._membership.changes == self._published:
            return
        self._published = self._membership.changes
        self.table = self._membership.snapshot()
        self._log_states()

    def _log_states(self):
        states = {m.peers_address: m.state for m in self.table.all}
        for address, state in states.items():
            if self._states.get(address) is not state:
                _LOG.info(
                    "host_state", extra={"peer": address, "state": state.value}
                )
        self._states = states
