"""Throughput of mixed accelerators and links against the maximum flow."""

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
LAYER_HALVES = ((0, 3), (4, 7))
# Batch size and seconds of a step, by name of the accelerator.
ACCELERATORS = {"large": (8, 0.02), "medium": (4, 0.02), "small": (2, 0.02)}
ACCELERATORS["edge"] = (1, 0.02)
# Availability zone, accelerator and index in LAYER_HALVES of each engine.
ENGINE_PLACEMENT = (
    ("a", "large", 0),
    ("a", "small", 1),
    ("a", "edge", 1),
    ("b", "small", 0),
    ("b", "edge", 0),
    ("b", "large", 1),
    ("c", "medium", 0),
    ("c", "small", 1),
)
# Two zones and the tokens per second of the link between them.
LINKS = (("a", "b", 200.0), ("a", "c", 20.0), ("b", "c", 2.0))
BASELINES = {
    "random": Choice.RANDOM,
    "round_robin": Choice.ROUND_ROBIN,
    "least_reported": Choice.LEAST_REPORTED,
}


class _LinkLimiter:
    """Lets a bounded number of tokens a second cross a link, in order."""

    def __init__(self, rate):
        self._seconds = 1.0 / rate
        self._next_free = 0.0
        self._lock = threading.Lock()

    def wait_turn(self):
        """Wait until one more token may cross."""
        with self._lock:
            now = time.monotonic()
            self._next_free = max(now, self._next_free) + self._seconds
            turn = self._next_free
        time.sleep(max(0.0, turn - now))


class _LinkLimitedEngine(HttpModelEngine):
    """Delays steps whose hidden state comes from another zone.

    ``zones`` gives the availability zone of an engine by its address,
    ``links`` the `_LinkLimiter` between two zones.
    """

    zones = {}
    links = {}

    def __init__(self, client):
        super().__init__(client)
        self._last_zones = {}

    def run_steps(self, address, steps, deadline):
        """Run steps; wait for the link for each from another zone."""
        zone = self.zones[address]
        for step in steps:
            previous_zone = self._last_zones.get(step.stream, zone)
            if step.first > 0 and previous_zone != zone:
                self.links[frozenset((previous_zone, zone))].wait_turn()
            self._last_zones[step.stream] = zone
        return super().run_steps(address, steps, deadline)

    def cancel(self, address, stream, deadline):
        """Cancel a stream and forget its last zone."""
        self._last_zones.pop(stream, None)
        super().cancel(address, stream, deadline)


def run(parameters, variant, seed):
    """Return the throughput with more streams than the engines can run.

    The variant ``product`` chooses by least cost along a planned flow,
    ``unplanned`` by least cost without a plan, and the others by the policy
    that `BASELINES` gives.
    """
    engines = [
        _engine(n, zone, kind, LAYER_HALVES[half])
        for n, (zone, kind, half) in enumerate(ENGINE_PLACEMENT)
    ]
    bound = _maximum_flow(engines)
    hosts = parameters["hosts"]
    zones = {engine.address: engine.zone for engine in engines}
    cluster = Cluster(
        engines,
        LAYERS,
        _accelerator_rows(),
        _link_rows(),
        zones=("a",) * hosts,
        in_process=False,
        choice=BASELINES.get(variant, Choice.LEAST_COST),
        prelude=(
            "from measure.kinds import chain_throughput\n"
            f"chain_throughput.install({zones!r}, {variant!r}, {hosts})"
        ),
    )
    with cluster:
        rate, broken, failed = _measure_throughput(cluster, parameters, seed)
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
    """Limit the links between zones in this host process.

    Parameters
    ----------
    zones : dict of str to str
        Availability zone of each engine's address.
    variant : str
        ``unplanned`` turns the plan off.
    hosts : int
        Hosts that share the links; each gets an equal part of the rates.
    """
    _LinkLimitedEngine.zones = zones
    _LinkLimitedEngine.links = {
        frozenset((a, b)): _LinkLimiter(rate / hosts) for a, b, rate in LINKS
    }
    if _policy.HttpModelEngine is not HttpModelEngine:
        raise RuntimeError("the host policy does not use HttpModelEngine")
    _policy.HttpModelEngine = _LinkLimitedEngine
    if variant == "unplanned":
        ChainPlans.refresh = lambda self, *arguments: None


def _engine(number, zone, kind, layers):
    batch, seconds = ACCELERATORS[kind]
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


def _accelerator_rows():
    held_layers = LAYERS // 2
    return [
        {
            "name": kind,
            "layer_tokens_per_second": held_layers * batch / seconds,
            "memory_layers": held_layers,
        }
        for kind, (batch, seconds) in ACCELERATORS.items()
    ]


def _link_rows():
    return [
        {
            "between": [a, b],
            "tokens_per_second": rate,
            "latency_milliseconds": 0.3,
        }
        for a, b, rate in LINKS
    ]


def _maximum_flow(engines):
    """Return the maximum flow of engines and links in tokens per second.

    It is an upper bound of the throughput.
    """
    stages = []
    rates = {}
    for engine in engines:
        options = engine.options
        batch, seconds = ACCELERATORS[options.accelerator]
        rates[options.name] = batch / seconds
        layers = (options.first, options.last)
        stages.append(
            Stage(options.name, engine.address, engine.zone, *layers)
        )
    model = msgspec.defstruct("Model", [("name", str), ("layers", int)])
    links = {frozenset((a, b)): rate for a, b, rate in LINKS}
    return plan_chains(model("m", LAYERS), "v1", stages, rates, links).bound


def _measure_throughput(cluster, parameters, seed):
    """Keep a number of streams open and count the tokens that arrive.

    Returns
    -------
    float
        Tokens per second after the warm-up.
    int
        Answers with lost or repeated tokens.
    int
        Answers that are incomplete or wrong.
    """
    started = time.monotonic()
    window_start = started + parameters["warm_seconds"]
    window_end = window_start + parameters["seconds"]
    readers = []
    threads = [
        threading.Thread(
            target=_run_answers,
            args=(cluster, parameters, f"{seed}-{n}", window_end, readers),
        )
        for n in range(parameters["streams"])
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    token_times = [t for reader in readers for t in reader.times]
    broken = sum(not reader.is_complete_so_far for reader in readers)
    failed = sum(not reader.is_complete for reader in readers)
    tokens_in_window = sum(window_start <= t < window_end for t in token_times)
    return tokens_in_window / parameters["seconds"], broken, failed


def _run_answers(cluster, parameters, label, end, readers):
    """Read answers one after another until the end of the measurement."""
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
    """Wait as long as a refusal asks for, at most one second.

    If it gives no time, wait 0.2 s.
    """
    if isinstance(error, ApricotseamError):
        time.sleep(min(1.0, error.retry_after or 0.2))
