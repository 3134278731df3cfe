"""Emulated host: the product's decision classes on simulated connections."""

import asyncio
import logging
import random

import prometheus_client

from apricotseam.chains import Ledger
from apricotseam.fleet import Fleet
from apricotseam.forwarding import ForwardingContext
from apricotseam.forwarding import Gateway
from apricotseam.forwarding import HostRetryBudget
from apricotseam.forwarding import RelayReceiver
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import TargetProber
from apricotseam.node._permits import PermitExchange
from apricotseam.node._placer import Placer
from apricotseam.node._quarantine_keeper import QuarantineKeeper
from apricotseam.node._usage import UsageExchange
from apricotseam.node._zone_links import ZoneLinks
from apricotseam.node._zones import ZoneUsageExchange
from apricotseam.relay import RelayHosts
from measure.emulator._links import TargetLink
from measure.emulator._network import SimulatedPool
from measure.emulator._peers import PeerHosts
from measure.emulator._relay import SimulatedRelayPool
from measure.emulator._site import RecordWatcher

_LOG = logging.getLogger(__name__)

RETRY_RATIO = 0.2
RETRY_SLACK = 200.0
RETRY_WINDOW_SECONDS = 10.0
# Time after the start within which every peer should have sent its usage.
PEER_USAGE_WAIT_SECONDS = 3.0
MAINTENANCE_PERIOD_SECONDS = 0.25


class FixedElection:
    """Tells whether this host is the one that places layers.

    Parameters
    ----------
    may_hold : callable
        Returns whether it is able to.

    Attributes
    ----------
    is_chosen : bool
        Whether it is the one, as long as it is able to.
    fence : int
        Fencing token of its orders.
    """

    def __init__(self, may_hold):
        self._may_hold = may_hold
        self.is_chosen = False
        self.fence = 1

    @property
    def is_holder(self):
        """Whether this host places layers at present."""
        return self.is_chosen and self._may_hold()


class EmulatedHost:
    """One host: gateway, queue, ledger, prober, placer and exchanges.

    Parameters
    ----------
    site : Site
        Targets, registry and clock.
    peers : PeerNetwork
        Delivers messages between hosts.
    name, zone : str
        Name and availability zone.
    policy : Policy
        Builds the queue and the selector.
    table : RouteTable
        Routes, services and customers.
    seed : int
        Seed of its random numbers.
    """

    def __init__(self, site, peers, name, zone, policy, table, seed):
        self._loop = site.loop
        self._now = site.loop.time
        self._site = site
        self._peers = peers
        self._expect_peers_until = self._now() + PEER_USAGE_WAIT_SECONDS
        self.name = name
        self.zone = zone
        self._store_view = None
        # Link to the targets, which patterns cut.
        self.link = TargetLink()
        self.hosts = PeerHosts(peers, f"{name}:1", zone)
        self.context = self._make_context(policy, seed)
        reach = self.context.prober.reach
        self.election = FixedElection(lambda: not reach.lost_services)
        self.context.table = table
        self.context.permits = PermitExchange(
            self.hosts, self.context.request_queue, self._now
        )
        self.context.quarantine_gate.trials = self.context.permits
        self._gateway = Gateway(self.context)
        self._join_relays(reach, seed)
        self.watcher = RecordWatcher(self.context.fleet, self._now)
        self._tasks = []
        # Requests in progress, in the order of arrival: the end of a host
        # ends them in this order in each play.
        self._requests = {}

    def _join_relays(self, reach, seed):
        """Take requests of other hosts, and pass own ones on to them."""
        context = self.context
        context.host = self.name
        context.relay_hosts = RelayHosts(
            self.hosts, self.zone, set, self._now, random.Random(seed)
        )
        context.relay_pool = SimulatedRelayPool(
            self._peers, self.hosts.own_address
        )
        receiver = RelayReceiver(context, self._gateway)
        self.hosts.take_relayed = lambda request, exchange: self._run(
            receiver.handle(request, exchange)
        )

        def announce():
            self.hosts.lost_services = reach.lost_services

        reach.on_change = announce

    def start(self, incarnation=1):
        """Join the other hosts and start the periodic work."""
        self._peers.join(self.hosts)
        self._site.registry.watch(self.watcher)
        self._store_view = self._site.store.open_view(
            lambda item: keeper.apply(item)
        )
        keeper = QuarantineKeeper(
            self._store_view,
            self._store_view,
            self.context.quarantine,
            lambda: list(self.hosts.table).index(self.hosts),
            self._now,
            self._now,
        )
        instance = f"{self.name}/{incarnation}"
        usage = UsageExchange(
            self.hosts, self.context, instance, self.zone, self._now
        )
        zones = ZoneUsageExchange(
            self.hosts,
            self.context.ledger,
            instance,
            self.zone,
            self._now,
            usage,
        )
        self.context.peer_views = usage.suspicions
        self.context.prober.is_shared_silence = usage.suspicions.is_shared
        placer = Placer(self.context, self.election, self._now)
        for coroutine in (
            usage.run(),
            usage.run_reports(),
            zones.run(),
            keeper.run(),
            placer.run(),
            self.context.prober.watch(
                lambda: 1 + len(self.hosts.load_recipients)
            ),
            self.context.prober.reach.watch(),
            ZoneLinks(self.hosts, self.zone, self.context.prober.reach).run(),
            self._maintain(),
        ):
            self._tasks.append(self._loop.create_task(coroutine))

    def stop(self):
        """End the process: all requests in progress are cut."""
        self._peers.leave(self.hosts)
        self._site.registry.unwatch(self.watcher)
        self._site.store.close_view(self._store_view)
        for task in [*self._tasks, *self._requests]:
            task.cancel()

    def handle(self, request, exchange):
        """Start to handle a request; return the task that does."""
        return self._run(self._gateway.handle(request, exchange))

    def _run(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._requests[task] = None
        task.add_done_callback(self._requests.pop)
        return task

    def check_tasks(self):
        """Raise the error of a periodic task that has failed."""
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()

    def _make_context(self, policy, seed):
        generator = random.Random(seed)
        queue = policy.make_queue(self._now)
        ledger = Ledger(
            lambda is_own: (
                queue.record_completion() if is_own else queue.wake_next()
            ),
            self._expected_peers,
        )
        fleet = Fleet(self._on_target_removed, self._on_target_draining)
        pool = SimulatedPool(
            self._site.network,
            self.zone,
            self.name,
            self.link,
            self._on_response,
        )
        context = ForwardingContext(
            fleet,
            ledger,
            policy.make_selector(fleet, ledger, self.zone, generator),
            pool,
            HostRetryBudget(
                RETRY_RATIO,
                RETRY_SLACK,
                RETRY_WINDOW_SECONDS,
                lambda: len(self.hosts.table),
            ),
            RequestMetrics(prometheus_client.CollectorRegistry()),
            queue,
            self._now,
            # Start times of engines are in simulated time.
            self._now,
        )
        # Without a seed, the context draws the places of requests, the delays
        # of returns and the samples of its prober differently in each play.
        context.generator.seed(seed)
        context.prober = TargetProber(
            pool,
            ledger,
            self._now,
            context.record_silence,
            fleet,
            generator,
        )
        context.prober.on_return = context.paces.record_return
        return context

    def _expected_peers(self):
        if self._now() >= self._expect_peers_until:
            return 0
        return len(self.hosts.load_recipients)

    def _on_response(self, incarnation, response):
        self.context.announcements.record(incarnation, response)

    def _on_target_removed(self, target):
        self.context.target_ends.record_removal(target)
        self.context.prober.forget(target)
        self.context.active_streams.recheck(target.identity)

    def _on_target_draining(self, target):
        self.context.active_streams.recheck(target.identity)

    async def _maintain(self):
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_SECONDS)
            self.context.fleet.expire(self._now())
            self.context.quarantine.expire()
