"""Exchanges with peers how much work each host has on the targets."""

import asyncio

import msgspec

from apricotseam.chains import PeerUsage
from apricotseam.fleet import AnnouncementSource
from apricotseam.node._delegates import DelegateReports
from apricotseam.node._delegates import TAKEOVER_SECONDS
from apricotseam.node._limit_notices import LimitNotices
from apricotseam.node._pace_notices import PaceNotices
from apricotseam.node._restarts import Restarts
from apricotseam.node._suspicions import Suspicions
from apricotseam.node._trait_notices import TraitNotices
from apricotseam.node._zone_reports import HostState
from apricotseam.node._zone_reports import LeavingNotice
from apricotseam.node._zone_reports import SentStates
from apricotseam.node._zone_reports import ZoneCollector
from apricotseam.node._zone_reports import ZoneReport
from apricotseam.positions import NO_POSITION
from apricotseam.sharing import largest_entries
from apricotseam.sharing import sum_demand

SEND_PERIOD_SECONDS = 0.2
# Longer, as the delegates of a zone get the states of all its hosts.
LARGE_FLEET_SEND_PERIOD_SECONDS = 0.35
# Each of the two delegates of a zone reports at this period.
REPORT_PERIOD_SECONDS = 0.6
# Limit on the states that a delegate receives and on the reports that it
# sends; the periods grow with larger zones.
MAX_MESSAGES_PER_SECOND = 120
# Only every n-th report repeats the usage by hosts of other zones.
OTHER_ZONES_REPORTS = 2
# Unchanged usage is sent again after this many periods, so that peers do not
# expire it.
HEARTBEAT_PERIODS = 4
# A peer that sent nothing for this long may have failed. This exceeds the
# time between two messages, as one message may be late.
SILENT_AFTER_SECONDS = 1.1
LARGE_FLEET_SILENT_AFTER_SECONDS = 1.8
# Age up to which refusals of requests are reported to peers.
REFUSED_REPORT_SECONDS = 0.5
# Names under which the sums in reports are recorded.
OWN_ZONE = "own zone"
OTHER_ZONES = "other zones"


class UsageExchange:
    """Sends this host's usage to its peers and applies theirs.

    In a small fleet each host sends its `HostState` to all others. In a
    large one it sends it to the delegates of its availability zone, whose
    `ZoneReport` tells it about the other hosts.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    context : ForwardingContext
        Ledger of the work in progress, and the targets.
    instance : str
        Identifier of this process, different after each start.
    zone : str
        Availability zone of this host.
    now : callable
        Monotonic time in seconds.
    store_position : callable, optional
        Returns the position in the store that this host follows,
        `NO_POSITION` if it does not follow the store.
    on_store_position : callable, optional
        Called with the position that a delegate of the zone follows.
    """

    def __init__(
        self,
        hosts,
        context,
        instance,
        zone,
        now,
        store_position=None,
        on_store_position=None,
    ):
        self._zone = zone
        self._hosts = hosts
        self._context = context
        self._ledger = context.ledger
        self._instance = instance
        self._now = now
        self._store_position = store_position or (lambda: NO_POSITION)
        self._on_store_position = on_store_position or (lambda position: None)
        self._number = 0
        self._report_number = 0
        # Number of reports applied, as each delegate numbers its own.
        self._applied_count = 0
        self._collector = ZoneCollector()
        self._sent = SentStates()
        # Time since when this host has been a delegate of its zone, or None.
        self._delegate_since = None
        # Whether the ledger has the states of single hosts, not their sum.
        self._is_direct = True
        self._suspicions = Suspicions(context, now)
        self._delegate_reports = DelegateReports()
        self._limit_notices = LimitNotices(
            context.fleet, context.request_queue, now
        )
        self._trait_notices = TraitNotices(context.quarantine, now)
        self._restarts = Restarts(context.fleet, now)
        context.fleet.on_restart = self._record_restart
        # Zones that have sent their demand.
        self._other_zones = set()
        self._pace_notices = PaceNotices(context, now)
        hosts.transport.handle(HostState, self._receive)
        hosts.transport.handle(ZoneReport, self._receive_report)

    @property
    def reports_zone(self):
        """Whether this host reports to the other hosts of its zone."""
        return self._hosts.is_large and self._is_direct

    @property
    def uses_reports(self):
        """Whether this host knows of the others by the delegates' reports."""
        return not self._is_direct and len(self._delegate_reports) > 0

    @property
    def limit_notices(self):
        """The `LimitNotices` of this host."""
        return self._limit_notices

    @property
    def trait_notices(self):
        """The `TraitNotices` of this host."""
        return self._trait_notices

    @property
    def restarts(self):
        """The `Restarts` of targets that this host knows of."""
        return self._restarts

    @property
    def pace_notices(self):
        """The `PaceNotices` of this host."""
        return self._pace_notices

    @property
    def suspicions(self):
        """The `Suspicions` of this host."""
        return self._suspicions

    async def run(self):
        """Send states periodically, forever."""
        sent_changes = -1
        sent_words = None
        unsent_periods = 0
        while True:
            await asyncio.sleep(self._send_period())
            self._ledger.expire(self._now())
            self._suspicions.expire()
            self._update_delegates()
            suspects = self._suspect_targets()
            slow = self._slow_targets()
            words = (suspects, *self._words_of_targets())
            unsent_periods += 1
            is_unchanged = (
                self._ledger.changes == sent_changes
                and words == sent_words
                and not slow
            )
            if is_unchanged and unsent_periods < HEARTBEAT_PERIODS:
                continue
            sent_changes = self._ledger.changes
            sent_words = words
            unsent_periods = 0
            self._send(suspects, slow)

    async def run_reports(self):
        """Report periodically while this host is a delegate, forever."""
        while True:
            await asyncio.sleep(self._period(REPORT_PERIOD_SECONDS))
            if self.reports_zone:
                self._send_report()

    def silent_peers(self):
        """Return the addresses of peers whose messages are overdue."""
        if not self._hosts.is_large:
            return set(self._silent_senders())
        if self.reports_zone:
            return set(self._silent_senders()) | self._hosts.unheard_delegates
        silent = self._delegate_reports.silent_hosts(
            self._silent_after(), self._now()
        )
        return silent | self._hosts.unheard_delegates

    def suspects(self):
        """Return the targets that this host itself finds silent."""
        return self._suspect_targets()

    def leaving_targets(self):
        """Return a `LeavingNotice` of each target that announced to leave.

        They are those that this host was told of by the targets or by peers,
        by identity.
        """
        now = self._now()
        return {
            target.identity: LeavingNotice(
                target.record.born_ms,
                round(now - target.announcements.leaving_since, 3),
            )
            for target in self._context.fleet
            if target.announcements.is_leaving
        }

    def notice_leaving(self, leaving):
        """Record targets that, as a peer says, announced that they leave."""
        for identity, notice in leaving.items():
            self._context.fleet.record_leaving(
                (identity, notice.born_ms),
                AnnouncementSource.PEER,
                self._now(),
                notice.age_seconds,
            )

    def zone_demand(self):
        """Return the demand at all hosts of this zone, for a message."""
        demand = self._context.demand
        states = self._collector.states(self._now())
        counts = [demand.counts(), *(state.demand for state in states)]
        return largest_entries(sum_demand(counts))

    def notice_demand(self, zone, counts):
        """Record the demand at the hosts of another zone."""
        self._other_zones.add(zone)
        self._context.demand.update_peers(f"zone {zone}", counts)

    def _other_zones_demand(self):
        return self._context.demand.peer_counts(
            f"zone {zone}" for zone in self._other_zones
        )

    def notice_other_zone(self, zone, suspects):
        """Check targets that a host of another zone finds silent."""
        self._suspicions.check(zone, suspects)

    def _record_restart(self, identity):
        """Forget what was said of the former process of a target."""
        self._restarts.record(identity)
        for record in (
            self._ledger,
            self._suspicions,
            self._collector,
            self._delegate_reports,
            self._sent,
        ):
            record.forget_target(identity)

    def _silent_senders(self):
        return self._collector.silent(self._silent_after(), self._now())

    def _silent_after(self):
        if not self._hosts.is_large:
            return SILENT_AFTER_SECONDS
        heartbeat = HEARTBEAT_PERIODS * self._send_period()
        return max(LARGE_FLEET_SILENT_AFTER_SECONDS, 1.25 * heartbeat)

    def _send_period(self):
        if self._hosts.is_large:
            return self._period(LARGE_FLEET_SEND_PERIOD_SECONDS)
        return SEND_PERIOD_SECONDS

    def _period(self, least_seconds):
        """Return a period that bounds the messages of a delegate."""
        peers = len(self._hosts.load_recipients)
        return max(least_seconds, peers / MAX_MESSAGES_PER_SECOND)

    def _update_delegates(self):
        """Update which delegates are heard, and whether this host is one."""
        now = self._now()
        if not self._hosts.is_large:
            self._delegate_since = None
            self._set_direct(True, now)
            return
        self._hosts.unheard_delegates = self._delegate_reports.unheard(
            set(self._hosts.load_recipients), self._silent_after(), now
        )
        delegates = self._hosts.zone_delegates
        self._delegate_reports.expect(delegates, now)
        is_delegate = self._hosts.own_address in delegates
        if is_delegate and self._delegate_since is None:
            self._delegate_since = now
        elif not is_delegate:
            self._delegate_since = None
        since = self._delegate_since
        self._set_direct(
            since is not None and now - since >= TAKEOVER_SECONDS, now
        )

    def _set_direct(self, is_direct, now):
        """Set whether to use the states of single hosts or their sum."""
        if self._is_direct is is_direct:
            return
        self._is_direct = is_direct
        self._ledger.forget_peers()
        self._context.retry_budget.forget_peers()
        self._context.demand.forget_peers()
        if is_direct:
            for state in self._collector.states(now):
                self._apply_state(state, now)

    def _words_of_targets(self):
        """Return what targets say about themselves, without its age."""
        limits = {
            (identity, notice.requests_per_second)
            for identity, notice in self._limit_notices.own().items()
        }
        paces = {
            (identity, notice.allowance_ms)
            for identity, notice in self._pace_notices.own().items()
        }
        return (
            set(self.leaving_targets()),
            limits,
            self._trait_notices.changes,
            paces,
        )

    def _suspect_targets(self):
        return [
            target.identity
            for target in self._context.fleet
            if target.health.is_silent
        ]

    def _slow_targets(self):
        now = self._now()
        return {
            target.identity: target.health.slowness(now)
            for target in self._context.fleet
            if target.health.is_self_reported_slow(now)
        }

    def _make_state(self, suspects, slow, repeats):
        usages = {
            identity: usage.rounded()
            for identity, usage in self._ledger.own.items()
        }
        since = self._now() - REFUSED_REPORT_SECONDS
        return HostState(
            self._instance,
            self._zone,
            self._number,
            usages,
            suspects,
            slow,
            self._context.request_queue.recently_refused(since),
            repeats,
            self.leaving_targets(),
            self._limit_notices.own(),
            self._trait_notices.known(self._hosts.is_large),
            self._pace_notices.own(),
            demand=self._context.demand.counts(),
            restarts=self._restarts.notices(),
        )

    def _send(self, suspects, slow):
        self._number += 1
        repeats = self._context.retry_budget.counts(self._now())
        message = self._make_state(suspects, slow, repeats)
        self._sent.add(message)
        recipients = self._hosts.load_recipients
        if self._hosts.is_large:
            own = self._hosts.own_address
            recipients = [a for a in self._hosts.zone_delegates if a != own]
        self._hosts.transport.send_all(recipients, message)

    def _send_report(self):
        self._report_number += 1
        now = self._now()
        own = self._make_state(
            self._suspect_targets(),
            self._slow_targets(),
            self._context.retry_budget.own_counts(now),
        )
        report = self._collector.make_report(
            own, self._report_number, self._silent_after(), now
        )
        others = None
        if self._report_number % OTHER_ZONES_REPORTS == 0:
            others = self._ledger.other_zones_totals()
        demand = sum_demand([report.demand, self._other_zones_demand()])
        report = msgspec.structs.replace(
            report,
            demand=largest_entries(demand),
            other_zones=others,
            store_position=self._store_position(),
            limits=self._limit_notices.known(),
            traits=self._trait_notices.known(self._hosts.is_large),
            paces=self._pace_notices.known(),
        )
        self._hosts.transport.send_all(self._hosts.load_recipients, report)

    def _receive(self, sender, message):
        # In a large fleet, the totals received as `ZoneState` already include
        # the usage of hosts in other zones.
        if self._hosts.is_large and message.zone != self._zone:
            return
        now = self._now()
        message = self._restarts.current(message)
        if not self._collector.receive(sender, message, now):
            return
        if self._is_direct:
            self._apply_state(message, now)
        # In a large fleet only the delegates look at what others report.
        has_looked = not self._hosts.is_large
        self._suspicions.check(message.host, message.suspects, has_looked)
        self._apply_notices(message, now)

    def _apply_state(self, state, now):
        usage = PeerUsage(state.host, state.number, state.usages)
        self._ledger.update_peer(usage, now)
        self._context.retry_budget.update_peer(state.host, state.repeats, now)
        self._context.demand.update_peers(state.host, state.demand)

    def _receive_report(self, sender, report):
        if report.zone != self._zone or not self._hosts.is_large:
            return
        now = self._now()
        report = self._restarts.current(report)
        if not self._delegate_reports.receive(sender, report, now):
            return
        if report.store_position:
            self._on_store_position(report.store_position)
        self._apply_notices(report, now)
        if self._is_direct:
            self._suspicions.check(report.sender, report.suspects)
        else:
            self._suspicions.trust(
                *self._delegate_reports.suspects(self._silent_after(), now)
            )
            self._apply_sums(report, now)

    def _apply_sums(self, report, now):
        """Replace what is known of the other hosts by a report."""
        others = self._sent.others(report, self._instance)
        self._applied_count += 1
        number = self._applied_count
        self._ledger.update_peer(
            PeerUsage(OWN_ZONE, number, others.usages, others.hosts), now
        )
        if report.other_zones is not None:
            self._ledger.update_peer(
                PeerUsage(OTHER_ZONES, number, report.other_zones, 0), now
            )
        self._context.retry_budget.update_peer(
            OWN_ZONE, others.repeats, now, others.hosts
        )
        self._context.demand.update_peers(OWN_ZONE, others.demand)

    def _apply_notices(self, message, now):
        """Apply what a `HostState` or `ZoneReport` says of targets."""
        self.notice_leaving(message.leaving)
        self._limit_notices.apply(message.limits)
        self._trait_notices.apply(message.traits)
        self._pace_notices.apply(message.paces)
        for identity, factor in message.slow.items():
            target = self._context.fleet.get(identity)
            if target is not None:
                target.health.record_peer_slowness(factor, now)
        for retry_key in message.refused:
            self._context.request_queue.remember_refused(retry_key)
