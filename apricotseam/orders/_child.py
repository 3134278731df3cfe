"""Duty of this host to order groups of targets."""

import concurrent.futures
import logging

from apricotseam.errors import ApricotseamError
from apricotseam.orders._intent import declared_intents
from apricotseam.orders._intent import rank_of
from apricotseam.orders._intent import RANKS_ON_DUTY
from apricotseam.orders._lease import OrderLease
from apricotseam.orders._orderer import GroupOrderer
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

STEP_PERIOD_SECONDS = 1.0
READ_THREADS = 8


class OrdersChild(Child):
    """Steps the orderer of each group that this host has the duty of.

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
        Configuration, targets and members in force.
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
        self._orderers = {}
        self._blocked = set()
        self._threads = concurrent.futures.ThreadPoolExecutor(
            READ_THREADS, thread_name_prefix="orders"
        )

    def run(self, stopping):
        """Step all groups until told to stop."""
        while not stopping.wait(STEP_PERIOD_SECONDS):
            self.step()
        for lease, _ in self._orderers.values():
            lease.release()
        self._orderers.clear()

    def stop(self):
        """Let the threads end."""
        self._threads.shutdown(wait=False)

    def step(self):
        """Step each group once."""
        configuration = self._snapshots.configuration
        if configuration is None:
            return
        intents = declared_intents(configuration, self._snapshots.targets)
        declared = {(intent.scope, intent.group) for intent in intents}
        for key in set(self._orderers) - declared:
            lease, _ = self._orderers.pop(key)
            lease.release()
        for intent in intents:
            self._step_group(intent)

    def _step_group(self, intent):
        key = (intent.scope, intent.group)
        if key not in self._orderers:
            if not self._is_on_duty(intent):
                return
            self._orderers[key] = self._build(key)
        lease, orderer = self._orderers[key]
        if not lease.is_held and not self._is_on_duty(intent):
            del self._orderers[key]
            return
        try:
            plan = orderer.step(intent)
        except ApricotseamError as error:
            _LOG.warning("orders_not_given", extra={"code": error.code})
            return
        if plan is not None:
            self._log(key, plan)

    def _log(self, key, plan):
        names = {"scope": key[0], "group": key[1]}
        if plan.orders:
            targets = [wanted.target for wanted in plan.orders]
            _LOG.info("orders_given", extra={**names, "targets": targets})
        if plan.is_blocked and key not in self._blocked:
            _LOG.warning("rollout_blocked", extra=names)
        (self._blocked.add if plan.is_blocked else self._blocked.discard)(key)

    def _is_on_duty(self, intent):
        own = self._settings.peers_address
        live = self._snapshots.members.live()
        hosts = [member.peers_address for member in live] or [own]
        rank = rank_of(own, hosts, intent.scope, intent.group)
        return rank < RANKS_ON_DUTY

    def _build(self, key):
        prefix = self._settings.key_prefix
        lease = OrderLease(
            self._service,
            self._clock,
            f"{prefix}orders/{key[0]}/{key[1]}",
            self._settings.host,
        )
        orderer = GroupOrderer(
            lease,
            self._engine,
            self._weight_store,
            self._clock,
            self._threads.map,
        )
        return lease, orderer
