"""Controller that brings one group of targets to its spec."""

import msgspec

from apricotseam.config import Fencing
from apricotseam.errors import ApricotseamError
from apricotseam.external import Order
from apricotseam.orders._load_rate import LoadRateLimiter
from apricotseam.orders._reconcile import reconcile
from apricotseam.orders._reconcile import RolloutPlan

ORDER_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 1.0


class GroupSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Declared state of one group of engines.

    ``targets`` holds the `TargetSpec` of each target, and ``fencing``
    says whether the targets check the fencing token of orders.
    """

    scope: str
    group: str
    layers: int
    fencing: Fencing
    loads_per_minute: float
    targets: list


class GroupController:
    """Sends orders to a group of targets while it holds the lease.

    Parameters
    ----------
    lease : OrderLease
        Lease of the group, with its fencing token and deadline.
    engine : ModelEngine
        Calls to the targets.
    weight_store : WeightStore or None
        Reports how many more loads it has capacity for.
    clock : Clock
        Source of time.
    map_function : callable, optional
        Used like `map` to read reports; may run calls concurrently.
    """

    def __init__(self, lease, engine, weight_store, clock, map_function=map):
        self._lease = lease
        self._engine = engine
        self._weight_store = weight_store
        self._clock = clock
        self._map = map_function
        self._fencing_token = 0
        self._no_orders_until = 0.0
        self._rate_limiter = LoadRateLimiter(clock.monotonic())
        self.plan = RolloutPlan(orders=[])

    def step(self, spec):
        """Renew the lease, read reports and send orders.

        Parameters
        ----------
        spec : GroupSpec
            Current spec of the group.

        Returns
        -------
        RolloutPlan or None
            None if the lease is not held or orders must still wait.

        Raises
        ------
        ApricotseamError
            If the key-value service gave no answer.
        """
        if not self._lease.renew_or_acquire():
            self._fencing_token = 0
            return None
        now = self._clock.monotonic()
        if self._fencing_token != self._lease.fencing_token:
            self._take_over(spec, now)
        if now < self._no_orders_until:
            return None
        reports = self._read_reports(spec)
        loads = self._available_loads(spec)
        self.plan = reconcile(spec.targets, reports, spec.layers, loads)
        self._rate_limiter.spend(self.plan.loads)
        for target in self.plan.orders:
            if not self._send_order(target):
                break
        return self.plan

    def _take_over(self, spec, now):
        self._fencing_token = self._lease.fencing_token
        self._rate_limiter = LoadRateLimiter(now)
        self._no_orders_until = now
        if spec.fencing is Fencing.IGNORED:
            # Orders of the previous holder may still be in flight, and
            # targets that ignore fencing would accept them.
            self._no_orders_until = now + ORDER_TIMEOUT_SECONDS

    def _read_reports(self, spec):
        reports = self._map(self._read_report, spec.targets)
        pairs = zip(spec.targets, reports, strict=True)
        return {
            target.name: report
            for target, report in pairs
            if report is not None
        }

    def _read_report(self, target):
        deadline = self._clock.monotonic() + READ_TIMEOUT_SECONDS
        try:
            return self._engine.report(target.address, deadline)
        except ApricotseamError:
            return None

    def _available_loads(self, spec):
        now = self._clock.monotonic()
        loads = self._rate_limiter.available(now, spec.loads_per_minute)
        if self._weight_store is None or loads == 0:
            return loads
        try:
            return min(loads, self._weight_store.available())
        except ApricotseamError:
            return 0

    def _send_order(self, target):
        """Send one order; return whether the lease is still held."""
        if not self._lease.is_held:
            return False
        now = self._clock.monotonic()
        remaining_seconds = min(
            self._lease.deadline - now, ORDER_TIMEOUT_SECONDS
        )
        order = Order(
            fencing=self._lease.fencing_token,
            deadline=self._clock.wall() + remaining_seconds,
            model=target.model,
            version=target.version,
            first=target.first,
            last=target.last,
            adapters=list(target.adapters),
            role=target.role,
        )
        try:
            self._engine.order(target.address, order, now + remaining_seconds)
        except ApricotseamError:
            # The next report shows whether the order took effect.
            return self._lease.is_held
        return True
