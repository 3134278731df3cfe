"""Membership protocol of one host: probes, suspicion and gossip.

A pure class: it takes times and messages and returns the messages to
send. See docs/design/membership.md for the ways considered.
"""

from apricotseam.membership._member import Health
from apricotseam.membership._messages import Ack
from apricotseam.membership._messages import Ping
from apricotseam.membership._messages import PingRequest
from apricotseam.membership._messages import RecordKey
from apricotseam.membership._messages import Sync
from apricotseam.membership._messages import SyncAnswer
from apricotseam.membership._messages import TablePage
from apricotseam.membership._messages import TableRequest
from apricotseam.membership._table import Records

TICK_SECONDS = 0.2
ACK_TIMEOUT_SECONDS = 0.6
INDIRECT_TIMEOUT_SECONDS = 0.8
SUSPICION_SECONDS = 3.0
PAUSE_SECONDS = 1.0
SYNC_PERIOD_SECONDS = 2.0
REVIVE_PERIOD_SECONDS = 3.0
LOAD_PERIOD_SECONDS = 1.0
MEMBERS_A_FACT_SECOND = 10
INDIRECT_PROBES = 2
MAX_SEEDS = 64
MAX_SYNC_RECORDS = 64
MAX_RELAYED_PROBES = 64


class _Probe:
    """A probe that waits for its acknowledgement."""

    __slots__ = ("address", "deadline", "is_indirect")

    def __init__(self, address, deadline):
        self.address = address
        self.deadline = deadline
        self.is_indirect = False


class Membership:
    """State of the protocol on one host.

    Parameters
    ----------
    own : Member
        First record of this host.
    generator : random.Random
        Source of random numbers.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, own, generator, now):
        self._records = Records(own)
        self._random = generator
        self._seeds = []
        self._probes = {}
        self._relayed = {}
        self._number = 0
        self._turn = 0
        self._sync_cursor = ""
        self._last_tick = now
        self._next_sync = now
        self._next_revive = now
        self._next_fact = now
        self._revision = own.revision
        self._load = own.load
        self._listed = 0
        self._last_heard = None

    @property
    def own(self):
        """Record of this host."""
        return self._records.own

    @property
    def changes(self):
        """Number that grows with each change of the table."""
        return self._records.changes

    @property
    def last_heard(self):
        """Time at which a message of any peer came in, or None."""
        return self._last_heard

    @property
    def partners(self):
        """Addresses of the members that this host keeps contact with."""
        return self._records.partners()

    def snapshot(self):
        """Return the `MemberTable` of this moment."""
        return self._records.snapshot()

    def set_seeds(self, addresses):
        """Take peers' addresses of the host list.

        A seed is only an address to try: neither its presence nor its
        absence says anything about a member.
        """
        own = self.own.peers_address
        others = [address for address in addresses if address != own]
        if len(others) > MAX_SEEDS:
            others = self._random.sample(others, MAX_SEEDS)
        self._seeds = others

    def set_facts(self, facts):
        """Take the `Facts` of this host.

        They are published at a rate that falls as the membership grows,
        so that all such facts together stay within a fixed rate.
        """
        self._revision = max(self._revision, facts.revision)
        self._listed = max(self._listed, facts.listed)
        self._load = facts.load

    def announce_leaving(self):
        """Publish that this host is leaving; return the messages."""
        if not self.own.is_leaving:
            self._records.publish(is_leaving=True)
        return [
            self._ping(address, self._last_tick) for address in self.partners
        ]

    def tick(self, now):
        """Do what is due and return ``(address, message)`` pairs."""
        stalled = now - self._last_tick
        self._last_tick = now
        if stalled > PAUSE_SECONDS:
            self._probes.clear()
            self._records.postpone(stalled)
        self._publish_facts(now)
        sent = self._check_probes(now)
        self._records.expire(now, SUSPICION_SECONDS)
        sent.extend(self._probe_next(now))
        sent.extend(self._sync(now))
        sent.extend(self._revive(now))
        return sent

    def receive(self, sender, message, now):
        """Take a message and return ``(address, message)`` pairs."""
        self._last_heard = now
        if isinstance(message, Ping):
            return self._acknowledge(sender, message, now)
        if isinstance(message, Ack):
            return self._take_ack(message, now)
        if isinstance(message, PingRequest):
            return self._relay(sender, message, now)
        if isinstance(message, Sync):
            return self._compare(sender, message)
        if isinstance(message, SyncAnswer):
            return self._take_sync_answer(sender, message, now)
        if isinstance(message, TableRequest):
            return self._answer_page(sender, message)
        self._merge(message.records, now)
        if isinstance(message, TablePage) and message.last > message.after:
            return [(sender, TableRequest(message.last))]
        return []

    def _merge(self, records, now):
        for record in records:
            self._records.merge(record, now)

    def _acknowledge(self, sender, message, now):
        before = self.own
        self._merge(message.records, now)
        records = self._records.take_updates()
        known = self._records.get(sender)
        if known is None or known.health != Health.ALIVE:
            records.append(self.own)
        elif self.own is not before:
            records.append(self.own)
        if known is not None and known.health != Health.ALIVE:
            records.append(known)
        return [
            (
                sender,
                Ack(message.number, self._revision, self._listed, records),
            )
        ]

    def _take_ack(self, message, now):
        relayed = self._relayed.pop(message.number, None)
        if relayed is not None:
            self._merge(message.records, now)
            asker, number, _ = relayed
            return [(asker, Ack(number, self._revision, self._listed, []))]
        probe = self._probes.pop(message.number, None)
        known = self._records.get(probe.address) if probe else None
        self._merge(message.records, now)
        if probe is None:
            return []
        if known is None or known.health == Health.DEAD:
            return [(probe.address, TableRequest(""))]
        return []

    def _relay(self, sender, message, now):
        if len(self._relayed) >= MAX_RELAYED_PROBES:
            return []
        self._number += 1
        deadline = now + INDIRECT_TIMEOUT_SECONDS
        self._relayed[self._number] = (sender, message.number, deadline)
        return [
            (
                message.address,
                Ping(self._number, self._revision, self._listed, []),
            )
        ]

    def _compare(self, sender, message):
        records, wanted = self._records.compare(message, MAX_SYNC_RECORDS)
        if not records and not wanted:
            return []
        return [(sender, SyncAnswer(records, wanted))]

    def _take_sync_answer(self, sender, message, now):
        self._merge(message.records, now)
        found = map(self._records.get, message.wanted[:MAX_SYNC_RECORDS])
        records = [record for record in found if record is not None]
        return [(sender, SyncAnswer(records))] if records else []

    def _answer_page(self, sender, message):
        records, last = self._records.page(message.after, MAX_SYNC_RECORDS)
        return [(sender, TablePage(message.after, last, records))]

    def _publish_facts(self, now):
        is_first = self.own.revision == 0 and self._revision > 0
        if now < self._next_fact and not is_first:
            return
        members = len(self._records.snapshot())
        period = max(LOAD_PERIOD_SECONDS, members / MEMBERS_A_FACT_SECOND)
        self._next_fact = now + period
        own = self.own
        if (own.revision, own.load) != (self._revision, self._load):
            self._records.publish(revision=self._revision, load=self._load)

    def _check_probes(self, now):
        sent = []
        for number, (_, _, deadline) in list(self._relayed.items()):
            if now >= deadline:
                del self._relayed[number]
        for number, probe in list(self._probes.items()):
            if now < probe.deadline:
                continue
            if probe.is_indirect:
                del self._probes[number]
                self._records.observe(probe.address, int(Health.SUSPECT), now)
            else:
                sent.extend(self._probe_indirectly(number, probe, now))
        return sent

    def _probe_indirectly(self, number, probe, now):
        probe.is_indirect = True
        probe.deadline = now + INDIRECT_TIMEOUT_SECONDS
        others = [a for a in self.partners if a != probe.address]
        count = min(INDIRECT_PROBES, len(others))
        request = PingRequest(number, probe.address)
        return [(a, request) for a in self._random.sample(others, count)]

    def _probe_next(self, now):
        partners = self.partners
        if not partners:
            return []
        self._turn = (self._turn + 1) % len(partners)
        address = partners[self._turn]
        if any(probe.address == address for probe in self._probes.values()):
            return []
        return [self._ping(address, now)]

    def _ping(self, address, now):
        self._number += 1
        self._probes[self._number] = _Probe(address, now + ACK_TIMEOUT_SECONDS)
        records = self._records.take_updates()
        known = self._records.get(address)
        if known is None or known.health != Health.ALIVE:
            records.append(self.own)
        if known is not None and known.health != Health.ALIVE:
            records.append(known)
        return (
            address,
            Ping(self._number, self._revision, self._listed, records),
        )

    def _sync(self, now):
        partners = self.partners
        if now < self._next_sync or not partners:
            return []
        jitter = 0.5 + self._random.random()
        self._next_sync = now + SYNC_PERIOD_SECONDS * jitter
        records, last = self._records.page(self._sync_cursor, MAX_SYNC_RECORDS)
        keys = [
            RecordKey(r.peers_address, r.incarnation, r.sequence, r.health)
            for r in records
        ]
        sync = Sync(self._sync_cursor, last, keys)
        self._sync_cursor = last
        return [(self._random.choice(partners), sync)]

    def _revive(self, now):
        """Try one address that is no live member: a seed or a dead one."""
        if now < self._next_revive:
            return []
        period = REVIVE_PERIOD_SECONDS if self.partners else TICK_SECONDS
        self._next_revive = now + period
        unknown = [a for a in self._seeds if self._records.get(a) is None]
        candidates = unknown + self._records.dead
        if not candidates:
            return []
        address = self._random.choice(candidates)
        if any(probe.address == address for probe in self._probes.values()):
            return []
        return [self._ping(address, now)]
