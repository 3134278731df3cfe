"""Orders layers to targets while this host holds the duty."""

import asyncio
import logging

import msgspec

from apricotseam.chains import choose_orders
from apricotseam.errors import ApricotseamError
from apricotseam.platform import decode_report
from apricotseam.platform import ORDER_PATH
from apricotseam.platform import OrderOutcome
from apricotseam.platform import Placement
from apricotseam.platform import REPORT_PATH

_LOG = logging.getLogger(__name__)

CYCLE_SECONDS = 0.3
CALL_SECONDS = 1.0
# A first layout waits until no target has shown up for this time, which is
# longer than the store is left unread between changes.
FIRST_SETTLE_SECONDS = 1.2
SETTLE_SECONDS = 0.3
# An order without a sign of it in the store is looked into after this.
PENDING_SECONDS = 4.0
# The same for an order that was refused or not answered.
UNSURE_SECONDS = 0.8


class _Pending:
    """An order that has been given."""

    __slots__ = ("check_at", "incarnation", "layers")

    def __init__(self, incarnation, layers, check_at):
        self.incarnation = incarnation
        self.layers = layers
        self.check_at = check_at


class Placer:
    """Compares what targets hold with what they should, and orders.

    Parameters
    ----------
    scene : Scene
        Configuration, targets and connections.
    election : Election
        Says whether this host holds the duty.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, scene, election, now):
        self._scene = scene
        self._election = election
        self._now = now
        self._pending = {}
        self._seen_changes = -1
        self._changed_at = 0.0

    async def run(self):
        """Order for ever, while this host holds the duty."""
        while True:
            if self._election.is_holder:
                await self._cycle()
            else:
                self._pending.clear()
            await asyncio.sleep(CYCLE_SECONDS)

    async def _cycle(self):
        scene = self._scene
        if scene.table is None or not self._has_settled():
            return
        for service in scene.table.services.values():
            if service.engine is not None:
                await self._place(service)

    def _has_settled(self):
        now = self._now()
        changes = self._scene.fleet.changes
        if changes != self._seen_changes:
            is_new = self._seen_changes < 0 or not self._has_layout()
            self._seen_changes = changes
            wait = FIRST_SETTLE_SECONDS if is_new else SETTLE_SECONDS
            self._changed_at = now + wait
        return now >= self._changed_at

    def _has_layout(self):
        """Return whether any target holds layers or was ordered to."""
        if self._pending:
            return True
        return any(t.record.layers is not None for t in self._scene.fleet)

    async def _place(self, service):
        targets = self._scene.fleet.of_service(service.name)
        records = [await self._as_ordered(target) for target in targets]
        orders = choose_orders(records, service.engine)
        if orders:
            await asyncio.gather(*(self._order(order) for order in orders))

    async def _as_ordered(self, target):
        """Return a target's record with what it is loading as held."""
        record = target.record
        pending = self._pending.get(target.identity)
        if pending is None:
            return record
        is_done = record.layers == pending.layers
        if is_done or pending.incarnation != target.incarnation:
            del self._pending[target.identity]
            return record
        if self._now() >= pending.check_at:
            await self._look_into(target, pending)
        return _with_layers(record, pending.layers)

    async def _look_into(self, target, pending):
        pending.check_at = self._now() + PENDING_SECONDS
        try:
            report = await self._report(target)
        except ApricotseamError as error:
            _LOG.info(
                "report_failed",
                extra={"target": target.identity, "error": str(error)},
            )
            return
        if not report.is_busy and report.layers != pending.layers:
            self._pending.pop(target.identity, None)
            _LOG.warning(
                "order_lost",
                extra={"target": target.identity, "orders": report.orders},
            )

    async def _report(self, target):
        answer, body = await self._call(target, b"GET", REPORT_PATH)
        if answer.status != 200:
            raise ApricotseamError(
                f"a report had status {answer.status}", "ask again later"
            )
        return decode_report(body)

    async def _order(self, order):
        target = self._scene.fleet.get(order.identity)
        if target is None:
            return
        pending = _Pending(
            target.incarnation, order.layers, self._now() + PENDING_SECONDS
        )
        self._pending[order.identity] = pending
        outcome = await self._give(target, order)
        if outcome not in (OrderOutcome.BEGUN, OrderOutcome.HOLDS):
            pending.check_at = self._now() + UNSURE_SECONDS
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

    async def _give(self, target, order):
        """Send an order; return its outcome.

        It carries the number of orders that the target accepted before, so
        that of two orders given for the same state only one is begun,
        however late they arrive.
        """
        try:
            accepted = 0
            if target.record.layers is not None:
                report = await self._report(target)
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
        """Call a target outside of requests; return answer and body."""
        return await self._scene.pool.call(
            target.incarnation,
            target.address,
            method,
            path,
            body,
            self._now() + CALL_SECONDS,
        )


def _with_layers(record, layers):
    return msgspec.structs.replace(record, layers=layers)
