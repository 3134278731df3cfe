"""One process: all parts on one loop under one supervisor."""

import asyncio
import contextlib
import logging
import pathlib
import signal
import time

import prometheus_client

from apricotseam import _early_signals
from apricotseam.chains import Ledger
from apricotseam.coordination import Changes
from apricotseam.coordination import ChangesRequest
from apricotseam.coordination import Election
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Hosts
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorKeeper
from apricotseam.coordination import Push
from apricotseam.coordination import Registration
from apricotseam.coordination import SuspensionDetector
from apricotseam.errors import ApricotseamError
from apricotseam.fleet import Fleet
from apricotseam.forwarding import Chooser
from apricotseam.forwarding import Gateway
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import RetryAllowance
from apricotseam.forwarding import Scene
from apricotseam.forwarding import WaitingRoom
from apricotseam.http1 import Limits
from apricotseam.http1 import Pool
from apricotseam.http1 import Server
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.node._beliefs import Beliefs
from apricotseam.node._beliefs import HOSTS_PREFIX
from apricotseam.node._leaving import Departure
from apricotseam.node._listeners import Directory
from apricotseam.node._listeners import listen
from apricotseam.node._listeners import Metrics
from apricotseam.node._listeners import Readiness
from apricotseam.node._placer import Placer
from apricotseam.node._settings import load_node_settings
from apricotseam.node._usage import UsageSpread
from apricotseam.node._zones import ZoneSpread
from apricotseam.peers import PeerTransport
from apricotseam.platform import OWN_PREFIX
from apricotseam.platform import StoreClient
from apricotseam.platform import StoreError
from apricotseam.supervision import TaskSupervisor

_LOG = logging.getLogger(__name__)

MILLISECONDS = 1000
PLACER_KEY = OWN_PREFIX + "placer"
CARE_SECONDS = 0.25
WITHDRAW_SECONDS = 0.5
# Time after the start in which peers make themselves heard.
SETTLE_SECONDS = 3.0


class Node:
    """Builds and runs the parts of one process.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    settings_path : str
        File that they were read from, for a reload.
    """

    def __init__(self, settings, settings_path=""):
        self._settings = settings
        self._settings_path = settings_path
        self._now = time.monotonic
        self._started_ms = int(time.time() * MILLISECONDS)
        self._settled_at = self._now() + SETTLE_SECONDS
        self._registry = prometheus_client.CollectorRegistry()
        self._exit_code = asyncio.get_running_loop().create_future()
        self._supervisor = TaskSupervisor(self._fail)
        self._suspension = SuspensionDetector()
        self._servers = []
        self._is_leaving = False
        self._build_requests()
        self._build_agreement()
        self._departure = Departure(self, settings.bounds.stop_seconds)

    @property
    def is_ready(self):
        """Whether this host should get requests."""
        return self._scene.table is not None and not self._is_leaving

    @property
    def configuration(self):
        """The `RouteTable` in force, or None."""
        return self._scene.table

    async def start(self):
        """Start all parts."""
        settings = self._settings
        await self._hosts.transport.open()
        for address, part in (
            (settings.directory_address, self._directory),
            (settings.readiness_address, Readiness(lambda: self.is_ready)),
            (settings.metrics_address, Metrics(self._registry)),
        ):
            if address:
                self._servers.append(await listen(address, part.handle))
        await self.callers.start(settings.callers_address)
        for name, run in self._children():
            self._supervisor.start(name, run)
        self._take_signals()
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
        """Wait until the process should end; return its exit code."""
        code = await self._exit_code
        await self.abort()
        return code

    async def abort(self):
        """End all parts at once."""
        self.callers.abort()
        for server in self._servers:
            server.abort()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_SECONDS):
                await self._supervisor.stop()
                await self._hosts.transport.close()

    def withdraw(self):
        """Take this host out of the addresses that callers are told."""
        self._is_leaving = True
        self._hosts.announce_leaving()
        self.callers.announce_close()
        loop = asyncio.get_running_loop()
        self._withdrawing = loop.create_task(self._withdraw())

    def refuse_late(self, ends_at):
        """Refuse requests that might not end before a loop time."""
        self._scene.leaves_at = ends_at

    def _build_requests(self):
        settings = self._settings
        bounds = settings.bounds
        self._pool = Pool()
        waiting = WaitingRoom(self._now)
        self._ledger = Ledger(
            lambda is_own: waiting.count_end() if is_own else waiting.wake(),
            self._expected_peers,
        )
        self._fleet = Fleet(self._end_target, self._drain_target)
        allowance = RetryAllowance(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_seconds,
            lambda: len(self._hosts.table),
        )
        self._scene = Scene(
            self._fleet,
            self._ledger,
            Chooser(self._fleet, self._ledger, settings.zone),
            self._pool,
            allowance,
            RequestMetrics(self._registry),
            waiting,
        )
        gateway = Gateway(self._scene)
        self.callers = Server(gateway.handle, self._limits)

    def _expected_peers(self):
        """Return how many peers should tell their usage, after a start.

        Later on, hosts whose records stay for a while may be gone.
        """
        if self._now() >= self._settled_at:
            return 0
        return self._beliefs.count_peers(self._settings.zone)

    def _end_target(self, target):
        self._pool.drop(target.incarnation)
        self._scene.probes.forget(target)
        self._scene.passages.alert(target.identity)

    def _drain_target(self, target):
        self._scene.passages.alert(target.identity)

    def _build_agreement(self):
        settings = self._settings
        own = Member(
            name=settings.host,
            peers_address=settings.peers_address,
            callers_address=settings.callers_address,
            operators_address="",
            availability_zone=settings.zone,
            incarnation=self._started_ms,
        )
        transport = PeerTransport(
            None, settings.peers_address, self._started_ms
        )
        self._hosts = Hosts(own, transport, self._facts, self._now)
        transport.handle(ChangesRequest, self._answer_changes, Changes)
        self._store = StoreClient(settings.store_address)
        self._mirror = Mirror(lambda item: self._beliefs.take(item))
        self._keeper = MirrorKeeper(
            self._store,
            self._mirror,
            self._hosts.ask_changes,
            self._now,
            lambda: self._hosts.reads_store,
            self._push,
            lambda item: not item.key.startswith(HOSTS_PREFIX),
        )
        transport.handle(Push, lambda _, push: self._keeper.take_push(push))
        self._beliefs = Beliefs(
            self._scene, lambda: self._keeper.was_away, self._now
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
            ),
        )
        self._election = Election(
            self._store,
            self._mirror,
            PLACER_KEY,
            settings.host,
            self._hosts.rank,
        )
        self._placer = Placer(self._scene, self._election, self._now)
        name = f"{settings.host}/{self._started_ms}"
        zone = settings.zone
        self._usage = UsageSpread(
            self._hosts, self._scene, name, zone, self._now
        )
        self._zones = ZoneSpread(
            self._hosts, self._ledger, name, zone, self._now
        )
        self._directory = Directory(
            self._hosts,
            settings.bounds.address_valid_seconds,
            self._usage.silent_peers,
        )

    def _children(self):
        return [
            ("store", self._keeper.run),
            ("pushes", self._keeper.run_pushes),
            ("hosts", self._hosts.run),
            ("registration", self._registration.run),
            ("election", self._election.run),
            ("placer", self._placer.run),
            ("usage", self._usage.run),
            ("zones", self._zones.run),
            ("probes", self._watch_targets),
            ("care", self._care),
        ]

    async def _watch_targets(self):
        await self._scene.probes.watch(lambda: 1 + len(self._hosts.audience))

    async def _care(self):
        """Do what is due from time to time."""
        while True:
            await asyncio.sleep(CARE_SECONDS)
            lost = self._suspension.seconds_lost()
            if lost:
                _LOG.warning("host_was_suspended", extra={"seconds": lost})
            self._hosts.set_seeds(
                [*self._settings.seeds, *self._beliefs.peer_addresses]
            )
            self._fleet.expire(self._now())
            self._pool.sweep()

    def _push(self, message):
        if self._hosts.is_large:
            self._hosts.push(message)

    def _answer_changes(self, sender, request):
        return self._mirror.changes_since(request.after)

    def _facts(self):
        table = self._scene.table
        return Facts(
            revision=table.revision if table is not None else 0,
            load=self.callers.in_progress,
        )

    def _limits(self):
        table = self._scene.table
        return table.limits if table is not None else Limits()

    def _take_signals(self):
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if _early_signals.take(signal.SIGHUP):
            self._reload()

    def _request_stop(self):
        if not self._departure.is_under_way:
            loop = asyncio.get_running_loop()
            self._leaving = loop.create_task(self._leave())

    async def _leave(self):
        await self._departure.run()
        self._end(0)

    def _reload(self):
        """Read the settings again; addresses stay until a restart."""
        try:
            text = pathlib.Path(self._settings_path).read_text()
            settings = load_node_settings(text, self._settings_path)
        except (ApricotseamError, OSError) as error:
            _LOG.error("reload_failed", extra={"error": str(error)})
            return
        self._settings = settings
        _LOG.info("reloaded", extra={"host": settings.host})

    async def _withdraw(self):
        for part in (self._election.resign, self._registration.withdraw):
            try:
                await part()
            except StoreError as error:
                _LOG.info("withdraw_failed", extra={"error": str(error)})

    def _fail(self, name):
        _LOG.critical("child_gave_up", extra={"child": name})
        self._end(1)

    def _end(self, code):
        if not self._exit_code.done():
            self._exit_code.set_result(code)
