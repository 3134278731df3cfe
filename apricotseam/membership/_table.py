"""Mutable table of member records with the rules of precedence."""

import bisect

import msgspec

from apricotseam.membership._member import Health
from apricotseam.membership._member import MemberTable
from apricotseam.membership._ring import choose_partners
from apricotseam.membership._ring import ring_position
from apricotseam.membership._updates import UpdateQueue

MAX_MEMBERS = 8192
MAX_DEAD_MEMBERS = 512
DEAD_MEMORY_SECONDS = 900.0
MAX_RECORDS_A_MESSAGE = 24


class Records:
    """Newest record of each address, and what is to be passed on.

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
        self.changes = 0

    @property
    def dead(self):
        """Addresses of dead members that are still remembered."""
        return list(self._dead)

    @property
    def pending_updates(self):
        """Number of records that are still to be passed on."""
        return len(self._updates)

    def get(self, address):
        """Return the record of an address, or None."""
        return self._by_address.get(address)

    def snapshot(self):
        """Return the `MemberTable` of this moment."""
        return MemberTable(self._by_address.values(), self.own.peers_address)

    def publish(self, **facts):
        """Change this host's own record and pass it on."""
        facts.setdefault("sequence", self.own.sequence + 1)
        self.own = msgspec.structs.replace(self.own, **facts)
        self._store(self.own, None)

    def merge(self, record, now):
        """Take a record if it is newer; return whether it was."""
        if record.peers_address == self.own.peers_address:
            return self._defend(record)
        known = self._by_address.get(record.peers_address)
        if not record.supersedes(known):
            return False
        if known is None and not self._has_room(record):
            return False
        self._store(record, now)
        return True

    def observe(self, address, health, now):
        """Note what this host observed of a member."""
        known = self._by_address.get(address)
        if known is not None and known.health < health:
            self._store(msgspec.structs.replace(known, health=health), now)

    def expire(self, now, suspicion_seconds):
        """Declare members dead whose suspicion was not refuted in time."""
        for address, since in list(self._suspected.items()):
            if now >= since + suspicion_seconds:
                self.observe(address, int(Health.DEAD), now)
        for address, since in list(self._dead.items()):
            if now < since + DEAD_MEMORY_SECONDS:
                break
            self._forget(address)

    def postpone(self, seconds):
        """Give suspects more time, after this host itself stood still."""
        for address in self._suspected:
            self._suspected[address] += seconds

    def take_updates(self):
        """Return the records to put into the next message."""
        found = []
        for address in self._updates.take(MAX_RECORDS_A_MESSAGE):
            record = self._by_address.get(address)
            if record is not None:
                found.append(record)
        return found

    def partners(self):
        """Return addresses of the present members to keep contact with."""
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
        """Return records past an address and the last address covered."""
        addresses = sorted(self._by_address)
        start = bisect.bisect_right(addresses, after)
        chosen = addresses[start : start + count]
        is_end = start + count >= len(addresses)
        last = "" if is_end or not chosen else chosen[-1]
        return [self._by_address[address] for address in chosen], last

    def compare(self, sync, count):
        """Return newer records than a peer's, and what it has newer."""
        theirs = {key.address: key for key in sync.keys}
        records = []
        for address in sorted(self._by_address):
            if address <= sync.after or (sync.last and address > sync.last):
                continue
            record = self._by_address[address]
            key = theirs.get(address)
            if key is None or record.order > key.order:
                records.append(record)
        wanted = [
            address
            for address, key in theirs.items()
            if address not in self._by_address
            or key.order > self._by_address[address].order
        ]
        return records[:count], wanted[:count]

    def _defend(self, record):
        own = self.own
        if record.incarnation > own.incarnation:
            self.publish(incarnation=record.incarnation + 1)
            return True
        if record.order > own.order:
            self.publish(sequence=record.sequence + 1)
            return True
        return False

    def _has_room(self, record):
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
        is_state = known is None or known.state is not record.state
        is_state = is_state or known.incarnation != record.incarnation
        self._updates.add(address, len(self._by_address), is_state)
        self._suspected.pop(address, None)
        self._dead.pop(address, None)
        if record.health == Health.SUSPECT:
            self._suspected[address] = now
        elif record.health == Health.DEAD:
            self._dead[address] = now
            self._forget_oldest()

    def _forget_oldest(self):
        if len(self._dead) > MAX_DEAD_MEMBERS:
            self._forget(next(iter(self._dead)))

    def _forget(self, address):
        del self._dead[address]
        del self._by_address[address]
        self.changes += 1
