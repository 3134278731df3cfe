"""The system under test: platform stand-ins, proxies and hosts."""

import asyncio

from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from soak._addresses import AddressAllocator
from soak._hosts import HostProcess
from soak._invariants import EVENTS_PER_STREAM
from soak._proxy import Proxy
from soak._records import Execution
from soak._records import RunRecords

# Time between two events of a stream.
EVENT_INTERVAL_SECONDS = 0.03
# Time from an order to load other layers until they are registered.
LAYER_LOAD_SECONDS = 0.2
# Time after a crash at which the registration of the target expires.
REGISTRATION_EXPIRY_SECONDS = 1.0


class ProxiedTarget:
    """The stand-in of a target and the proxy through which it is reached.

    Parameters
    ----------
    identity : str
        Identity under which the target is registered.
    is_engine : bool
        Whether it is an engine, which holds layers of the model; otherwise
        it is a plain service.
    allocator : AddressAllocator
        Provides the addresses of the stand-in and of the proxy.
    """

    def __init__(self, identity, is_engine, allocator):
        self.standin = TargetStandIn(identity, allocator.allocate(), is_engine)
        self.standin.events = EVENTS_PER_STREAM
        self.standin.event_seconds = EVENT_INTERVAL_SECONDS
        self.proxy = Proxy(allocator.allocate(), self.standin.address)
        self.standin.advertised_address = self.proxy.address
        self.is_up = False
        self.is_draining = False


class Cluster:
    """The store, the targets and the hosts of one run.

    Each host reaches the store at an address of its own and through a proxy
    of its own, so that a fault can affect the store for a single host.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the settings and logs of the hosts.
    hosts, engines, plain_targets : int
        Number of hosts, of engines and of plain services.
    """

    def __init__(self, folder, hosts=3, engines=6, plain_targets=3):
        self._allocator = allocator = AddressAllocator()
        self.records = RunRecords()
        self.configuration_version = 1
        store_addresses = [allocator.allocate() for _ in range(hosts)]
        self.store = StoreStandIn(store_addresses)
        self.store_proxies = [
            Proxy(allocator.allocate(), address) for address in store_addresses
        ]
        self.store_addresses = store_addresses
        self.hosts = [
            HostProcess(n, proxy.address, folder, self.records, allocator)
            for n, proxy in enumerate(self.store_proxies)
        ]
        self.targets = [
            ProxiedTarget(f"e{n}", True, allocator) for n in range(engines)
        ]
        self.targets += [
            ProxiedTarget(f"p{n}", False, allocator)
            for n in range(plain_targets)
        ]
        self._tasks = set()
        halves = [(0, LAYERS // 2), (LAYERS // 2, LAYERS)]
        for number in range(engines):
            self.targets[number].standin.layers = halves[number % 2]

    async def start(self):
        """Start the store, the targets, the proxies and the hosts."""
        await self.store.start()
        for proxy in self.store_proxies:
            await proxy.start()
        for target in self.targets:
            target.standin.is_blocked = self._is_chain_blocked
            target.standin.on_layers_changed = self._schedule_registration
            await target.proxy.start()
            await self.start_target(target)
        self.publish_configuration()
        for host in self.hosts:
            host.start()

    def stop(self):
        """Stop everything that was started, and collect the executions."""
        for host in self.hosts:
            host.kill()
        for task in self._tasks:
            task.cancel()
        for target in self.targets:
            self._collect_executions(target)
            target.standin.stop()
            target.proxy.stop()
        for proxy in self.store_proxies:
            proxy.stop()
        self.store.stop()
        self._allocator.release()

    def publish_configuration(self):
        """Write a new configuration version with a route of its own.

        Requests to this route succeed only on hosts that have applied the
        version.
        """
        self.configuration_version += 1
        prefix = f"/read/v{self.configuration_version}/"
        configuration = sample_configuration(
            self.configuration_version,
            [sample_route(prefix, "safe", "plain")],
        )
        self.store.write_configuration(configuration)
        self.records.newest_route_path = f"{prefix}x"

    def register(self, target):
        """Write the registration of a target to the store."""
        state = "draining" if target.is_draining else "ready"
        self.store.register(target.standin, state=state)

    async def start_target(self, target):
        """Start a target and register it."""
        await target.standin.start()
        target.is_up = True
        self.register(target)

    def crash_target(self, target):
        """Stop a target; its registration expires later."""
        self._collect_executions(target)
        target.standin.stop()
        target.is_up = False
        target.standin.restart()
        self.call_later(
            REGISTRATION_EXPIRY_SECONDS, self._expire_registration, target
        )

    def call_later(self, delay_seconds, function, *arguments):
        """Call a function after a delay."""

        async def wait():
            await asyncio.sleep(delay_seconds)
            function(*arguments)

        task = asyncio.get_running_loop().create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _expire_registration(self, target):
        """Remove the registration of a target that is still down."""
        if not target.is_up:
            self.store.remove(target.standin)

    def _schedule_registration(self, standin):
        """Register a target with its new layers once they are loaded."""
        target = next(t for t in self.targets if t.standin is standin)
        self.call_later(LAYER_LOAD_SECONDS, self._register_if_up, target)

    def _register_if_up(self, target):
        if target.is_up:
            self.register(target)

    def _is_chain_blocked(self, chain):
        """Return whether a target of a chain is down, silent or unknown.

        Parameters
        ----------
        chain : str or None
            Stages separated by commas, each as ``address=first-last``.
        """
        by_address = {t.proxy.address: t for t in self.targets}
        for stage in filter(None, (chain or "").split(",")):
            target = by_address.get(stage.partition("=")[0])
            if target is None or not target.is_up:
                return True
            if target.standin.is_paused:
                return True
        return False

    def _collect_executions(self, target):
        """Move the executions noted by a stand-in to the run's records."""
        standin = target.standin
        for request_id in standin.runs:
            chain = standin.chains.get(request_id) or ""
            execution = Execution(request_id, standin.identity, chain)
            self.records.executions.append(execution)
        standin.runs.clear()
