"""What the product adds to each token against calling engines directly."""

import concurrent.futures
import resource
import time

from apricotseam.external import HttpModelEngine
from apricotseam.external import Step
from apricotseam.pipelines import _carrier
from apricotseam.web import HttpClient
from measure._engines import Cluster
from measure._engines import even_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

RANGES = ((0, 3), (4, 7))
LAYERS = 8
UNBOUNDED_CALLS = 1 << 30


class _Sample:
    """Gaps between tokens, processor time and calls of one way."""

    def __init__(self, gaps, seconds, tokens, calls=0, broken=0):
        self.gaps = gaps
        self.processor = seconds / tokens
        self.calls = calls / tokens
        self.broken = broken


def run(parameters, variant, seed):
    """Return delay and processor time per token as ratios to direct.

    The variant ``one_call_per_step`` never lets steps share a call;
    ``wait_for_slot`` has them wait until one of two calls ended.
    """
    defaults = _carrier.StepCarrier.__init__.__defaults__
    changed = {
        "one_call_per_step": (UNBOUNDED_CALLS, 64, 0.0),
        "wait_for_slot": (2, 64, 0.0),
        "gather_2_ms": (8, 64, 0.002),
        "gather_4_ms": (8, 64, 0.004),
    }
    _carrier.StepCarrier.__init__.__defaults__ = changed.get(variant, defaults)
    try:
        with _cluster(parameters) as cluster:
            return _compare(cluster, parameters, seed)
    finally:
        _carrier.StepCarrier.__init__.__defaults__ = defaults


def _cluster(parameters):
    engines = even_engines(RANGES, LAYERS, 1, parameters["step_seconds"])
    return Cluster(engines, LAYERS)


def _compare(cluster, parameters, seed):
    figures = []
    for streams in parameters["streams"]:
        direct = _direct(cluster, streams, parameters["tokens"])
        product = _product(cluster, streams, parameters["tokens"], seed)
        label = f"{streams} streams"
        rows = [
            (
                "time between tokens, 95th percentile, over direct",
                percentile(product.gaps, 0.95) / percentile(direct.gaps, 0.95),
                "",
            ),
            (
                "time between tokens, mean, over direct",
                _mean(product.gaps) / _mean(direct.gaps),
                "",
            ),
            (
                "time between tokens, 95th percentile",
                percentile(product.gaps, 0.95),
                "s",
            ),
            (
                "processor time per token over direct",
                product.processor / direct.processor,
                "",
            ),
            ("processor time per token", product.processor, "s"),
            ("calls to engines per token", product.calls, ""),
            ("answers with lost or repeated tokens", product.broken, ""),
        ]
        figures += [
            Figure(name=f"{label}: {name}", value=value, unit=unit)
            for name, value, unit in rows
        ]
    return figures


def _direct(cluster, streams, tokens):
    engine = HttpModelEngine(HttpClient())
    used = _used()
    with concurrent.futures.ThreadPoolExecutor(streams) as pool:
        futures = [
            pool.submit(_direct_stream, engine, cluster.engines, n, tokens)
            for n in range(streams)
        ]
        times = [future.result() for future in futures]
    return _Sample(_gaps(times), _used() - used, streams * tokens)


def _direct_stream(engine, targets, number, tokens):
    stream = f"direct-{number}-{time.monotonic_ns()}"
    payload = "hello"
    times = []
    for position in range(tokens):
        for target in targets:
            options = target.options
            step = Step(
                stream=stream,
                attempt=1,
                position=position,
                payload=payload,
                model="m",
                version="v1",
                first=options.first,
                last=options.last,
            )
            (result,) = engine.run_steps(target.address, [step], None)
            payload = result.payload
        payload = result.token
        times.append(time.monotonic())
    return times


def _product(cluster, streams, tokens, seed):
    carriers = _watch_calls()
    used = _used()
    readers = [
        TimedAnswer(
            cluster.addresses, f"{seed}-{streams}-{n}", tokens, LAYERS
        ).start()
        for n in range(streams)
    ]
    for reader in readers:
        reader.join()
    seconds = _used() - used
    calls = carriers()
    broken = sum(not reader.is_whole for reader in readers)
    times = [reader.times for reader in readers]
    return _Sample(_gaps(times), seconds, streams * tokens, calls, broken)


def _watch_calls():
    """Return a function that tells the calls made since now."""
    counter = _carrier.STEP_CALLS
    before = counter._value.get()
    return lambda: counter._value.get() - before


def _gaps(all_times):
    return [
        after - before
        for times in all_times
        for before, after in zip(times, times[1:], strict=False)
    ]


def _mean(values):
    return sum(values) / len(values)


def _used():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
