"""Mutable table of member records with their precedence rules."""

import bisect
import hashlib
import math

import msgspec

from apricotseam.membership._member import Health
from apricotseam.membership._member import MemberTable
from apricotseam.membership._ring import choose_partners
from apricotseam.membership._ring import ring_position
from apricotseam.membership._updates import UpdateQueue

MAX_MEMBERS = 8192
MAX_DEAD_MEMBERS = 512
# For this time a dead member is probed now and then, so that a partition can
# heal without seeds.
DEAD_RETENTION_SECONDS = 900.0
MAX_RECORDS_PER_MESSAGE = 24
# Time to refute a suspicion, for up to ten members; it grows with the
# logarithm of their number, as the hops of a refutation do.
SUSPICION_SECONDS = 3.0
# Members that only heard of a suspicion wait longer, so that they hear of its
# refutation or of the death from those that watch the suspect.
HEARSAY_FACTOR = 2.0
DIGEST_BYTES = 16
# Largest incarnation and sequence; those of messages have 64 bits.
MAX_VERSION = 1 << 63


class RecordTable:
    """Newest record of each member, and the updates to disseminate.

    Parameters
    ----------
    own : Member
        Record of this host.
    """

    def __init__(self, own):
        self.own = own
        self._by_address = {own.peers_address: own}
        self._updates = UpdateQueue()
        self._suspected = {}
        self._dead = {}
        self._ring = None
        # Digest of the table, and the number of changes when it was computed.
        self._digest = b""
        self._digest_changes = -1
        self.changes = 0

    @property
    def dead(self):
        """Addresses of dead members whose records are retained."""
        return list(self._dead)

    @property
    def size(self):
        """Number of members, dead ones included."""
        return len(self._by_address)

    @property
    def suspicion_seconds(self):
        """Time for a member to refute the suspicion of this host."""
        return SUSPICION_SECONDS * max(1.0, math.log10(self.size))

    @property
    def pending_updates(self):
        """Number of records that are still to be sent to others."""
        return len(self._updates)

    def get(self, address):
        """Return the record of an address, or None."""
        return self._by_address.get(address)

    def snapshot(self):
        """Return the current members as a `MemberTable`."""
        return MemberTable(self._by_address.values(), self.own.peers_address)

    def digest(self):
        """Return a digest of the versions of all records.

        Two tables with the same records have the same digest.
        """
        if self._digest_changes != self.changes:
            keys = sorted(
                (address, *record.order)
                for address, record in self._by_address.items()
            )
            encoded = msgspec.msgpack.encode(keys)
            self._digest = hashlib.blake2b(
                encoded, digest_size=DIGEST_BYTES
            ).digest()
            self._digest_changes = self.changes
        return self._digest

    def publish(self, **fields):
        """Change fields of this host's own record and disseminate it."""
        fields.setdefault("sequence", self.own.sequence + 1)
        self.own = msgspec.structs.replace(self.own, **fields)
        self._store(self.own, None)

    def merge(self, record, now):
        """Merge a received record.

        A record of this host that is newer than its own one, for example
        because a peer suspects this host, is refuted: the host publishes
        its own record again with a higher version. A record of a version
        above `MAX_VERSION` is ignored, as no message could hold the one that
        refutes it.

        Returns
        -------
        bool
            Whether the table changed.
        """
        if max(record.incarnation, record.sequence) > MAX_VERSION:
            return False
        if record.peers_address == self.own.peers_address:
            return self._refute(record)
        known = self._by_address.get(record.peers_address)
        if not record.supersedes(known):
            return False
        if known is None and not self._has_capacity(record):
            return False
        self._store(record, now)
        return True

    def add_listed(self, record):
        """Add the record of a member that all hosts learn of by themselves.

        Unlike a merged record it is not sent on to other members. A record
        of a known address is ignored.
        """
        address = record.peers_address
        if address in self._by_address or not self._has_capacity(record):
            return
        self._by_address[address] = record
        self._ring = None
        self.changes += 1

    def observe(self, address, health, now):
        """Record the health of a member as observed by this host.

        A health that is not worse than the known one is ignored.
        """
        known = self._by_address.get(address)
        if known is None or known.health >= health:
            return
        self._store(msgspec.structs.replace(known, health=health), now)
        if health == Health.SUSPECT:
            self._suspected[address] = now + self.suspicion_seconds

    def expire(self, now):
        """Declare overdue suspects dead and remove old dead members.

        A suspect is declared dead if the suspicion was not refuted by its
        deadline. A dead member is removed after `DEAD_RETENTION_SECONDS`.
        """
        for address, deadline in list(self._suspected.items()):
            if now >= deadline:
                self.observe(address, int(Health.DEAD), now)
        for address, since in list(self._dead.items()):
            if now < since + DEAD_RETENTION_SECONDS:
                break
            self._remove(address)

    def extend_suspicions(self, seconds):
        """Extend the time to refute suspicions by a number of seconds.

        Called after a pause of this process, in which it could not have
        received a refutation.
        """
        for address in self._suspected:
            self._suspected[address] += seconds

    def take_updates(self):
        """Return the changed records to include in the next message."""
        found = []
        for address in self._updates.take(MAX_RECORDS_PER_MESSAGE):
            record = self._by_address.get(address)
            if record is not None:
                found.append(record)
        return found

    def partners(self):
        """Return the addresses of the members to probe and sync with."""
        if self._ring is None:
            present = (
                m.peers_address
                for m in self._by_address.values()
                if m.health != Health.DEAD
            )
            self._ring = sorted(present, key=ring_position)
        own = self._ring.index(self.own.peers_address)
        chosen = choose_partners(len(self._ring), own)
        return [self._ring[index] for index in chosen]

    def page(self, after, count):
        """Return a page of the records, in order of address.

        Parameters
        ----------
        after : str
            Address that precedes the page.
        count : int
            Maximum number of records.

        Returns
        -------
        records : list of Member
        last : str
            Last address of the page, or empty at the end of the table.
        """
        addresses = sorted(self._by_address)
        start = bisect.bisect_right(addresses, after)
        chosen = addresses[start : start + count]
        is_end = start + count >= len(addresses)
        last = "" if is_end or not chosen else chosen[-1]
        return [self._by_address[address] for address in chosen], last

    def compare(self, sync, count):
        """Compare a peer's `Sync` with this table.

        Parameters
        ----------
        sync : Sync
            Record keys of the peer.
        count : int
            Maximum length of each list.

        Returns
        -------
        records : list of Member
            Records that the peer lacks or has in an older version.
        wanted : list of str
            Addresses of which the peer has a newer record.
        """
        peer_keys = {key.address: key for key in sync.keys}
        records = []
        for address in sorted(self._by_address):
            if address <= sync.after or (sync.last and address > sync.last):
                continue
            record = self._by_address[address]
            key = peer_keys.get(address)
            if key is None or record.order > key.order:
                records.append(record)
        wanted = [
            address
            for address, key in peer_keys.items()
            if address not in self._by_address
            or key.order > self._by_address[address].order
        ]
        return records[:count], wanted[:count]

    def _refute(self, record):
        own = self.own
        if record.incarnation > own.incarnation:
            self.publish(incarnation=record.incarnation + 1)
            return True
        if record.order > own.order:
            self.publish(sequence=record.sequence + 1)
            return True
        return False

    def _has_capacity(self, record):
        if record.health == Health.DEAD:
            return len(self._dead) < MAX_DEAD_MEMBERS
        return len(self._by_address) < MAX_MEMBERS

    def _store(self, record, now):
        address = record.peers_address
        known = self._by_address.get(address)
        self._by_address[address] = record
        self.changes += 1
        was_dead = known is None or known.health == Health.DEAD
        if was_dead != (record.health == Health.DEAD):
            self._ring = None
        # Comparisons of tables recover lost records of new members.
        is_state_change = known is not None and (
            known.state is not record.state
            or known.lost_services != record.lost_services
            or known.incarnation != record.incarnation
        )
        self._updates.add(address, len(self._by_address), is_state_change)
        self._suspected.pop(address, None)
        self._dead.pop(address, None)
        if record.health == Health.SUSPECT:
            self._suspected[address] = (
                now + HEARSAY_FACTOR * self.suspicion_seconds
            )
        elif record.health == Health.DEAD:
            self._dead[address] = now
            self._evict_oldest_dead()

    def _evict_oldest_dead(self):
        if len(self._dead) > MAX_DEAD_MEMBERS:
            self._remove(next(iter(self._dead)))

    def _remove(self, address):
        del self._dead[address]
        del self._by_address[address]
        self.changes += 1
