"""Delay and processor time per token, against calling engines directly."""

import concurrent.futures
import resource
import time

from apricotseam.external import HttpModelEngine
from apricotseam.external import Step
from apricotseam.pipelines import _carrier
from apricotseam.web import HttpClient
from measure._engines import Cluster
from measure._engines import replicated_engines
from measure._figure import Figure
from measure._readers import percentile
from measure._readers import TimedAnswer

LAYER_RANGES = ((0, 3), (4, 7))
LAYERS = 8
UNLIMITED_CALLS = 1 << 30


class _Measurement:
    """What was measured of one way of calling the engines.

    Parameters
    ----------
    gaps : list of float
        Seconds between consecutive tokens of a stream.
    seconds : float
        Processor time of this process in seconds.
    tokens : int
        Tokens of all streams.
    calls : int
        Calls to engines.
    broken_answers : int
        Answers with lost or repeated tokens.
    """

    def __init__(self, gaps, seconds, tokens, calls=0, broken_answers=0):
        self.gaps = gaps
        self.seconds_per_token = seconds / tokens
        self.calls_per_token = calls / tokens
        self.broken_answers = broken_answers


def run(parameters, variant, seed):
    """Return delay and processor time per token, and ratios to direct calls.

    Direct calls send each step to its engine without a router. The variant
    ``one_call_per_step`` never lets steps share a call; ``wait_for_slot``
    has them wait until one of two calls ended; ``gather_2_ms`` and
    ``gather_4_ms`` wait that long for steps of other streams.
    """
    defaults = _carrier.StepBatcher.__init__.__defaults__
    # Values of max_calls, max_steps and gather_seconds.
    overrides = {
        "one_call_per_step": (UNLIMITED_CALLS, 64, 0.0),
        "wait_for_slot": (2, 64, 0.0),
        "gather_2_ms": (8, 64, 0.002),
        "gather_4_ms": (8, 64, 0.004),
    }
    _carrier.StepBatcher.__init__.__defaults__ = overrides.get(
        variant, defaults
    )
    try:
        with _cluster(parameters) as cluster:
            return _compare_with_direct(cluster, parameters, seed)
    finally:
        _carrier.StepBatcher.__init__.__defaults__ = defaults


def _cluster(parameters):
    engines = replicated_engines(
        LAYER_RANGES, LAYERS, 1, parameters["step_seconds"]
    )
    return Cluster(engines, LAYERS)


def _compare_with_direct(cluster, parameters, seed):
    figures = []
    for streams in parameters["streams"]:
        direct = _measure_direct(cluster, streams, parameters["tokens"])
        product = _measure_product(
            cluster, streams, parameters["tokens"], seed
        )
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
                product.seconds_per_token / direct.seconds_per_token,
                "",
            ),
            ("processor time per token", product.seconds_per_token, "s"),
            ("calls to engines per token", product.calls_per_token, ""),
            (
                "answers with lost or repeated tokens",
                product.broken_answers,
                "",
            ),
        ]
        figures += [
            Figure(name=f"{label}: {name}", value=value, unit=unit)
            for name, value, unit in rows
        ]
    return figures


def _measure_direct(cluster, streams, tokens):
    engine = HttpModelEngine(HttpClient())
    used_before = _processor_seconds()
    with concurrent.futures.ThreadPoolExecutor(streams) as pool:
        futures = [
            pool.submit(_run_direct_stream, engine, cluster.engines, n, tokens)
            for n in range(streams)
        ]
        times = [future.result() for future in futures]
    return _Measurement(
        _gaps(times), _processor_seconds() - used_before, streams * tokens
    )


def _run_direct_stream(engine, targets, number, tokens):
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


def _measure_product(cluster, streams, tokens, seed):
    calls_since_start = _count_calls()
    used_before = _processor_seconds()
    readers = [
        TimedAnswer(
            cluster.addresses, f"{seed}-{streams}-{n}", tokens, LAYERS
        ).start()
        for n in range(streams)
    ]
    for reader in readers:
        reader.join()
    seconds = _processor_seconds() - used_before
    calls = calls_since_start()
    broken_answers = sum(not reader.is_complete for reader in readers)
    times = [reader.times for reader in readers]
    return _Measurement(
        _gaps(times), seconds, streams * tokens, calls, broken_answers
    )


def _count_calls():
    """Return a function that returns the calls to engines since now."""
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


def _processor_seconds():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
