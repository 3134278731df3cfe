"""Supervised child that runs the controllers of groups of targets."""

import concurrent.futures
import logging

from apricotseam.errors import ApricotseamError
from apricotseam.orders._controller import GroupController
from apricotseam.orders._lease import OrderLease
from apricotseam.orders._specs import CANDIDATES_PER_GROUP
from apricotseam.orders._specs import declared_group_specs
from apricotseam.orders._specs import host_rank
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

STEP_PERIOD_SECONDS = 1.0
READ_THREADS = 8


class OrdersChild(Child):
    """Runs the controllers of the groups for which this host is a candidate.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    service : KeyValueService
        Grants leases.
    engine : ModelEngine
        Calls to the targets.
    weight_store : WeightStore or None
        Where targets load weights from.
    snapshots : Snapshots
        Current configuration, targets and members.
    """

    name = "orders"

    def __init__(
        self, settings, clock, service, engine, weight_store, snapshots
    ):
        self._settings = settings
        self._clock = clock
        self._service = service
        self._engine = engine
        self._weight_store = weight_store
        self._snapshots = snapshots
        self._controllers = {}
        self._blocked = set()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            READ_THREADS, thread_name_prefix="orders"
        )

    def run(self, stopping):
        """Step all groups periodically until asked to stop."""
        while not stopping.wait(STEP_PERIOD_SECONDS):
            self.step()
        for lease, _ in self._controllers.values():
            lease.release()
        self._controllers.clear()

    def stop(self):
        """Shut down the threads that read reports."""
        self._threads.shutdown(wait=False)

    def step(self):
        """Run one step of the controller of each group."""
        configuration = self._snapshots.configuration
        if configuration is None:
            return
        specs = declared_group_specs(configuration, self._snapshots.targets)
        declared = {(spec.scope, spec.group) for spec in specs}
        for key in set(self._controllers) - declared:
            lease, _ = self._controllers.pop(key)
            lease.release()
        for spec in specs:
            self._step_group(spec)

    def _step_group(self, spec):
        key = (spec.scope, spec.group)
        if key not in self._controllers:
            if not self._is_candidate(spec):
                return
            self._controllers[key] = self._build_controller(key)
        lease, controller = self._controllers[key]
        if not lease.is_held and not self._is_candidate(spec):
            del self._controllers[key]
            return
        try:
            plan = controller.step(spec)
        except ApricotseamError as error:
            _LOG.warning("orders_not_given", extra={"code": error.code})
            return
        if plan is not None:
            self._log_plan(key, plan)

    def _log_plan(self, key, plan):
        group_fields = {"scope": key[0], "group": key[1]}
        if plan.orders:
            targets = [target.name for target in plan.orders]
            _LOG.info(
                "orders_given", extra={**group_fields, "targets": targets}
            )
        if plan.is_blocked and key not in self._blocked:
            _LOG.warning("rollout_blocked", extra=group_fields)
        (self._blocked.add if plan.is_blocked else self._blocked.discard)(key)

    def _is_candidate(self, spec):
        own_address = self._settings.peers_address
        live = self._snapshots.members.live()
        hosts = [member.peers_address for member in live] or [own_address]
        rank = host_rank(own_address, hosts, spec.scope, spec.group)
        return rank < CANDIDATES_PER_GROUP

    def _build_controller(self, key):
        prefix = self._settings.key_prefix
        lease = OrderLease(
            self._service,
            self._clock,
            f"{prefix}orders/{key[0]}/{key[1]}",
            self._settings.host,
        )
        controller = GroupController(
            lease,
            self._engine,
            self._weight_store,
            self._clock,
            self._threads.map,
        )
        return lease, controller
