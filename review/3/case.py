"""Servers whose card has room for one layer only are added."""

import asyncio
import collections
import json
import pathlib
import time

from apricotseam.platform.standins import ENGINE_SERVICE
from apricotseam.platform.standins import TargetStandIn
from review import harness

LAYERS = 20
LAYER_MB = 12_000.0
# The kinds a100 and v100 of the site file halden-jordan-grown.
KINDS = {"a100": 72_000.0, "v100": 14_000.0}
SERVERS = 6
# scale_out: share 0.3 more servers.
ADDED = 2
LOAD_SECONDS = 0.3
CLIENTS_PER_HOST = 4
ADDED_AT_SECONDS = 5.0
PLAY_SECONDS = 75.0
RESTART_SECONDS = 0.5
# Fault: three ends on each of two machines.
ENDS = 3
MACHINES = 2


class Engine(TargetStandIn):
    """A model server with a card of one of the kinds."""

    def __init__(self, number, address, kind):
        super().__init__(f"i-{number:08x}", address, is_engine=True)
        self.kind = kind
        self.slots = 96
        self.events = 20
        self.event_seconds = 0.03

    def entry(self, state="ready", born=None):
        """Return its store entry."""
        fields = json.loads(super().entry(state, born))
        fields.update(Zone="zone-a", RouteKind=self.kind)
        return json.dumps(fields).encode()


def configuration(deployment):
    """Return a configuration with one model."""
    kinds = [
        {"Name": name, "SizeMb": size, "pace": 2.4, "ReadFactor": 3.2}
        for name, size in KINDS.items()
    ]
    engine = {
        "Slots": 96,
        "KvTokenBytes": 160_000.0,
        "Stride": 1,
        "Models": [{"Name": "m0", "LoadS": LOAD_SECONDS}],
        "step_ms": 1.02,
        "read_per_s": 105_000.0,
        "usual": {"prompt": 760, "answer": 57},
        "Layers": LAYERS,
        "LayerMb": LAYER_MB,
        "Kinds": kinds,
    }
    route = harness.route(
        "/chat/",
        "streaming",
        ENGINE_SERVICE,
        Resumable=True,
        Sticky=True,
        MaxAttempts=2,
    )
    made = deployment.configuration([route], ())
    made["Services"] = [{"Name": ENGINE_SERVICE, "Engine": engine}]
    return made


async def add(deployment, kind):
    """Start an empty server and register it."""
    number = len(deployment.engines) + 1
    engine = Engine(number, deployment.ports.take(), kind)
    deployment.engines.append(engine)
    loop = asyncio.get_running_loop()

    def load(target):
        loop.call_later(LOAD_SECONDS, deployment.store.register, target)

    engine.on_layers_changed = load
    await engine.start()
    deployment.store.register(engine)
    deployment.record.note(f"server {engine.identity} ({kind}) is added")


async def keep_running(deployment, host):
    """Start the process of a host again whenever it has ended."""
    seeds = [h.peers for h in deployment.hosts]
    while True:
        await asyncio.sleep(0.05)
        code = host.process.poll()
        if code is None:
            continue
        deployment.ends[host.name] += 1
        deployment.record.note(f"{host.name} ends by itself with {code}")
        await asyncio.sleep(RESTART_SECONDS)
        host.start(seeds)


async def play():
    """Play the case."""
    deployment = harness.Deployment()
    deployment.engines = []
    deployment.ends = collections.Counter()
    try:
        await deployment.store.start()
        for _ in range(SERVERS):
            await add(deployment, "a100")
        await deployment.start(configuration(deployment), has_store=True)
        until = time.monotonic() + PLAY_SECONDS
        keepers = [
            asyncio.create_task(keep_running(deployment, host))
            for host in deployment.hosts
        ]
        async with asyncio.TaskGroup() as group:
            for host in deployment.hosts:
                for _ in range(CLIENTS_PER_HOST):
                    group.create_task(
                        deployment.client(host, "/chat/1", until, 0.2)
                    )
            await asyncio.sleep(ADDED_AT_SECONDS)
            if harness.is_disturbed():
                for _ in range(ADDED):
                    await add(deployment, "v100")
        for keeper in keepers:
            keeper.cancel()
    finally:
        deployment.stop()
        for engine in deployment.engines:
            engine.stop()
    return deployment


def judge(deployment):
    """Return the fault, if there is one."""
    counts = collections.Counter(
        f"{a.status} {a.outcome}" for a in deployment.attempts
    )
    print(dict(counts))
    print(f"ends: {dict(deployment.ends)}")
    often = [name for name, n in deployment.ends.items() if n >= ENDS]
    if len(often) < MACHINES:
        return []
    return [
        f"Fault: on {name} processes ended by themselves"
        f" {deployment.ends[name]} times"
        for name in sorted(often)
    ]


if __name__ == "__main__":
    harness.run_case(play, judge, pathlib.Path(__file__).parent)
