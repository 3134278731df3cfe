"""Processor time that grows with a size."""

import functools
import time

import msgspec

from apricotseam.clock import SystemClock
from apricotseam.config import Choice
from apricotseam.config import load_scope_file
from apricotseam.routing import build_chooser
from apricotseam.routing import Demand
from apricotseam.routing import LinkDistances
from apricotseam.routing import merge_targets
from apricotseam.routing import TargetMerger
from measure._load import ANSWERED
from measure._load import Request
from measure._load import RouterLoad
from measure._load import run_load
from measure._processes import System
from measure._scope import KEY_PREFIX
from measure._scope import synthetic_scope
from measure._usage import processor_seconds
from measure._usage import resident_bytes
from measure.slopes import _objects
from measure.slopes._slope import Slope

REPEATS = 3
REQUESTS = 40
REQUESTS_A_SECOND = 10.0
CHOICES = 200
WATCHED_TARGETS = 20
STREAM_SECONDS = 4.0


def _best_milliseconds(action, repeats=REPEATS):
    """Return the least processor time of several repeats."""
    times = []
    for _ in range(repeats):
        before = time.thread_time()
        action()
        times.append(time.thread_time() - before)
    return min(times) * 1e3


def _load_customers(size):
    data = _objects.kept_data(size)
    return _best_milliseconds(lambda: _objects.configuration_of_data(data))


def _check_customers(size):
    load_scope_file(_objects.scope_text())
    text = _objects.scope_text(customers=size)
    return _best_milliseconds(lambda: load_scope_file(text), repeats=1)


def _merge(size):
    in_force = _objects.configuration_of_targets(size)
    reports = _objects.reports(in_force)
    return _best_milliseconds(lambda: merge_targets(in_force, {}, reports))


def _merge_reports(size):
    """Return the time of a table in which a few reports changed."""
    in_force = _objects.configuration_of_targets(size)
    reports = _objects.reports(in_force)
    watched = list(reports)[:WATCHED_TARGETS]
    merger = TargetMerger()
    merger.merge(in_force, {}, reports)

    def merge():
        for address in watched:
            reports[address] = msgspec.structs.replace(reports[address])
        merger.merge(in_force, {}, reports)

    merge()
    return _best_milliseconds(merge)


def _choose(size):
    in_force = _objects.configuration_of_targets(size)
    table = merge_targets(in_force, {}, _objects.reports(in_force))
    (scope_file,) = in_force.scopes.values()
    model = scope_file.models[0]
    chooser = build_chooser(
        Choice.LEAST_COST,
        host="entry-0",
        zone="zone-a",
        clock=SystemClock(),
        distances=LinkDistances(lambda: in_force),
        hosts=lambda: 1,
    )
    demand = Demand(
        scope=scope_file.scope, group=scope_file.groups[0].name, customer="c"
    )

    def choose():
        for _ in range(CHOICES):
            chooser.choose_chain(table, model, demand)

    choose()
    return _best_milliseconds(choose) / CHOICES


def _requests(count, tokens, rate=REQUESTS_A_SECOND):
    return [
        Request(
            at=number / rate,
            key=KEY_PREFIX + "customer-0",
            model="answers-0",
            prompt=f"question {number}",
            tokens=tokens,
        )
        for number in range(count)
    ]


def _request_cost(stages, tokens):
    """Return processor time of an entry host for one request."""
    scope = synthetic_scope(chains=1, stages=stages)
    bounds = {"caller_threads": 128}
    with System(scope, bounds=bounds) as system:
        load = RouterLoad([system.addresses["entry-0"]])
        run_load(load, _requests(5, tokens))
        pid = system.pid("entry-0")
        idle = _idle_rate(pid)
        started = time.monotonic()
        before = processor_seconds(pid)
        samples = run_load(load, _requests(REQUESTS, tokens))
        used = processor_seconds(pid) - before
        used -= idle * (time.monotonic() - started)
    answered = sum(sample.outcome == ANSWERED for sample in samples)
    if answered < REQUESTS:
        raise RuntimeError(f"{answered} of {REQUESTS} answered")
    return used / REQUESTS * 1e3


def _idle_rate(pid, seconds=2.0):
    before = processor_seconds(pid)
    time.sleep(seconds)
    return (processor_seconds(pid) - before) / seconds


def _token_cost_of_stages(stages):
    return _request_cost(stages, 16) / 16


def _call_cost(path, size):
    """Return processor time of an entry host for a number of calls."""
    with System(synthetic_scope(chains=1, stages=1)) as system:
        pid = system.pid("entry-0")
        idle = _idle_rate(pid)
        started = time.monotonic()
        before = processor_seconds(pid)
        for _ in range(size):
            _caller_get(system, path)
        used = processor_seconds(pid) - before
        return (used - idle * (time.monotonic() - started)) * 1e3


def _caller_get(system, path):
    answer = system.client.call(
        system.addresses["entry-0"],
        "GET",
        path,
        headers={"Authorization": f"Bearer {KEY_PREFIX}customer-0"},
    )
    if answer.status != 200:
        raise RuntimeError(f"{path} answered {answer.status}")


def _stream_memory(size):
    """Return resident memory of an entry host with open streams."""
    scope = synthetic_scope(chains=1, stages=2)
    bounds = {"caller_threads": 700, "step_timeout_seconds": 20}
    engine = {"max_batch": 1000}
    with System(
        scope, step_seconds=0.2, bounds=bounds, engine=engine
    ) as system:
        load = RouterLoad([system.addresses["entry-0"]])
        pid = system.pid("entry-0")
        highest = [resident_bytes(pid)]
        events = [
            (at / 4, lambda: highest.append(resident_bytes(pid)))
            for at in range(1, int(STREAM_SECONDS * 4) + 8)
        ]
        requests = _requests(size, 8, size / STREAM_SECONDS * 4)
        run_load(load, requests, events, grace_seconds=STREAM_SECONDS * 2)
        return max(highest)


PROCESSOR_SLOPES = [
    Slope(
        name="processor time to load a customer",
        unit="ms",
        per="customer",
        measure=_load_customers,
    ),
    Slope(
        name="processor time to check a customer",
        unit="ms",
        per="customer",
        measure=_check_customers,
    ),
    Slope(
        name="processor time to merge a target",
        unit="ms",
        per="target",
        measure=_merge,
    ),
    Slope(
        name="processor time to merge changed reports",
        unit="ms",
        per="target",
        measure=_merge_reports,
    ),
    Slope(
        name="processor time of a choice",
        unit="ms",
        per="target",
        measure=_choose,
    ),
    Slope(
        name="processor time of a token over two stages",
        unit="ms",
        per="token",
        measure=functools.partial(_request_cost, 2),
    ),
    Slope(
        name="processor time of a token by stages",
        unit="ms",
        per="stage",
        measure=_token_cost_of_stages,
    ),
    Slope(
        name="processor time of an address answer",
        unit="ms",
        per="call",
        measure=functools.partial(_call_cost, "/v1/addresses"),
    ),
    Slope(
        name="processor time of a service call",
        unit="ms",
        per="call",
        measure=functools.partial(_call_cost, "/v1/services/desk/books"),
    ),
    Slope(
        name="memory of a stream",
        unit="B",
        per="stream",
        measure=_stream_memory,
    ),
]
