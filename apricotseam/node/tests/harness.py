"""Whole processes on one loop, before stand-ins of the platform."""

import asyncio
import contextlib

from apricotseam.http1 import connect
from apricotseam.node import Node
from apricotseam.node import NodeSettings
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import users_configuration
from apricotseam.platform.standins import users_headers
from apricotseam.platform.standins import UsersStore
from apricotseam.platform.standins import UsersTarget
from apricotseam.web import free_address

WAIT_SECONDS = 5.0
STEP_SECONDS = 0.02


class Platform:
    """A store, targets and hosts.

    Parameters
    ----------
    engines, plains : int
        Number of targets of each service.
    hosts : int
        Number of hosts.
    """

    def __init__(self, engines=2, plains=2, hosts=1):
        self.doors = [free_address() for _ in range(hosts)]
        self.store = UsersStore(self.doors)
        self.engines = [
            UsersTarget(f"e{n}", free_address(), is_engine=True)
            for n in range(engines)
        ]
        self.plains = [
            UsersTarget(f"p{n}", free_address()) for n in range(plains)
        ]
        self.nodes = []
        self.settings = [self._settings(n) for n in range(hosts)]

    async def __aenter__(self):
        await self.store.start()
        for target in [*self.engines, *self.plains]:
            await target.start()
        self.declare(users_configuration())
        for target in self.plains:
            self.register(target)
        halves = [(0, LAYERS // 2), (LAYERS // 2, LAYERS)]
        for number, target in enumerate(self.engines):
            target.layers = halves[number % 2]
            self.register(target)
        for settings in self.settings:
            node = Node(settings)
            await node.start()
            self.nodes.append(node)
        await self.until(lambda: all(n.is_ready for n in self.nodes))
        await asyncio.sleep(STEP_SECONDS)
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            await node.abort()
        for part in [self.store, *self.engines, *self.plains]:
            part.stop()

    def declare(self, found):
        """Write a configuration."""
        self.store.declare(found)

    def register(self, target, **changes):
        """Write a target's entry."""
        self.store.register(target, **changes)

    async def until(self, condition):
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():
                await asyncio.sleep(STEP_SECONDS)

    async def ask(self, path, number=0, **headers):
        """Send a request to a host; return status, headers and body.

        A body that broke off ends with ``None``.
        """
        address = self.settings[number].callers_address
        loop = asyncio.get_running_loop()
        deadline = loop.time() + WAIT_SECONDS
        connection = await connect(address, deadline)
        try:
            connection.send(b"POST", path.encode(), users_headers(headers))
            answer = await connection.head(deadline)
            body = b""
            with contextlib.suppress(Exception):
                while data := await connection.read(deadline):
                    body += data
                return answer.status, answer, body
            return answer.status, answer, None
        finally:
            connection.close()

    def _settings(self, number):
        return NodeSettings(
            host=f"host-{number}",
            zone="a",
            callers_address=free_address(),
            readiness_address=free_address(),
            directory_address=free_address(),
            peers_address=free_address(),
            store_address=self.doors[number],
        )


def run(scenario, **options):
    """Run a coroutine function of a `Platform`; return its result."""

    async def whole():
        async with Platform(**options) as platform:
            return await scenario(platform)

    return asyncio.run(whole())
