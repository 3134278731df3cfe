"""Assigns model layers to targets while this host is elected to do so."""

import asyncio
import collections
import logging

import msgspec

from apricotseam.chains import choose_orders
from apricotseam.errors import ApricotseamError
from apricotseam.platform import decode_report
from apricotseam.platform import expected_target_headers
from apricotseam.platform import ORDER_PATH
from apricotseam.platform import OrderOutcome
from apricotseam.platform import Placement
from apricotseam.platform import REPORT_PATH

_LOG = logging.getLogger(__name__)

CYCLE_PERIOD_SECONDS = 0.3
CALL_TIMEOUT_SECONDS = 1.0
# The first layout waits until no target has appeared for this long, which
# exceeds the time between two reads of the store.
FIRST_LAYOUT_SETTLE_SECONDS = 1.2
# With a layout in place, targets must not have changed for this long.
SETTLE_SECONDS = 0.3
# A target that rejects connections for this long counts as lost, although its
# entry in the store ends only with its lease.
LOST_AFTER_REJECTION_SECONDS = 0.6
# The same for a target that sends nothing. A sound one may do so for 1.5 s.
LOST_AFTER_SILENCE_SECONDS = 1.8
# A target counts as lost while its rest goes on for longer than this. To move
# layers because of a shorter one would take longer than the rest.
LOST_REST_SECONDS = 5.0
# If more of the targets of an availability zone are lost, the cause is likely
# the network or their load, and layers are not moved.
MAX_LOST_SHARE = 0.5
# If the store does not show the effect of an order after this time, the
# target is asked for its report.
CONFIRM_TIMEOUT_SECONDS = 4.0
# The same for an order that was refused or got no answer.
UNACCEPTED_RETRY_SECONDS = 0.8


class _PendingOrder:
    """An order whose effect is not yet visible in the store.

    ``is_begun`` tells whether the target has said that it carries it out.
    """

    __slots__ = ("check_at", "incarnation", "is_begun", "layers")

    def __init__(self, incarnation, layers, check_at):
        self.incarnation = incarnation
        self.layers = layers
        self.check_at = check_at
        self.is_begun = False


class Placer:
    """Orders targets to load the layers that the service still needs.

    Parameters
    ----------
    context : ForwardingContext
        Route table, targets and connection pool.
    election : Election
        Tells whether this host is elected to place layers.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, context, election, now):
        self._context = context
        self._election = election
        self._now = now
        self._pending = {}
        # Times until which targets that are still busy with an order get no
        # other one, by incarnation.
        self._busy_until = {}
        self._seen_changes = -1
        self._settled_at = 0.0

    @property
    def is_elected(self):
        """Whether this host is elected to place layers."""
        return self._election.is_holder

    async def run(self):
        """Run forever; place layers in cycles while this host is elected."""
        while True:
            if self.is_elected:
                await self._cycle()
            else:
                self._pending.clear()
            await asyncio.sleep(CYCLE_PERIOD_SECONDS)

    async def _cycle(self):
        context = self._context
        if context.table is None or not self._has_settled():
            return
        errors = []
        for service in context.table.services.values():
            if service.engine is None:
                continue
            try:
                await self._place_service(service)
            except Exception as error:
                # The other services still get their orders.
                errors.append(error)
        if errors:
            raise ExceptionGroup("layers could not be placed", errors)

    def _has_settled(self):
        """Return whether the targets have been unchanged for long enough."""
        now = self._now()
        changes = self._context.fleet.changes
        if changes != self._seen_changes:
            is_first_layout = self._seen_changes < 0 or not self._has_layout()
            self._seen_changes = changes
            wait = (
                FIRST_LAYOUT_SETTLE_SECONDS
                if is_first_layout
                else SETTLE_SECONDS
            )
            self._settled_at = now + wait
        return now >= self._settled_at

    def _has_layout(self):
        """Return whether any target holds layers or was ordered to."""
        if self._pending:
            return True
        return any(t.record.layers is not None for t in self._context.fleet)

    async def _place_service(self, service):
        targets = await self._without_lost(
            self._context.fleet.of_service(service.name)
        )
        records = [await self._expected_record(target) for target in targets]
        busy = self._busy_targets()
        orders = choose_orders(records, service.engine, busy)
        resting = _resting_at(self._now(), targets)
        orders = [o for o in orders if o.identity not in resting]
        if orders:
            await asyncio.gather(
                *(self._issue_order(order) for order in orders)
            )

    def _busy_targets(self):
        """Return the identities of targets that are loading layers."""
        now = self._now()
        self._busy_until = {
            incarnation: until
            for incarnation, until in self._busy_until.items()
            if now < until
        }
        loading = {
            order.incarnation
            for order in self._pending.values()
            if order.is_begun
        }
        busy = loading.union(self._busy_until)
        return {
            t.identity for t in self._context.fleet if t.incarnation in busy
        }

    async def _without_lost(self, targets):
        """Return the targets that are not silent or resting for long."""
        resting = _resting_at(self._now() + LOST_REST_SECONDS, targets)
        lost = [t for t in targets if t.identity in resting]
        lost += await self._find_silent(
            [t for t in targets if t.identity not in resting]
        )
        if not lost:
            return targets
        lost_by_zone = collections.Counter(t.record.zone for t in lost)
        totals = collections.Counter(t.record.zone for t in targets)
        ignored = {
            target.identity
            for target in lost
            if lost_by_zone[target.record.zone]
            <= MAX_LOST_SHARE * totals[target.record.zone]
        }
        return [t for t in targets if t.identity not in ignored]

    async def _find_silent(self, targets):
        """Return the targets that are lost because they are silent.

        A target that only peers report as silent has to be silent to probes
        of this host, too. One that most peers reach isn't lost. If a target
        sends nothing, the last probe comes at the end of the time after
        which it counts as lost.
        """
        is_disputed = self._context.peer_views.is_disputed
        silent = [
            target
            for target in targets
            if self._silent_seconds(target)
            and not is_disputed(target.identity)
        ]
        if not silent:
            return []
        prober = self._context.prober
        unresponsive = await prober.find_unresponsive(silent)
        await prober.reprobe([t for t in unresponsive if self._is_overdue(t)])
        return [t for t in unresponsive if self._is_lost(t)]

    def _silent_seconds(self, target):
        return target.health.silent_seconds(self._now())

    def _is_overdue(self, target):
        """Return whether a target is lost if one more probe fails."""
        is_due = self._silent_seconds(target) >= LOST_AFTER_SILENCE_SECONDS
        return is_due and not self._is_lost(target)

    def _is_lost(self, target):
        """Return whether a target that does not respond counts as lost."""
        if target.health.rejects_connections:
            return self._silent_seconds(target) >= LOST_AFTER_REJECTION_SECONDS
        observed = target.health.observed_silence_seconds()
        return observed >= LOST_AFTER_SILENCE_SECONDS

    async def _expected_record(self, target):
        """Return a target's record as if its pending order were done."""
        record = target.record
        pending = self._pending.get(target.identity)
        if pending is None:
            return record
        is_confirmed = record.layers == pending.layers
        if is_confirmed or pending.incarnation != target.incarnation:
            del self._pending[target.identity]
            return record
        now = self._now()
        if now >= pending.check_at and not target.is_resting(now):
            await self._verify_order(target, pending)
        return _with_layers(record, pending.layers)

    async def _verify_order(self, target, pending):
        period = (
            CONFIRM_TIMEOUT_SECONDS
            if pending.is_begun
            else UNACCEPTED_RETRY_SECONDS
        )
        pending.check_at = self._now() + period
        try:
            report = await self._fetch_report(target)
        except ApricotseamError as error:
            _LOG.info(
                "report_failed",
                extra={"target": target.identity, "error": str(error)},
            )
            return
        if self._pending.get(target.identity) is not pending:
            return
        if not report.is_busy and report.layers != pending.layers:
            del self._pending[target.identity]
            _LOG.warning(
                "order_lost",
                extra={"target": target.identity, "orders": report.orders},
            )

    async def _fetch_report(self, target):
        answer, body = await self._call(target, b"GET", REPORT_PATH)
        if answer.status != 200:
            raise ApricotseamError(
                f"target report: got status {answer.status}, expected 200",
                "retry later",
            )
        report = decode_report(body)
        if not target.is_process(report.born_ms):
            raise ApricotseamError(
                f"target report: process {report.born_ms} answers in place of"
                f" {target.record.born_ms}",
                "wait until the entry names the new process",
            )
        return report

    async def _issue_order(self, order):
        target = self._context.fleet.get(order.identity)
        if target is None:
            return
        earlier = self._pending.get(order.identity)
        pending = _PendingOrder(
            target.incarnation,
            order.layers,
            self._now() + CONFIRM_TIMEOUT_SECONDS,
        )
        self._pending[order.identity] = pending
        outcome = await self._send_order(target, order)
        if outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            pending.is_begun = True
        else:
            pending.check_at = self._now() + UNACCEPTED_RETRY_SECONDS
        if outcome is OrderOutcome.CONFLICT:
            self._keep_earlier_order(target, earlier)
        _LOG.info(
            "layers_ordered",
            extra={
                "target": order.identity,
                "layers": f"{order.layers.first}-{order.layers.last}",
                "cause": order.cause,
                "outcome": outcome.name.lower(),
                "fence": self._election.fence,
            },
        )

    def _keep_earlier_order(self, target, earlier):
        """Count on the order that a target is busy with, not on a later one.

        A target carries out one order at a time. While it gives up layers
        that streams still use, that takes as long as the streams.

        Parameters
        ----------
        target : Target
            The target, which refused a later order.
        earlier : _PendingOrder or None
            The order that this host knows it is busy with.
        """
        retry_at = self._now() + UNACCEPTED_RETRY_SECONDS
        self._busy_until[target.incarnation] = retry_at
        if earlier is None or earlier.incarnation != target.incarnation:
            return
        if earlier.is_begun:
            earlier.check_at = retry_at
            self._pending[target.identity] = earlier

    async def _send_order(self, target, order):
        """Send an order; return its outcome.

        The order states how many orders the target had accepted before. A
        target accepts an order only with its current count, so of two orders
        for the same state it begins only one, however late they arrive.
        """
        try:
            accepted = 0
            if target.record.layers is not None:
                report = await self._fetch_report(target)
                accepted = report.orders
            if not self._election.is_holder:
                return OrderOutcome.FAILED
            placement = Placement(
                layers=order.layers,
                fence=self._election.fence,
                after_orders=accepted,
            )
            answer, _ = await self._call(
                target, b"POST", ORDER_PATH, placement.encode()
            )
            return OrderOutcome.of_status(answer.status)
        except ApricotseamError as error:
            _LOG.info(
                "order_unanswered",
                extra={"target": target.identity, "error": str(error)},
            )
            return OrderOutcome.FAILED

    async def _call(self, target, method, path, body=b""):
        """Make a control call to a target; return answer and body.

        Another process at its address refuses the call.
        """
        return await self._context.pool.call(
            target.incarnation,
            target.address,
            method,
            path,
            body,
            self._now() + CALL_TIMEOUT_SECONDS,
            headers=expected_target_headers(target.identity),
        )


def _resting_at(time, targets):
    """Return the identities of the targets that rest at a time."""
    return {t.identity for t in targets if t.is_resting(time)}


def _with_layers(record, layers):
    return msgspec.structs.replace(record, layers=layers)
