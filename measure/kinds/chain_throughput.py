"""Tokens per second over the maximum-flow bound, mixed kinds and links."""

import threading
import time

import msgspec

from apricotseam.config import Choice
from apricotseam.errors import ApricotseamError
from apricotseam.external import HttpModelEngine
from apricotseam.host import _policy
from apricotseam.pipelines import plan_chains
from apricotseam.pipelines import Stage
from apricotseam.routing import ChainPlans
from apricotseam.standins import EngineOptions
from measure._engines import Cluster
from measure._engines import EngineProcess
from measure._figure import Figure
from measure._readers import TimedAnswer

LAYERS = 8
HALVES = ((0, 3), (4, 7))
KINDS = {"large": (8, 0.02), "medium": (4, 0.02), "small": (2, 0.02)}
KINDS["edge"] = (1, 0.02)
PLACES = (
    ("a", "large", 0),
    ("a", "small", 1),
    ("a", "edge", 1),
    ("b", "small", 0),
    ("b", "edge", 0),
    ("b", "large", 1),
    ("c", "medium", 0),
    ("c", "small", 1),
)
LINKS = (("a", "b", 200.0), ("a", "c", 20.0), ("b", "c", 2.0))
BASELINES = {
    "random": Choice.RANDOM,
    "round_robin": Choice.ROUND_ROBIN,
    "least_reported": Choice.LEAST_REPORTED,
}


class _Link:
    """Passes a bounded number of tokens a second, in order."""

    def __init__(self, rate):
        self._seconds = 1.0 / rate
        self._free = 0.0
        self._lock = threading.Lock()

    def cross(self):
        """Wait for one token's turn."""
        with self._lock:
            now = time.monotonic()
            self._free = max(now, self._free) + self._seconds
            free = self._free
        time.sleep(max(0.0, free - now))


class _LinkedEngine(HttpModelEngine):
    """Has hidden states cross links between availability zones."""

    zones = {}
    links = {}

    def __init__(self, client):
        super().__init__(client)
        self._last = {}

    def run_steps(self, address, steps, deadline):
        """Cross a link for each step that comes from another zone."""
        zone = self.zones[address]
        for step in steps:
            before = self._last.get(step.stream, zone)
            if step.first > 0 and before != zone:
                self.links[frozenset((before, zone))].cross()
            self._last[step.stream] = zone
        return super().run_steps(address, steps, deadline)

    def cancel(self, address, stream, deadline):
        """Drop a stream and what is known of it."""
        self._last.pop(stream, None)
        super().cancel(address, stream, deadline)


def run(parameters, variant, seed):
    """Return tokens per second with more streams than the bound needs.

    The variant ``unplanned`` chooses by least cost without a plan; the
    others name baselines of the choice of targets.
    """
    engines = [
        _engine(n, zone, kind, HALVES[half])
        for n, (zone, kind, half) in enumerate(PLACES)
    ]
    bound = _bound(engines)
    hosts = parameters["hosts"]
    zones = {engine.address: engine.zone for engine in engines}
    cluster = Cluster(
        engines,
        LAYERS,
        _accelerators(),
        _links(),
        zones=("a",) * hosts,
        in_process=False,
        choice=BASELINES.get(variant, Choice.LEAST_COST),
        prelude=(
            "from measure.kinds import chain_throughput\n"
            f"chain_throughput.install({zones!r}, {variant!r}, {hosts})"
        ),
    )
    with cluster:
        rate, broken, failed = _offer(cluster, parameters, seed)
    return [
        Figure(
            name="tokens per second over the maximum-flow bound",
            value=rate / bound,
            unit="",
            bound=0.95,
            is_upper=False,
        ),
        Figure(name="tokens per second", value=rate, unit="1/s"),
        Figure(name="maximum-flow bound", value=bound, unit="1/s"),
        Figure(name="answers that failed", value=failed, unit=""),
        Figure(
            name="answers with lost or repeated tokens",
            value=broken,
            unit="",
            bound=0.0,
        ),
    ]


def install(zones, variant, hosts):
    """Put links between this process and its engines.

    Parameters
    ----------
    zones : dict of str to str
        Availability zone of each engine's address.
    variant : str
        ``unplanned`` turns the plan off.
    hosts : int
        Hosts that share the links.
    """
    _LinkedEngine.zones = zones
    _LinkedEngine.links = {
        frozenset((a, b)): _Link(rate / hosts) for a, b, rate in LINKS
    }
    if _policy.HttpModelEngine is not HttpModelEngine:
        raise RuntimeError("the host does not make its engine client here")
    _policy.HttpModelEngine = _LinkedEngine
    if variant == "unplanned":
        ChainPlans.refresh = lambda self, *arguments: None


def _engine(number, zone, kind, layers):
    batch, seconds = KINDS[kind]
    options = EngineOptions(
        name=f"e{number}",
        model="m",
        version="v1",
        layers=LAYERS,
        first=layers[0],
        last=layers[1],
        accelerator=kind,
        step_seconds=seconds,
        max_batch=batch,
    )
    return EngineProcess(options, zone)


def _accelerators():
    held = LAYERS // 2
    return [
        {
            "name": kind,
            "layer_tokens_per_second": held * batch / seconds,
            "memory_layers": held,
        }
        for kind, (batch, seconds) in KINDS.items()
    ]


def _links():
    return [
        {
            "between": [a, b],
            "tokens_per_second": rate,
            "latency_milliseconds": 0.3,
        }
        for a, b, rate in LINKS
    ]


def _bound(engines):
    """Return the maximum flow of the hardware in tokens per second."""
    stages = []
    rates = {}
    for engine in engines:
        options = engine.options
        batch, seconds = KINDS[options.accelerator]
        rates[options.name] = batch / seconds
        layers = (options.first, options.last)
        stages.append(
            Stage(options.name, engine.address, engine.zone, *layers)
        )
    model = msgspec.defstruct("Model", [("name", str), ("layers", int)])
    links = {frozenset((a, b)): rate for a, b, rate in LINKS}
    return plan_chains(model("m", LAYERS), "v1", stages, rates, links).bound


def _offer(cluster, parameters, seed):
    """Keep a number of streams under way and count what arrives."""
    begin = time.monotonic()
    start = begin + parameters["warm_seconds"]
    end = start + parameters["seconds"]
    counts = []
    threads = [
        threading.Thread(
            target=_repeat,
            args=(cluster, parameters, f"{seed}-{n}", end, counts),
        )
        for n in range(parameters["streams"])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    times = [t for reader in counts for t in reader.times]
    broken = sum(not reader.is_right for reader in counts)
    failed = sum(not reader.is_whole for reader in counts)
    inside = sum(start <= t < end for t in times)
    return inside / parameters["seconds"], broken, failed


def _repeat(cluster, parameters, label, end, readers):
    number = 0
    addresses = list(cluster.addresses)
    while time.monotonic() < end:
        number += 1
        addresses.append(addresses.pop(0))
        reader = TimedAnswer(
            list(addresses),
            f"{label}-{number}",
            parameters["tokens"],
            LAYERS,
        ).start()
        reader.join()
        readers.append(reader)
        if reader.error is not None:
            _back_off(reader.error)


def _back_off(error):
    """Wait as a refusal says."""
    if isinstance(error, ApricotseamError):
        time.sleep(min(1.0, error.retry_after or 0.2))
