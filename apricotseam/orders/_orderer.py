"""Orders one group of targets until what is declared is what runs."""

import msgspec

from apricotseam.config import Fencing
from apricotseam.errors import ApricotseamError
from apricotseam.external import Order
from apricotseam.orders._budget import LoadBudget
from apricotseam.orders._reconcile import Plan
from apricotseam.orders._reconcile import reconcile

ORDER_SECONDS = 2.0
READ_SECONDS = 1.0


class GroupIntent(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators' file declares for one group of engines."""

    scope: str
    group: str
    layers: int
    fencing: Fencing
    loads_per_minute: float
    wanted: list


class GroupOrderer:
    """Gives orders while it holds the lease of the group.

    Parameters
    ----------
    lease : OrderLease
        The right to give orders, with its deadline.
    engine : ModelEngine
        Calls to the targets.
    weight_store : WeightStore or None
        Says how many loads it has room for.
    clock : Clock
        Source of time.
    spread : callable, optional
        Applies a function to many items, several at a time.
    """

    def __init__(self, lease, engine, weight_store, clock, spread=map):
        self._lease = lease
        self._engine = engine
        self._weight_store = weight_store
        self._clock = clock
        self._spread = spread
        self._fencing = 0
        self._quiet_until = 0.0
        self._budget = LoadBudget(clock.monotonic())
        self.plan = Plan(orders=[])

    def step(self, intent):
        """Renew the lease, read back and order; return the `Plan` or None.

        Parameters
        ----------
        intent : GroupIntent
            What is declared now.

        Raises
        ------
        ApricotseamError
            If the key-value service gave no answer.
        """
        if not self._lease.hold():
            self._fencing = 0
            return None
        now = self._clock.monotonic()
        if self._fencing != self._lease.fencing:
            self._take_over(intent, now)
        if now < self._quiet_until:
            return None
        reports = self._read(intent)
        loads = self._loads(intent)
        self.plan = reconcile(intent.wanted, reports, intent.layers, loads)
        self._budget.spend(self.plan.loads)
        for wanted in self.plan.orders:
            if not self._order(wanted):
                break
        return self.plan

    def _take_over(self, intent, now):
        self._fencing = self._lease.fencing
        self._budget = LoadBudget(now)
        self._quiet_until = now
        if intent.fencing is Fencing.IGNORED:
            self._quiet_until = now + ORDER_SECONDS

    def _read(self, intent):
        reports = self._spread(self._read_one, intent.wanted)
        pairs = zip(intent.wanted, reports, strict=True)
        return {w.target: report for w, report in pairs if report is not None}

    def _read_one(self, wanted):
        deadline = self._clock.monotonic() + READ_SECONDS
        try:
            return self._engine.report(wanted.address, deadline)
        except ApricotseamError:
            return None

    def _loads(self, intent):
        now = self._clock.monotonic()
        loads = self._budget.available(now, intent.loads_per_minute)
        if self._weight_store is None or loads == 0:
            return loads
        try:
            return min(loads, self._weight_store.available())
        except ApricotseamError:
            return 0

    def _order(self, wanted):
        """Give one order; return whether the lease still holds."""
        if not self._lease.is_held:
            return False
        now = self._clock.monotonic()
        left = min(self._lease.deadline - now, ORDER_SECONDS)
        order = Order(
            fencing=self._lease.fencing,
            deadline=self._clock.wall() + left,
            model=wanted.model,
            version=wanted.version,
            first=wanted.first,
            last=wanted.last,
            adapters=list(wanted.adapters),
            role=wanted.role,
        )
        try:
            self._engine.order(wanted.address, order, now + left)
        except ApricotseamError:
            # The next reading shows whether the order took effect.
            return self._lease.is_held
        return True
