"""The router process: all components on one supervised event loop."""

import asyncio
import contextlib
import logging
import pathlib
import signal
import time

import msgspec
import prometheus_client

from apricotseam import _early_signals
from apricotseam.chains import Ledger
from apricotseam.coordination import Election
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Hosts
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorSynchronizer
from apricotseam.coordination import PackedPush
from apricotseam.coordination import PeerChanges
from apricotseam.coordination import Push
from apricotseam.coordination import Registration
from apricotseam.coordination import SuspensionDetector
from apricotseam.errors import ApricotseamError
from apricotseam.fleet import Fleet
from apricotseam.forwarding import ForwardingContext
from apricotseam.forwarding import Gateway
from apricotseam.forwarding import HostRetryBudget
from apricotseam.forwarding import RelayReceiver
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import RequestQueue
from apricotseam.forwarding import TargetSelector
from apricotseam.http1 import AnswerBudget
from apricotseam.http1 import ConnectionBudget
from apricotseam.http1 import ConnectionPool
from apricotseam.http1 import Limits
from apricotseam.http1 import Server
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.node._leaving import address_lifetime_seconds
from apricotseam.node._leaving import GracefulShutdown
from apricotseam.node._listeners import AddressDirectory
from apricotseam.node._listeners import Metrics
from apricotseam.node._listeners import Readiness
from apricotseam.node._listeners import start_server
from apricotseam.node._permits import PermitExchange
from apricotseam.node._placer import Placer
from apricotseam.node._quarantine_control import QuarantineControl
from apricotseam.node._quarantine_keeper import QUARANTINE_PREFIX
from apricotseam.node._quarantine_keeper import QuarantineKeeper
from apricotseam.node._reach_control import ReachControl
from apricotseam.node._settings import load_node_settings
from apricotseam.node._store_items import HOSTS_PREFIX
from apricotseam.node._store_items import StoreItemHandler
from apricotseam.node._traffic import log_traffic
from apricotseam.node._traffic import TrafficCollector
from apricotseam.node._usage import UsageExchange
from apricotseam.node._zone_links import ZoneLinks
from apricotseam.node._zones import ZoneUsageExchange
from apricotseam.peers import PeerTransport
from apricotseam.platform import ROUTER_PREFIX
from apricotseam.platform import StoreClient
from apricotseam.relay import MAX_HOP_BYTES
from apricotseam.relay import RelayHosts
from apricotseam.supervision import TaskSupervisor

_LOG = logging.getLogger(__name__)

MS_PER_SECOND = 1000
PLACER_KEY = ROUTER_PREFIX + "placer"
# Name of the component that carries out that duty.
PLACER_CHILD = "placer"
# Name under which entries that could not be applied are counted.
ENTRY_CHILD = "entry"
MAINTENANCE_PERIOD_SECONDS = 0.25
STOP_TIMEOUT_SECONDS = 0.5
# Time after the start within which every peer should have sent its usage.
PEER_USAGE_WAIT_SECONDS = 3.0


class Node:
    """Builds and runs the components of one router process.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    settings_path : str
        File that the settings were read from, used on reload.
    """

    def __init__(self, settings, settings_path=""):
        self._settings = settings
        self._settings_path = settings_path
        self._now = time.monotonic
        self._started_ms = int(time.time() * MS_PER_SECOND)
        self._expect_peers_until = self._now() + PEER_USAGE_WAIT_SECONDS
        self._registry = prometheus_client.CollectorRegistry()
        self._exit_code = asyncio.get_running_loop().create_future()
        self._child_failures = prometheus_client.Counter(
            "apricotseam_child_failures",
            "Failures of components, which were restarted.",
            ["child"],
            registry=self._registry,
        )
        self._supervisor = TaskSupervisor(self._on_child_failed)
        self._suspension = SuspensionDetector()
        self._servers = []
        self._is_leaving = False
        self._build_request_path()
        self._build_coordination()
        self._shutdown = GracefulShutdown(self, settings.bounds.stop_seconds)
        self._shutdown_task = None

    @property
    def is_ready(self):
        """Whether this host should receive requests."""
        return self._context.table is not None and not self._is_leaving

    @property
    def configuration(self):
        """The `RouteTable` in force, or None."""
        return self._context.table

    @property
    def forwarding(self):
        """The `ForwardingContext` shared by all requests."""
        return self._context

    @property
    def supervisor(self):
        """The `TaskSupervisor` of the components."""
        return self._supervisor

    @property
    def registry(self):
        """The `prometheus_client.CollectorRegistry` of the metrics."""
        return self._registry

    @property
    def placer(self):
        """The `Placer` of this host."""
        return self._placer

    async def start(self):
        """Start all components and listeners."""
        settings = self._settings
        await self._hosts.transport.open()
        for address, endpoint in (
            (settings.directory_address, self._address_directory),
            (settings.readiness_address, Readiness(lambda: self.is_ready)),
            (
                settings.metrics_address,
                Metrics(self._registry, self._make_controls()),
            ),
        ):
            if address:
                self._servers.append(
                    await start_server(address, endpoint.handle, self._budget)
                )
        await self.caller_server.start(settings.callers_address)
        if settings.relay_address:
            await self.relay_server.start(settings.relay_address)
        for name, run in self._children():
            self._supervisor.start(name, run)
        self._install_signal_handlers()
        _LOG.info(
            "started",
            extra={
                "host": settings.host,
                "zone": settings.zone,
                "started_ms": self._started_ms,
                "callers_address": settings.callers_address,
            },
        )

    async def wait(self):
        """Wait until the process has to exit; return its exit code."""
        code = await self._exit_code
        await self.abort()
        return code

    async def abort(self):
        """Stop all components without waiting for requests."""
        self.caller_server.abort()
        self.relay_server.abort()
        for server in self._servers:
            server.abort()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await self._supervisor.stop()
                await self._hosts.transport.close()

    def leave(self, exit_code):
        """Shut down gracefully, once; a later call has no effect.

        Parameters
        ----------
        exit_code : int
            Exit code of the process.
        """
        if self._shutdown_task is None:
            loop = asyncio.get_running_loop()
            self._shutdown_task = loop.create_task(self._shut_down(exit_code))

    def withdraw(self):
        """Stop advertising this host's address to callers."""
        self._is_leaving = True
        self._hosts.announce_leaving()
        self.caller_server.announce_close()
        self.relay_server.announce_close()
        loop = asyncio.get_running_loop()
        self._withdraw_task = loop.create_task(self._withdraw())

    def refuse_unfinishable(self, shutdown_at):
        """Refuse requests that might not finish before the shutdown ends.

        Parameters
        ----------
        shutdown_at : float
            Time of the event loop, in seconds, at which the process exits.
        """
        self._context.shutdown_at = shutdown_at

    def end_requests(self):
        """Give the requests that have no answer a final one."""
        self._context.is_exiting = True
        self.caller_server.end_requests()
        self.relay_server.end_requests()

    def _build_request_path(self):
        settings = self._settings
        bounds = settings.bounds
        self._answer_budget = AnswerBudget()
        self._pool = ConnectionPool(
            self._on_target_response, self._answer_budget
        )
        request_queue = RequestQueue(self._now)
        self._ledger = Ledger(
            lambda is_own: (
                request_queue.record_completion()
                if is_own
                else request_queue.wake_next()
            ),
            self._expected_peers,
        )
        self._fleet = Fleet(self._on_target_removed, self._on_target_draining)
        self._fleet.on_removal_due = self._expire_targets_at
        retry_budget = HostRetryBudget(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_seconds,
            lambda: len(self._hosts.table),
        )
        self._context = ForwardingContext(
            self._fleet,
            self._ledger,
            TargetSelector(self._fleet, self._ledger, settings.zone),
            self._pool,
            retry_budget,
            RequestMetrics(self._registry),
            request_queue,
        )
        gateway = Gateway(self._context)
        self._budget = ConnectionBudget(
            settings.clients, self._now, self._registry
        )
        self._context.host = settings.host
        self._context.load_policy = settings.load
        self.caller_server = Server(
            gateway.handle,
            self._limits,
            self._context.metrics.count_incomplete,
            self._budget,
        )
        self.relay_server = Server(
            RelayReceiver(self._context, gateway).handle,
            self._relay_limits,
            budget=self._budget,
        )

    def _expected_peers(self):
        """Return how many peers should report their usage after a start.

        After the first few seconds it is 0: the record of a host that failed
        stays in the store for a while, so the count is not reliable then.
        """
        if self._now() >= self._expect_peers_until:
            return 0
        return max(
            self._item_handler.count_peers(self._settings.zone),
            len(self._hosts.load_recipients),
        )

    def _expire_targets_at(self, at):
        """Remove the targets that are due at a monotonic time, on time."""
        loop = asyncio.get_running_loop()
        seconds = max(0.0, at - self._now())
        loop.call_later(seconds, lambda: self._fleet.expire(self._now()))

    def _on_target_removed(self, target):
        self._pool.drop(target.incarnation)
        self._context.target_ends.record_removal(target)
        self._context.prober.forget(target)
        self._context.active_streams.recheck(target.identity)

    def _on_target_response(self, incarnation, response):
        self._context.announcements.record(incarnation, response)

    def _on_target_draining(self, target):
        self._context.metrics.count_leaving(target)
        self._context.active_streams.recheck(target.identity)

    def _build_coordination(self):
        settings = self._settings
        own = Member(
            name=settings.host,
            peers_address=settings.peers_address,
            callers_address=settings.callers_address,
            operators_address="",
            availability_zone=settings.zone,
            incarnation=self._started_ms,
            relay_address=settings.relay_address,
            link_mbps=settings.link_mbps or 0.0,
        )
        transport = PeerTransport(
            None,
            settings.peers_address,
            self._started_ms,
            budget=self._budget,
        )
        self._hosts = Hosts(own, transport, Facts, self._now)
        self._context.permits = PermitExchange(
            self._hosts, self._context.request_queue, self._now
        )
        self._context.quarantine_gate.trials = self._context.permits
        self._store = StoreClient(settings.store_address)
        self._mirror = Mirror(self._apply_item)
        peer_changes = PeerChanges(self._hosts, self._mirror)
        self._synchronizer = MirrorSynchronizer(
            self._store,
            self._mirror,
            peer_changes.ask,
            self._now,
            lambda: self._hosts.reads_store,
            self._push_if_large,
            lambda item: not item.key.startswith(HOSTS_PREFIX),
            lambda: self._usage_exchange.reports_zone,
            lambda change: self._item_handler.log_era_change(change),
            lambda: self._hosts.max_pushed_bytes,
        )
        self._traffic = TrafficCollector(
            transport.traffic,
            self._store.calls,
            self._synchronizer.watches,
            self._synchronizer.reads.counts,
            self._synchronizer.era_events,
        )
        self._registry.register(self._traffic)
        transport.handle(
            Push, lambda _, push: self._synchronizer.receive_push(push)
        )
        transport.handle(
            PackedPush,
            lambda _, push: self._synchronizer.receive_packed_push(push),
        )
        self._item_handler = StoreItemHandler(
            self._context,
            lambda: self._synchronizer.was_store_unreachable,
            self._now,
            self._synchronizer.era_events,
        )
        self._quarantine_keeper = QuarantineKeeper(
            self._store,
            self._mirror,
            self._context.quarantine,
            self._hosts.rank,
            self._now,
        )
        self._registration = Registration(
            self._store,
            self._mirror,
            HOSTS_PREFIX + settings.host,
            HostRecord(
                peers_address=settings.peers_address,
                callers_address=settings.callers_address,
                zone=settings.zone,
                started_ms=self._started_ms,
                relay_address=settings.relay_address,
                link_mbps=settings.link_mbps or 0.0,
            ),
            lambda: self._hosts.is_contact,
        )
        self._election = Election(
            self._store,
            self._mirror,
            PLACER_KEY,
            settings.host,
            self._hosts.rank,
            self._can_place,
        )
        self._placer = Placer(self._context, self._election, self._now)
        instance = f"{settings.host}/{self._started_ms}"
        zone = settings.zone
        self._usage_exchange = UsageExchange(
            self._hosts,
            self._context,
            instance,
            zone,
            self._now,
            lambda: self._synchronizer.followed_position,
            self._synchronizer.receive_heartbeat,
        )
        self._zone_exchange = ZoneUsageExchange(
            self._hosts,
            self._ledger,
            instance,
            zone,
            self._now,
            self._usage_exchange,
        )
        self._build_relays()
        self._address_directory = AddressDirectory(
            self._hosts,
            address_lifetime_seconds(settings.bounds),
            self._usage_exchange.silent_peers,
        )

    def _build_relays(self):
        """Let this host pass requests on while it is cut off."""
        context = self._context
        reach = context.prober.reach
        reach.on_change = lambda: self._hosts.announce_reach(
            reach.lost_services
        )
        context.peer_views = self._usage_exchange.suspicions
        context.prober.is_shared_silence = context.peer_views.is_shared
        context.relay_hosts = RelayHosts(
            self._hosts,
            self._settings.zone,
            self._usage_exchange.silent_peers,
            self._now,
        )
        self._zone_links = ZoneLinks(self._hosts, self._settings.zone, reach)
        if self._settings.relay_address:
            context.relay_pool = ConnectionPool(budget=self._answer_budget)

    def _can_place(self):
        """Return whether this host can carry out the placer's duty."""
        if self._supervisor.is_failing(PLACER_CHILD):
            return False
        return self._reaches_engines()

    def _reaches_engines(self):
        """Return whether this host can order layers to engines."""
        table = self._context.table
        if table is None:
            return True
        found = map(
            table.services.get, self._context.prober.reach.lost_services
        )
        return not any(service and service.engine for service in found)

    def _children(self):
        return [
            ("store", self._synchronizer.run),
            ("pushes", self._synchronizer.run_heartbeats),
            ("hosts", self._hosts.run),
            ("registration", self._registration.run),
            ("quarantine", self._quarantine_keeper.run),
            ("election", self._election.run),
            (PLACER_CHILD, self._placer.run),
            ("usage", self._usage_exchange.run),
            ("reports", self._usage_exchange.run_reports),
            ("zones", self._zone_exchange.run),
            ("probes", self._run_probes),
            ("reach", self._context.prober.reach.watch),
            ("zone links", self._zone_links.run),
            ("care", self._run_maintenance),
            ("traffic", self._log_traffic),
        ]

    async def _run_probes(self):
        await self._context.prober.watch(
            lambda: 1 + len(self._hosts.load_recipients)
        )

    async def _log_traffic(self):
        await log_traffic(self._traffic)

    async def _run_maintenance(self):
        """Run periodic housekeeping."""
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_SECONDS)
            suspended_seconds = self._suspension.seconds_lost()
            if suspended_seconds:
                _LOG.warning(
                    "host_was_suspended", extra={"seconds": suspended_seconds}
                )
            self._find_hosts()
            self._item_handler.expire()
            self._fleet.expire(self._now())
            self._context.quarantine.expire()
            self._pool.sweep()
            if self._context.relay_pool is not None:
                self._context.relay_pool.sweep()

    def _apply_item(self, item):
        """Apply a changed item of the store.

        One that cannot be applied must not keep the others from it.
        """
        try:
            if item.key.startswith(QUARANTINE_PREFIX):
                self._quarantine_keeper.apply(item)
            else:
                self._item_handler.apply(item)
        except Exception:
            _LOG.exception("entry_failed", extra={"key": item.key})
            self._child_failures.labels(ENTRY_CHILD).inc()

    def _find_hosts(self):
        """Look for other hosts in the settings and in the store."""
        records = self._item_handler.host_records
        addresses = [record.peers_address for record in records.values()]
        self._hosts.set_seeds([*self._settings.seeds, *addresses])
        self._hosts.add_listed(records, time.time() * MS_PER_SECOND)

    def _push_if_large(self, message):
        if self._hosts.is_large:
            self._hosts.push(message)

    def _make_controls(self):
        """Return the endpoints for operators."""
        return [
            QuarantineControl(self._context.quarantine, self._now),
            ReachControl(self._context, self._hosts),
        ]

    def _relay_limits(self):
        """Return the limits on requests to which a host has added its part."""
        limits = self._limits()
        head_bytes = limits.head_bytes + MAX_HOP_BYTES
        return msgspec.structs.replace(limits, head_bytes=head_bytes)

    def _limits(self):
        table = self._context.table
        return table.limits if table is not None else Limits()

    def _install_signal_handlers(self):
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave, 0)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if _early_signals.take(signal.SIGHUP):
            self._reload()

    async def _shut_down(self, exit_code):
        try:
            await self._shutdown.run()
        finally:
            if not self._exit_code.done():
                self._exit_code.set_result(exit_code)

    def _reload(self):
        """Reload the settings; only seeds take effect without a restart."""
        try:
            text = pathlib.Path(self._settings_path).read_text()
            settings = load_node_settings(text, self._settings_path)
        except (ApricotseamError, OSError) as error:
            _LOG.error("reload_failed", extra={"error": str(error)})
            return
        self._settings = settings
        _LOG.info("reloaded", extra={"host": settings.host})

    async def _withdraw(self):
        for action in (self._election.resign, self._registration.withdraw):
            try:
                await action()
            except ApricotseamError as error:
                _LOG.info("withdraw_failed", extra={"error": str(error)})

    def _on_child_failed(self, name):
        self._child_failures.labels(name).inc()
