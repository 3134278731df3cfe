"""Runs nodes on one event loop against a simulated platform."""

import asyncio
import contextlib

from apricotseam.http1 import connect
from apricotseam.node import Node
from apricotseam.node import NodeSettings
from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

TIMEOUT_SECONDS = 5.0
POLL_SECONDS = 0.02


class SimulatedPlatform:
    """A simulated store and targets, and nodes that use them.

    Parameters
    ----------
    engine_targets, plain_targets : int
        Number of targets of the engine and of the plain service.
    hosts : int
        Number of nodes.
    """

    def __init__(self, engine_targets=2, plain_targets=2, hosts=1):
        self.store_addresses = [free_address() for _ in range(hosts)]
        self.store = StoreStandIn(self.store_addresses)
        self.engine_targets = [
            TargetStandIn(f"e{n}", free_address(), is_engine=True)
            for n in range(engine_targets)
        ]
        self.plain_targets = [
            TargetStandIn(f"p{n}", free_address())
            for n in range(plain_targets)
        ]
        self.nodes = []
        self.settings = [self._settings(n) for n in range(hosts)]

    async def __aenter__(self):
        await self.store.start()
        for target in [*self.engine_targets, *self.plain_targets]:
            await target.start()
        self.set_configuration(sample_configuration())
        for target in self.plain_targets:
            self.register(target)
        layer_ranges = [(0, LAYERS // 2), (LAYERS // 2, LAYERS)]
        for index, target in enumerate(self.engine_targets):
            target.layers = layer_ranges[index % 2]
            self.register(target)
        for settings in self.settings:
            node = Node(settings)
            await node.start()
            self.nodes.append(node)
        await self.wait_until(lambda: all(n.is_ready for n in self.nodes))
        await asyncio.sleep(POLL_SECONDS)
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            await node.abort()
        for server in [self.store, *self.engine_targets, *self.plain_targets]:
            server.stop()

    def set_configuration(self, configuration):
        """Write a configuration to the store."""
        self.store.write_configuration(configuration)

    def register(self, target, **changes):
        """Write a target's entry to the store."""
        self.store.register(target, **changes)

    async def wait_until(self, condition):
        """Poll a condition, at most for ``TIMEOUT_SECONDS``."""
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(POLL_SECONDS)

    async def send_request(self, path, host_index=0, **headers):
        """Send a request to a host; return status, response head and body.

        The body is ``None`` if the connection was cut before its end.
        """
        address = self.settings[host_index].callers_address
        loop = asyncio.get_running_loop()
        deadline = loop.time() + TIMEOUT_SECONDS
        connection = await connect(address, deadline)
        try:
            connection.send(b"POST", path.encode(), caller_headers(headers))
            answer = await connection.head(deadline)
            body = b""
            with contextlib.suppress(Exception):
                while data := await connection.read(deadline):
                    body += data
                return answer.status, answer, body
            return answer.status, answer, None
        finally:
            connection.close()

    def _settings(self, host_index):
        return NodeSettings(
            host=f"host-{host_index}",
            zone="a",
            callers_address=free_address(),
            readiness_address=free_address(),
            directory_address=free_address(),
            peers_address=free_address(),
            relay_address=free_address(),
            store_address=self.store_addresses[host_index],
        )


def run(scenario, **options):
    """Run a coroutine function on a `SimulatedPlatform`; return its result."""

    async def run_scenario():
        async with SimulatedPlatform(**options) as platform:
            return await scenario(platform)

    return asyncio.run(run_scenario())
