"""Membership protocol of one host: probes, suspicion and gossip.

`Membership` does no input or output: it is given the time and the received
messages and returns the messages to send. docs/design/membership.md
describes the alternatives that were considered.
"""

from apricotseam.membership._member import Health
from apricotseam.membership._messages import Ack
from apricotseam.membership._messages import Ping
from apricotseam.membership._messages import PingRequest
from apricotseam.membership._messages import RecordKey
from apricotseam.membership._messages import Sync
from apricotseam.membership._messages import SyncAnswer
from apricotseam.membership._messages import TableDigest
from apricotseam.membership._messages import TablePage
from apricotseam.membership._messages import TableRequest
from apricotseam.membership._table import RecordTable

TICK_SECONDS = 0.2
ACK_TIMEOUT_SECONDS = 0.6
INDIRECT_TIMEOUT_SECONDS = 0.8
# Up to this number of members a host probes one of them at each tick.
MAX_MEMBERS_AT_FULL_RATE = 25
MAX_PROBE_PERIOD_SECONDS = 1.0
# Longest time-outs of a host whose probes fail, in multiples of the regular.
MAX_DOUBT = 3
# A longer time between two ticks counts as a pause of this process.
STALL_THRESHOLD_SECONDS = 1.0
SYNC_PERIOD_SECONDS = 2.0
RECONNECT_PERIOD_SECONDS = 3.0
MIN_FACT_PERIOD_SECONDS = 1.0
# Limit on the publications of revision and load by all members together.
MAX_FACT_UPDATES_PER_SECOND = 10
INDIRECT_PROBES = 2
MAX_SEEDS = 64
MAX_SYNC_RECORDS = 64
MAX_RELAYED_PROBES = 64


class _Probe:
    """A probe that has not been acknowledged yet."""

    __slots__ = ("address", "deadline", "is_indirect")

    def __init__(self, address, deadline):
        self.address = address
        self.deadline = deadline
        self.is_indirect = False


class Membership:
    """Protocol state of one host.

    Parameters
    ----------
    own : Member
        Initial record of this host.
    generator : random.Random
        Source of random numbers.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, own, generator, now):
        self._records = RecordTable(own)
        self._random = generator
        self._seeds = []
        self._probes = {}
        self._relayed_probes = {}
        self._last_probe_number = 0
        self._partner_index = 0
        # Number of recent probes without an answer, at most `MAX_DOUBT` - 1.
        # If several fail, this host itself may be slow or cut off.
        self._doubt = 0
        self._next_probe = now
        self._sync_cursor = ""
        self._last_tick = now
        self._next_sync = now
        self._next_reconnect = now
        self._next_publication = now
        self._revision = own.revision
        self._load = own.load
        self._host_list_revision = 0
        self._last_heard = None

    @property
    def own(self):
        """Record of this host."""
        return self._records.own

    @property
    def changes(self):
        """Number of changes to the member table so far."""
        return self._records.changes

    @property
    def last_heard(self):
        """Monotonic time of the last message from any peer, or None."""
        return self._last_heard

    @property
    def partners(self):
        """Addresses of the members that this host probes and syncs with."""
        return self._records.partners()

    def snapshot(self):
        """Return the current members as a `MemberTable`."""
        return self._records.snapshot()

    def set_seeds(self, addresses):
        """Set the addresses at which to look for further members.

        Seeds are only used to establish contact: listing an address does
        not make it a member, and a member that is not listed is not
        removed. At most `MAX_SEEDS` are used, chosen at random.

        Parameters
        ----------
        addresses : list of str
            Peer addresses of the host list.
        """
        own = self.own.peers_address
        others = [address for address in addresses if address != own]
        if len(others) > MAX_SEEDS:
            others = self._random.sample(others, MAX_SEEDS)
        self._seeds = others

    def add_listed(self, records):
        """Add members that all hosts learn of by themselves.

        Parameters
        ----------
        records : iterable of Member
            Records, for example from a list that each host reads. Those of
            known members are ignored; none is sent on to other members.
        """
        for record in records:
            self._records.add_listed(record)

    def set_facts(self, facts):
        """Set the `Facts` of this host.

        The revision and the load are published at intervals that grow
        with the number of members, so that the update rate of all members
        together is bounded.
        """
        self._revision = max(self._revision, facts.revision)
        self._host_list_revision = max(
            self._host_list_revision, facts.host_list_revision
        )
        self._load = facts.load

    def announce_leaving(self):
        """Publish that this host is leaving.

        Returns
        -------
        list of tuple
            ``(address, message)`` pairs to send.
        """
        if not self.own.is_leaving:
            self._records.publish(is_leaving=True)
        return [
            self._ping(address, self._last_tick) for address in self.partners
        ]

    def announce_reach(self, lost_services):
        """Publish of which services this host reaches no target.

        Parameters
        ----------
        lost_services : tuple of str
            Names of the services.

        Returns
        -------
        list of tuple
            ``(address, message)`` pairs to send.
        """
        if self.own.lost_services == lost_services:
            return []
        self._records.publish(lost_services=lost_services)
        return [
            self._ping(address, self._last_tick) for address in self.partners
        ]

    def republish(self):
        """Publish this host's record again, for hosts with a partial copy."""
        self._records.publish()

    def tick(self, now):
        """Run the periodic work that is due.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple
            ``(address, message)`` pairs to send.
        """
        elapsed = now - self._last_tick
        self._last_tick = now
        if elapsed > STALL_THRESHOLD_SECONDS:
            # Acknowledgements and refutations may have been missed.
            self._probes.clear()
            self._records.extend_suspicions(elapsed)
        self._publish_facts(now)
        outgoing = self._check_probes(now)
        self._records.expire(now)
        outgoing.extend(self._probe_next(now))
        outgoing.extend(self._sync(now))
        outgoing.extend(self._reconnect(now))
        return outgoing

    def receive(self, sender, message, now):
        """Process a received message.

        Parameters
        ----------
        sender : str
            Peer address of the sender.
        message : object
            Instance of one of the `MESSAGE_TYPES`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of tuple
            ``(address, message)`` pairs to send.
        """
        self._last_heard = now
        if isinstance(message, Ping):
            return self._acknowledge(sender, message, now)
        if isinstance(message, Ack):
            return self._receive_ack(message, now)
        if isinstance(message, PingRequest):
            return self._relay_probe(sender, message, now)
        if isinstance(message, Sync):
            return self._answer_sync(sender, message)
        if isinstance(message, SyncAnswer):
            return self._receive_sync_answer(sender, message, now)
        if isinstance(message, TableDigest):
            return self._compare_digest(sender, message)
        if isinstance(message, TableRequest):
            return self._answer_page(sender, message)
        self._merge_records(message.records, now)
        if isinstance(message, TablePage) and message.last > message.after:
            return [(sender, TableRequest(message.last))]
        return []

    def _merge_records(self, records, now):
        for record in records:
            self._records.merge(record, now)

    def _acknowledge(self, sender, message, now):
        before = self.own
        self._merge_records(message.records, now)
        records = self._records.take_updates()
        known = self._records.get(sender)
        # The sender may not know this host, or may have an older record of it.
        if known is None or known.health != Health.ALIVE:
            records.append(self.own)
        elif self.own is not before:
            records.append(self.own)
        # A sender that is suspect or dead here can refute its record.
        if known is not None and known.health != Health.ALIVE:
            records.append(known)
        return [
            (
                sender,
                Ack(
                    message.number,
                    self._revision,
                    self._host_list_revision,
                    records,
                ),
            )
        ]

    def _receive_ack(self, message, now):
        relayed = self._relayed_probes.pop(message.number, None)
        if relayed is not None:
            self._merge_records(message.records, now)
            requester, number, _ = relayed
            return [
                (
                    requester,
                    Ack(number, self._revision, self._host_list_revision, []),
                )
            ]
        probe = self._probes.pop(message.number, None)
        if probe is not None:
            self._doubt = max(0, self._doubt - 1)
        known = self._records.get(probe.address) if probe else None
        self._merge_records(message.records, now)
        if probe is None:
            return []
        # After a first contact or a partition the tables may differ widely.
        if known is None or known.health == Health.DEAD:
            return [(probe.address, TableRequest(""))]
        return []

    def _relay_probe(self, sender, message, now):
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return []
        self._last_probe_number += 1
        deadline = now + INDIRECT_TIMEOUT_SECONDS
        self._relayed_probes[self._last_probe_number] = (
            sender,
            message.number,
            deadline,
        )
        return [
            (
                message.address,
                Ping(
                    self._last_probe_number,
                    self._revision,
                    self._host_list_revision,
                    [],
                ),
            )
        ]

    def _answer_sync(self, sender, message):
        records, wanted = self._records.compare(message, MAX_SYNC_RECORDS)
        if not records and not wanted:
            return []
        return [(sender, SyncAnswer(records, wanted))]

    def _receive_sync_answer(self, sender, message, now):
        self._merge_records(message.records, now)
        found = map(self._records.get, message.wanted[:MAX_SYNC_RECORDS])
        records = [record for record in found if record is not None]
        return [(sender, SyncAnswer(records))] if records else []

    def _answer_page(self, sender, message):
        records, last = self._records.page(message.after, MAX_SYNC_RECORDS)
        return [(sender, TablePage(message.after, last, records))]

    def _publish_facts(self, now):
        is_first = self.own.revision == 0 and self._revision > 0
        if now < self._next_publication and not is_first:
            return
        members = len(self._records.snapshot())
        period = max(
            MIN_FACT_PERIOD_SECONDS, members / MAX_FACT_UPDATES_PER_SECOND
        )
        self._next_publication = now + period
        own = self.own
        if (own.revision, own.load) != (self._revision, self._load):
            self._records.publish(revision=self._revision, load=self._load)

    def _check_probes(self, now):
        outgoing = []
        for number, (_, _, deadline) in list(self._relayed_probes.items()):
            if now >= deadline:
                del self._relayed_probes[number]
        for number, probe in list(self._probes.items()):
            if now < probe.deadline:
                continue
            if probe.is_indirect:
                del self._probes[number]
                outgoing.extend(self._suspect(probe.address, now))
            else:
                outgoing.extend(self._probe_indirectly(number, probe, now))
        return outgoing

    def _suspect(self, address, now):
        """Suspect a member, and tell it, so that it can refute at once.

        A suspect that does not answer is told again until it counts as dead.
        """
        known = self._records.get(address)
        if known is None or known.health == Health.DEAD:
            return []
        if known.health == Health.ALIVE:
            self._doubt = min(MAX_DOUBT - 1, self._doubt + 1)
            self._records.observe(address, int(Health.SUSPECT), now)
        return [self._ping(address, now)]

    def _probe_indirectly(self, number, probe, now):
        probe.is_indirect = True
        probe.deadline = now + INDIRECT_TIMEOUT_SECONDS * (1 + self._doubt)
        others = [a for a in self.partners if a != probe.address]
        count = min(INDIRECT_PROBES, len(others))
        request = PingRequest(number, probe.address)
        return [(a, request) for a in self._random.sample(others, count)]

    def _probe_next(self, now):
        partners = self.partners
        if now < self._next_probe or not partners:
            return []
        self._next_probe = now + self._probe_period()
        self._partner_index = (self._partner_index + 1) % len(partners)
        address = partners[self._partner_index]
        if any(probe.address == address for probe in self._probes.values()):
            return []
        return [self._ping(address, now)]

    def _probe_period(self):
        """Return the time between two probes in seconds.

        It grows with the number of members up to a limit. Each member has
        as many observers as partners, so that one of them still notices a
        failure about as soon.
        """
        if self._records.size <= MAX_MEMBERS_AT_FULL_RATE:
            return 0.0
        period = TICK_SECONDS * self._records.size / MAX_MEMBERS_AT_FULL_RATE
        # Half a tick less, since the ticks are a little late.
        return min(MAX_PROBE_PERIOD_SECONDS, period) - TICK_SECONDS / 2

    def _ping(self, address, now):
        self._last_probe_number += 1
        self._probes[self._last_probe_number] = _Probe(
            address, now + ACK_TIMEOUT_SECONDS * (1 + self._doubt)
        )
        records = self._records.take_updates()
        known = self._records.get(address)
        if known is None or known.health != Health.ALIVE:
            records.append(self.own)
        if known is not None and known.health != Health.ALIVE:
            records.append(known)
        return (
            address,
            Ping(
                self._last_probe_number,
                self._revision,
                self._host_list_revision,
                records,
            ),
        )

    def _sync(self, now):
        partners = self.partners
        if now < self._next_sync or not partners:
            return []
        jitter = 0.5 + self._random.random()
        self._next_sync = now + SYNC_PERIOD_SECONDS * jitter
        digest = TableDigest(self._records.digest())
        return [(self._random.choice(partners), digest)]

    def _compare_digest(self, sender, message):
        """Return a `Sync` of the next page if the sender's table differs."""
        if message.digest == self._records.digest():
            return []
        records, last = self._records.page(self._sync_cursor, MAX_SYNC_RECORDS)
        keys = [
            RecordKey(r.peers_address, r.incarnation, r.sequence, r.health)
            for r in records
        ]
        sync = Sync(self._sync_cursor, last, keys)
        self._sync_cursor = last
        return [(sender, sync)]

    def _reconnect(self, now):
        """Probe one seed that is not a known member, or one dead member."""
        if now < self._next_reconnect:
            return []
        period = RECONNECT_PERIOD_SECONDS if self.partners else TICK_SECONDS
        self._next_reconnect = now + period
        unknown = [a for a in self._seeds if self._records.get(a) is None]
        candidates = unknown + self._records.dead
        if not candidates:
            return []
        address = self._random.choice(candidates)
        if any(probe.address == address for probe in self._probes.values()):
            return []
        return [self._ping(address, now)]
