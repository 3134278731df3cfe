"""Open-loop load on a system of processes, with faults."""

import collections
import functools
import random
import time

from hdrh.histogram import HdrHistogram

from apricotseam.standins import reference_answer
from measure._figure import Figure
from measure._load import ANSWERED
from measure._load import DirectLoad
from measure._load import FAILED
from measure._load import prompt_payload
from measure._load import REFUSED
from measure._load import Request
from measure._load import RouterLoad
from measure._load import run_load
from measure._load import UNREACHED
from measure._processes import System
from measure._scope import example_scope
from measure._scope import KEY_PREFIX
from measure._scope import synthetic_scope
from measure._shapes import arrivals
from measure._shapes import load_shape
from measure._usage import processor_seconds
from measure._usage import resident_bytes

MAX_FIRST_TOKEN_MILLISECONDS = 1300.0
MAX_TOKEN_GAP_MILLISECONDS = 56.0
MAX_RECORDED_MICROSECONDS = 600_000_000


def run(parameters, variant, seed):
    """Run the load on entry hosts, or on the engines directly.

    Parameters
    ----------
    parameters : dict
        ``scope`` (name of an example, or sizes of a synthetic scope),
        ``hosts``, ``step_seconds``, ``bounds`` and ``engine`` of the
        system; ``shape``, ``seconds``, ``requests_per_second`` (at the
        peak) and ``tokens`` of the load; ``faults``, a list of ``at``,
        ``target``, ``kind`` and ``order``.
    variant : str
        ``router`` or ``direct``.
    seed : int
        Seed of arrivals and choices.
    """
    generator = random.Random(seed)
    with build_system(parameters) as system:
        requests = plan_requests(parameters, system.scope, generator)
        if variant == "direct":
            load = DirectLoad(_chains(system.scope), generator)
        else:
            load = RouterLoad([system.addresses[h] for h in system.hosts])
        faults = [
            (
                fault["at"],
                functools.partial(
                    system.inject_fault,
                    fault["target"],
                    fault["kind"],
                    fault.get("order"),
                ),
            )
            for fault in parameters.get("faults", [])
        ]
        before = _host_processor_seconds(system)
        started = time.monotonic()
        samples = run_load(load, requests, faults)
        seconds = time.monotonic() - started
        host_seconds = _processor_seconds_used(
            before, _host_processor_seconds(system)
        )
        figures = caller_figures(system.scope, requests, samples, seconds)
        if variant != "direct":
            figures.extend(_host_figures(system, host_seconds, samples))
        return figures


def build_system(parameters):
    """Return the system of an experiment's parameters, not started."""
    scope = parameters.get("scope", {})
    if isinstance(scope, str):
        data = example_scope(scope)
    else:
        data = synthetic_scope(**scope)
    return System(
        data,
        hosts=parameters.get("hosts", 1),
        step_seconds=parameters.get("step_seconds", 0.002),
        bounds=parameters.get("bounds"),
        engine=parameters.get("engine"),
    )


def plan_requests(parameters, scope, generator):
    """Return the seeded requests of an experiment."""
    shape = load_shape(parameters.get("shape", "steady"))
    times = arrivals(
        shape,
        parameters["seconds"],
        parameters["requests_per_second"],
        generator,
    )
    customers = scope["customers"]
    weights = [customer.get("weight", 1.0) for customer in customers]
    requests = []
    for number, at in enumerate(times):
        customer = generator.choices(customers, weights)[0]
        pipeline = generator.choice(scope["pipelines"])
        requests.append(
            Request(
                at=at,
                key=KEY_PREFIX + customer["name"],
                model=pipeline["name"],
                prompt=f"question {number}",
                tokens=parameters["tokens"],
            )
        )
    return requests


def caller_figures(scope, requests, samples, seconds):
    """Return the figures of a load as its callers measured them.

    Parameters
    ----------
    scope : dict
        The scope as plain data.
    requests : list of Request
        Requests that were sent.
    samples : list of Sample
        What was received for each of them.
    seconds : float
        Duration of the load.
    """
    first_token = HdrHistogram(1, MAX_RECORDED_MICROSECONDS, 3)
    between_tokens = HdrHistogram(1, MAX_RECORDED_MICROSECONDS, 3)
    send_delay = HdrHistogram(1, MAX_RECORDED_MICROSECONDS, 3)
    longest_gap = 0.0
    for sample in samples:
        times = sample.times
        if sample.sent is not None:
            send_delay.record_value(_microseconds(sample.sent - sample.due))
        if times:
            first_token.record_value(_microseconds(times[0] - sample.due))
        for earlier, later in zip(times, times[1:], strict=False):
            between_tokens.record_value(_microseconds(later - earlier))
            longest_gap = max(longest_gap, later - earlier)
    outcomes = collections.Counter(sample.outcome for sample in samples)
    tokens = sum(len(sample.times) for sample in samples)
    return [
        _latency("first token p50", first_token, 50),
        _latency(
            "first token p95", first_token, 95, MAX_FIRST_TOKEN_MILLISECONDS
        ),
        _latency("between tokens p50", between_tokens, 50),
        _latency(
            "between tokens p95",
            between_tokens,
            95,
            MAX_TOKEN_GAP_MILLISECONDS,
        ),
        Figure(
            name="longest wait between tokens", value=longest_gap, unit="s"
        ),
        Figure(name="tokens a second", value=tokens / seconds, unit="1/s"),
        Figure(name="requests", value=len(samples), unit="requests"),
        *(
            Figure(name=name, value=outcomes[name], unit="requests")
            for name in (ANSWERED, REFUSED, UNREACHED)
        ),
        Figure(name=FAILED, value=outcomes[FAILED], unit="requests"),
        Figure(
            name="answers that are not whole or wrong",
            value=_count_wrong_answers(scope, requests, samples),
            unit="requests",
            bound=0,
        ),
        _latency("the tool's own delay p95", send_delay, 95),
    ]


def _host_figures(system, host_seconds, samples):
    tokens = sum(len(sample.times) for sample in samples)
    processor_seconds_total = sum(host_seconds.values())
    figures = []
    if tokens:
        figures.append(
            Figure(
                name="processor time of entry hosts a token",
                value=processor_seconds_total / tokens * 1e3,
                unit="ms",
            )
        )
    resident = [
        resident_bytes(system.pid(host))
        for host in system.hosts
        if system.is_running(host)
    ]
    if resident:
        figures.append(
            Figure(
                name="resident memory of an entry host",
                value=max(resident) / 1e6,
                unit="MB",
            )
        )
    return figures


def _latency(name, histogram, percentile, bound=None):
    value = histogram.get_value_at_percentile(percentile) / 1e3
    return Figure(name=name, value=value, unit="ms", bound=bound)


def _microseconds(seconds):
    return max(1, int(seconds * 1e6))


def _count_wrong_answers(scope, requests, samples):
    """Count answers whose texts differ from those of the reference.

    An answer that failed is compared as far as it went.
    """
    layers = {model["name"]: model["layers"] for model in scope["models"]}
    models = {p["name"]: p["model"] for p in scope["pipelines"]}
    wrong_answers = 0
    for request, sample in zip(requests, samples, strict=True):
        count = len(sample.texts)
        if sample.outcome == ANSWERED:
            count = request.tokens
        expected_texts = reference_answer(
            "v1",
            layers[models[request.model]],
            prompt_payload(request.prompt),
            count,
        )
        wrong_answers += sample.texts != expected_texts
    return wrong_answers


def _chains(scope):
    """Return the model and all chains of each pipeline, as `DirectLoad` needs.

    A chain is a list of stages ``(address, first layer, last layer)``.
    """
    chains = {}
    for pipeline in scope["pipelines"]:
        for group in scope["groups"]:
            if group["name"] == pipeline["group"]:
                group_chains = _group_chains(group, pipeline, scope)
                chains[pipeline["name"]] = (pipeline["model"], group_chains)
    return chains


def _group_chains(group, pipeline, scope):
    by_first = collections.defaultdict(list)
    for target in group["targets"]:
        by_first[target["layers"]["first"]].append(target)
    layers = {model["name"]: model["layers"] for model in scope["models"]}
    chains = []
    pending = [[]]
    while pending:
        chain = pending.pop()
        next_layer = chain[-1][2] + 1 if chain else 0
        if next_layer == layers[pipeline["model"]]:
            chains.append(chain)
            continue
        for target in by_first[next_layer]:
            layer_range = target["layers"]
            stage = (
                target["address"],
                layer_range["first"],
                layer_range["last"],
            )
            pending.append([*chain, stage])
    return chains


def _host_processor_seconds(system):
    """Return the processor time so far of each running entry host."""
    seconds_by_host = {}
    for host in system.hosts:
        try:
            seconds_by_host[host] = processor_seconds(system.pid(host))
        except (OSError, IndexError):
            continue
    return seconds_by_host


def _processor_seconds_used(before, after):
    """Return the processor time that each host used between two readings."""
    return {
        host: seconds - before[host]
        for host, seconds in after.items()
        if seconds > 0
    }
