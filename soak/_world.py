"""The platform's stand-ins, the links to them, and the hosts."""

import asyncio

from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import users_configuration
from apricotseam.platform.standins import users_route
from apricotseam.platform.standins import UsersStore
from apricotseam.platform.standins import UsersTarget
from soak._addresses import Addresses
from soak._hosts import HostProcess
from soak._promises import EVENTS
from soak._proxy import Proxy
from soak._records import Records
from soak._records import Run

EVENT_SECONDS = 0.03
LOAD_SECONDS = 0.2
LAPSE_SECONDS = 1.0


class Backend:
    """A target's stand-in and the link to it.

    Parameters
    ----------
    identity : str
        Its identity.
    is_engine : bool
        Whether it holds layers.
    addresses : Addresses
        Where it may listen.
    """

    def __init__(self, identity, is_engine, addresses):
        self.target = UsersTarget(identity, addresses.take(), is_engine)
        self.target.events = EVENTS
        self.target.event_seconds = EVENT_SECONDS
        self.link = Proxy(addresses.take(), self.target.address)
        self.target.reached_at = self.link.address
        self.is_up = False
        self.is_draining = False


class World:
    """All parts of a run.

    Parameters
    ----------
    folder : pathlib.Path
        Where hosts write their logs.
    hosts, engines, plains : int
        How many there are.
    """

    def __init__(self, folder, hosts=3, engines=6, plains=3):
        self._addresses = addresses = Addresses()
        self.records = Records()
        self.version = 1
        doors = [addresses.take() for _ in range(hosts)]
        self.store = UsersStore(doors)
        self.store_links = [Proxy(addresses.take(), door) for door in doors]
        self.doors = doors
        self.hosts = [
            HostProcess(n, link.address, folder, self.records, addresses)
            for n, link in enumerate(self.store_links)
        ]
        self.backends = [
            Backend(f"e{n}", True, addresses) for n in range(engines)
        ]
        self.backends += [
            Backend(f"p{n}", False, addresses) for n in range(plains)
        ]
        self._tasks = set()
        halves = [(0, LAYERS // 2), (LAYERS // 2, LAYERS)]
        for number in range(engines):
            self.backends[number].target.layers = halves[number % 2]

    async def start(self):
        """Start everything."""
        await self.store.start()
        for link in self.store_links:
            await link.start()
        for backend in self.backends:
            backend.target.is_blocked = self._is_blocked
            backend.target.on_layers = self._load
            await backend.link.start()
            await self.raise_up(backend)
        self.declare()
        for host in self.hosts:
            host.start()

    def stop(self):
        """End everything that was started."""
        for host in self.hosts:
            host.kill()
        for task in self._tasks:
            task.cancel()
        for backend in self.backends:
            self._collect(backend)
            backend.target.stop()
            backend.link.stop()
        for link in self.store_links:
            link.stop()
        self.store.stop()
        self._addresses.release()

    def declare(self):
        """Write a configuration with a route of its own."""
        self.version += 1
        prefix = f"/read/v{self.version}/"
        found = users_configuration(
            self.version, [users_route(prefix, "safe", "plain")]
        )
        self.store.declare(found)
        self.records.newest_path = f"{prefix}x"

    def register(self, backend):
        """Write a target's entry."""
        state = "draining" if backend.is_draining else "ready"
        self.store.register(backend.target, state=state)

    async def raise_up(self, backend):
        """Start a target and enter it."""
        await backend.target.start()
        backend.is_up = True
        self.register(backend)

    def crash(self, backend):
        """End a target; its entry lapses later."""
        self._collect(backend)
        backend.target.stop()
        backend.is_up = False
        backend.target.restart()
        self.later(LAPSE_SECONDS, self._lapse, backend)

    def later(self, seconds, act, *arguments):
        """Do something after a time."""

        async def wait():
            await asyncio.sleep(seconds)
            act(*arguments)

        task = asyncio.get_running_loop().create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _lapse(self, backend):
        if not backend.is_up:
            self.store.remove(backend.target)

    def _load(self, target):
        """Enter a target's new layers when they are loaded."""
        backend = next(b for b in self.backends if b.target is target)
        self.later(LOAD_SECONDS, self._enter, backend)

    def _enter(self, backend):
        if backend.is_up:
            self.register(backend)

    def _is_blocked(self, chain):
        """Return whether a target of a chain is out of reach."""
        by_address = {b.link.address: b for b in self.backends}
        for stage in filter(None, (chain or "").split(",")):
            backend = by_address.get(stage.partition("=")[0])
            if backend is None or not backend.is_up:
                return True
        return False

    def _collect(self, backend):
        target = backend.target
        for request_id in target.runs:
            chain = target.chains.get(request_id) or ""
            run = Run(request_id, target.identity, chain)
            self.records.runs.append(run)
        target.runs.clear()
