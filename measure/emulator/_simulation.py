"""One play of a pattern: targets, hosts and callers in simulated time."""

import asyncio
import random

import msgspec

from apricotseam.chains import choose_orders
from apricotseam.fleet import TargetRecord
from apricotseam.positions import Position
from apricotseam.routes import Customer
from apricotseam.routes import RepeatPolicy
from apricotseam.routes import Route
from apricotseam.routes import RouteTable
from apricotseam.routes import Service
from apricotseam.routes import ServiceShare
from measure.emulator._caller import HOST_NAME
from measure.emulator._capacity import estimate_capacity
from measure.emulator._engine import Engine
from measure.emulator._host import EmulatedHost
from measure.emulator._loop import SimulatedLoop
from measure.emulator._network import Network
from measure.emulator._peers import PeerNetwork
from measure.emulator._pipe import Pipe
from measure.emulator._profile import DEPLOYMENTS
from measure.emulator._profile import SERVICE
from measure.emulator._site import Site
from measure.emulator._workload import plan_requests
from measure.emulator._workload import Workload

# Time in which hosts meet before the first request.
START_SECONDS = 1.0
# A host that was started or cut off is in touch again after this time.
IN_TOUCH_SECONDS = 3.0
REPORT_PERIOD_SECONDS = 0.2
CONNECT_RETRY_SECONDS = 0.05
# Targets that may run one stream after another before it counts as served.
MAX_ATTEMPTS = 2


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Size of a play.

    ``deployment`` is a name in `DEPLOYMENTS`, which says how targets are
    spread over the zones.
    """

    hosts: int = 6
    targets: int = 18
    zones: int = 3
    seconds: float = 16.0
    seed: int = 1
    deployment: str = "tight"

    @property
    def zone_names(self):
        """Names of the zones."""
        return [f"zone-{n}" for n in range(self.zones)]


class Simulation:
    """Plays a pattern with a policy.

    Parameters
    ----------
    pattern : Pattern
        Load and disturbances.
    scenario : Scenario
        Size, duration and seed.
    policy : Policy
        Decides when and where requests run.

    Attributes
    ----------
    loop : SimulatedLoop
        Clock and timers.
    site : Site
        What the targets share.
    hosts : list of EmulatedHost
        Running hosts.
    cut_off : set of str
        Names of the hosts whose links to targets were cut.
    engines : list of Engine
        Engines whose processes run.
    capacity : Capacity
        What the first layout can take.
    random : random.Random
        Source of random numbers for choices of the pattern.
    """

    def __init__(self, pattern, scenario, policy):
        self._pattern = pattern
        self._scenario = scenario
        self._policy = policy
        self.random = random.Random(scenario.seed)
        self.loop = SimulatedLoop()
        self._deployment = DEPLOYMENTS[scenario.deployment]
        self._profile = self._deployment.profile
        pipe = Pipe(self._deployment.pipe_megabits_per_second)
        self.site = Site(self.loop, self._profile, Network(pipe))
        self._peers = PeerNetwork(self.loop)
        self._table = make_table(self._deployment, pattern.make_customers())
        self._engine_count = 0
        self._incarnation = 0
        # Times from which hosts are in touch again, by name.
        self._in_touch_from = {}
        self.engines = []
        self.hosts = []
        self.cut_off = set()
        self.capacity = None

    def run(self):
        """Play to the end; return the list of `Result`."""
        asyncio.set_event_loop(self.loop)
        try:
            return self.loop.run_until_complete(self._run())
        finally:
            asyncio.set_event_loop(None)
            self.loop.close()

    async def connect(self, request):
        """Return a random host, if possible of the request's zone.

        As long as no host runs, the caller tries again.
        """
        while not self.hosts:
            await asyncio.sleep(CONNECT_RETRY_SECONDS)
        near = [h for h in self.hosts if h.zone == request.zone]
        return self.random.choice(near or self.hosts)

    def at(self, seconds, action, *arguments):
        """Schedule an action at a time in seconds."""
        self.loop.call_at(seconds, action, *arguments)

    def of_zone(self, zone):
        """Return the running engines of a zone."""
        return [engine for engine in self.engines if engine.zone == zone]

    def first_engines(self):
        """Return the running engines that hold the model's first layer."""
        return [
            engine
            for engine in self.engines
            if engine.record.layers is not None
            and engine.record.layers.first == 0
        ]

    def add_engine(self, kind, zone, layers=None, address=None, identity=None):
        """Start the process of an engine and return it."""
        self._engine_count += 1
        number = self._engine_count
        record = TargetRecord(
            identity=identity or f"engine-{number}",
            service=SERVICE,
            address=address or f"10.0.{number // 200}.{number % 200}:80",
            zone=zone,
            slots=self._profile.slots,
            kind=kind,
            layers=layers,
            is_placeable=True,
            born_ms=round(self.loop.time() * 1000) + 1,
        )
        engine = Engine(self.site, record)
        self.engines.append(engine)
        self.site.network.attach(engine)
        self.site.registry.publish(engine)
        return engine

    def crash_engine(self, engine, is_silent=False):
        """End the process of an engine without warning."""
        self.engines.remove(engine)
        engine.crash(is_silent)
        self.site.registry.remove_expired(engine)

    def restart_engine(self, engine, keeps_identity=False, layers=None):
        """Start a new process in place of one that has ended.

        Parameters
        ----------
        engine : Engine
            The one that has ended.
        keeps_identity : bool
            Whether the new process is registered under the old identity.
        layers : LayerRange, optional
            Layers that the new process holds; none by default.
        """
        record = engine.record
        self.site.network.detach(engine)
        self.add_engine(
            record.kind,
            record.zone,
            layers,
            record.address,
            record.identity if keeps_identity else None,
        )

    def end_engine_later(self, engine, seconds, down_seconds):
        """End the process of an engine, and start a new one in its place.

        Parameters
        ----------
        engine : Engine
            The engine; nothing happens if it has ended before.
        seconds, down_seconds : float
            Time until its end, and from there to the start.
        """
        self.loop.call_later(seconds, self._end_engine, engine, down_seconds)

    def _end_engine(self, engine, down_seconds):
        if engine not in self.engines:
            return
        self.site.fatal.ends.append(self.loop.time())
        self.crash_engine(engine)
        self.loop.call_later(down_seconds, self.restart_engine, engine)

    def stop_engine(self, engine):
        """End the process of an engine that was drained."""
        if engine in self.engines:
            self.engines.remove(engine)
            self.site.registry.remove(engine)
            engine.crash(is_silent=False)

    def start_hosts(self):
        """Start all hosts; the first one places layers."""
        self._incarnation += 1
        for number in range(self._scenario.hosts):
            self.hosts.append(self._start_host(number))
        self.hosts[0].election.is_chosen = True

    def restart_host(self, number):
        """End the process of a host without warning, and start another."""
        self._incarnation += 1
        ended = self.hosts[number]
        ended.stop()
        started = self._start_host(number)
        started.election.is_chosen = ended.election.is_chosen
        self.hosts[number] = started

    def cut_zone(self, zone):
        """Cut the hosts of a zone off from all other hosts.

        Parameters
        ----------
        zone : str or None
            The zone; None ends the cut.
        """
        in_touch_from = self.loop.time() + IN_TOUCH_SECONDS
        for host in self.hosts:
            if host.zone == zone:
                self._in_touch_from[host.name] = float("inf")
            elif host.zone == self._peers.cut_zone:
                self._in_touch_from[host.name] = in_touch_from
        self._peers.cut_zone = zone

    def silence_peers(self, seconds):
        """Lose all messages between hosts for a time."""
        self._peers.is_silent = True
        self.loop.call_later(seconds, self._peers.end_silence)

    def is_out_of_touch(self, arrival):
        """Return whether a `FatalArrival` is from a host out of touch.

        That is one that was started or cut off a short time before.
        """
        return arrival.at < self._in_touch_from.get(arrival.host, 0.0)

    def _start_host(self, number):
        zones = self._scenario.zone_names
        host = EmulatedHost(
            self.site,
            self._peers,
            f"host-{number:03d}",
            zones[number % len(zones)],
            self._policy,
            self._table,
            self._scenario.seed * 1000 + number,
        )
        host.context.load_policy = self._pattern.load_policy
        host.start(self._incarnation)
        self._in_touch_from[host.name] = self.loop.time() + IN_TOUCH_SECONDS
        return host

    def stop_hosts(self):
        """End the processes of all hosts without warning."""
        for host in self.hosts:
            host.stop()
        self.hosts.clear()

    async def _run(self):
        self._start_engines()
        self.start_hosts()
        reports = self.loop.create_task(self._update_reports())
        self._pattern.disturb(self)
        callers = [
            self.loop.create_task(self._send(request))
            for request in self._plan()
        ]
        try:
            return await asyncio.gather(*callers)
        finally:
            reports.cancel()
            self._check_tasks()
            self.stop_hosts()
            await asyncio.sleep(0)

    def _check_tasks(self):
        for host in self.hosts:
            host.check_tasks()

    def _plan(self):
        workload = Workload(
            classes=self._deployment.classes,
            customers=self._pattern.make_customers(),
            zones=self._scenario.zone_names,
            requests_per_second=(
                self._pattern.load * self.capacity.requests_per_second
            ),
            seconds=self._scenario.seconds - START_SECONDS,
        )
        requests = plan_requests(
            workload,
            lambda at, kind, customer: self._pattern.factor(
                START_SECONDS + at, kind, customer
            ),
            self._scenario.seed,
        )
        for request in requests:
            request.at += START_SECONDS
        return requests

    async def _send(self, request):
        await asyncio.sleep(request.at - self.loop.time())
        caller = self._pattern.make_caller(self, request)
        return await caller.run()

    def _start_engines(self):
        """Start all engines with the layers of the product's first layout."""
        for zone, kind in self._deployment.place_targets(
            self._scenario.targets, self._scenario.zone_names
        ):
            self.add_engine(kind, zone)
        records = [engine.record for engine in self.engines]
        layers = {
            order.identity: order.layers
            for order in choose_orders(records, self._profile)
        }
        for engine in self.engines:
            engine.record = msgspec.structs.replace(
                engine.record, layers=layers.get(engine.identity)
            )
            self.site.registry.publish(engine)
        self.capacity = estimate_capacity(
            [engine.record for engine in self.engines], self._profile
        )

    async def _update_reports(self):
        while True:
            for engine in self.engines:
                engine.update_report()
            await asyncio.sleep(REPORT_PERIOD_SECONDS)


def make_table(deployment, customers):
    """Return the `RouteTable` of a `Deployment` with customers."""
    routes = [
        Route(
            name=kind.name,
            host=HOST_NAME,
            prefix=f"/{kind.name}/",
            repeat=RepeatPolicy.STREAM,
            shares=(ServiceShare(SERVICE, 1.0),),
            timeout_seconds=kind.timeout_seconds,
            objective_seconds=kind.objective_seconds,
            pause_seconds=kind.pause_seconds,
            priority=kind.priority,
            max_attempts=MAX_ATTEMPTS,
            is_resumable=True,
        )
        for kind in deployment.classes
    ]
    return RouteTable(
        position=Position(1),
        version=1,
        routes=routes,
        services=[Service(name=SERVICE, engine=deployment.profile)],
        customers=[
            Customer(name=c.name, keys=frozenset([c.name])) for c in customers
        ],
    )
