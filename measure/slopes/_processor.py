"""Processor time of operations, and memory of streams on a host."""

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
from measure.slopes import _fixtures
from measure.slopes._slope import Slope

REPEATS = 3
REQUESTS = 40
REQUESTS_PER_SECOND = 10.0
CHOICES_PER_REPEAT = 200
CHANGED_REPORTS = 20
STREAM_SECONDS = 4.0


def _least_milliseconds(function, repeats=REPEATS):
    """Return the least processor time of several calls of a function.

    Returns
    -------
    float
        Processor time of the calling thread in milliseconds.
    """
    times = []
    for _ in range(repeats):
        before = time.thread_time()
        function()
        times.append(time.thread_time() - before)
    return min(times) * 1e3


def _load_milliseconds(customers):
    """Return the time in ms to load a stored scope."""
    data = _fixtures.stored_scope(customers)
    return _least_milliseconds(lambda: _fixtures.configuration_from_data(data))


def _check_milliseconds(customers):
    """Return the time in ms to check the text of a scope file."""
    # A small file is checked first to leave one-off costs out.
    load_scope_file(_fixtures.scope_text())
    text = _fixtures.scope_text(customers=customers)
    return _least_milliseconds(lambda: load_scope_file(text), repeats=1)


def _merge_milliseconds(targets):
    """Return the time in ms to merge a target table from its sources."""
    configuration = _fixtures.configuration_with_targets(targets)
    reports = _fixtures.engine_reports(configuration)
    return _least_milliseconds(
        lambda: merge_targets(configuration, {}, reports)
    )


def _changed_reports_milliseconds(targets):
    """Return the time in ms to merge a table with a few changed reports."""
    configuration = _fixtures.configuration_with_targets(targets)
    reports = _fixtures.engine_reports(configuration)
    changed = list(reports)[:CHANGED_REPORTS]
    merger = TargetMerger()
    merger.merge(configuration, {}, reports)

    def merge():
        for address in changed:
            reports[address] = msgspec.structs.replace(reports[address])
        merger.merge(configuration, {}, reports)

    merge()
    return _least_milliseconds(merge)


def _choice_milliseconds(targets):
    """Return the time in ms of one least-cost choice of a chain."""
    configuration = _fixtures.configuration_with_targets(targets)
    table = merge_targets(
        configuration, {}, _fixtures.engine_reports(configuration)
    )
    (scope_file,) = configuration.scopes.values()
    model = scope_file.models[0]
    chooser = build_chooser(
        Choice.LEAST_COST,
        host="entry-0",
        zone="zone-a",
        clock=SystemClock(),
        distances=LinkDistances(lambda: configuration),
        hosts=lambda: 1,
    )
    demand = Demand(
        scope=scope_file.scope, group=scope_file.groups[0].name, customer="c"
    )

    def choose():
        for _ in range(CHOICES_PER_REPEAT):
            chooser.choose_chain(table, model, demand)

    choose()
    return _least_milliseconds(choose) / CHOICES_PER_REPEAT


def _make_requests(count, tokens, rate=REQUESTS_PER_SECOND):
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


def _request_milliseconds(stages, tokens):
    """Return processor time of an entry host for one request.

    Parameters
    ----------
    stages : int
        Stages of the only chain.
    tokens : int
        Tokens of each answer.

    Returns
    -------
    float
        Milliseconds per request, without the processor time that the host
        uses when idle.
    """
    scope = synthetic_scope(chains=1, stages=stages)
    bounds = {"caller_threads": 128}
    with System(scope, bounds=bounds) as system:
        load = RouterLoad([system.addresses["entry-0"]])
        run_load(load, _make_requests(5, tokens))
        pid = system.pid("entry-0")
        idle_rate = _idle_processor_rate(pid)
        started = time.monotonic()
        before = processor_seconds(pid)
        samples = run_load(load, _make_requests(REQUESTS, tokens))
        used = processor_seconds(pid) - before
        used -= idle_rate * (time.monotonic() - started)
    answered = sum(sample.outcome == ANSWERED for sample in samples)
    if answered < REQUESTS:
        raise RuntimeError(
            f"only {answered} of {REQUESTS} requests were answered"
        )
    return used / REQUESTS * 1e3


def _idle_processor_rate(pid, seconds=2.0):
    """Return the processor seconds per second that a process uses now."""
    before = processor_seconds(pid)
    time.sleep(seconds)
    return (processor_seconds(pid) - before) / seconds


def _token_milliseconds(stages):
    """Return processor time of an entry host for one token, in ms."""
    return _request_milliseconds(stages, 16) / 16


def _calls_milliseconds(path, calls):
    """Return processor time in ms of an entry host for some GET calls.

    The processor time that the host uses when idle is subtracted.
    """
    with System(synthetic_scope(chains=1, stages=1)) as system:
        pid = system.pid("entry-0")
        idle_rate = _idle_processor_rate(pid)
        started = time.monotonic()
        before = processor_seconds(pid)
        for _ in range(calls):
            _get_as_customer(system, path)
        used = processor_seconds(pid) - before
        return (used - idle_rate * (time.monotonic() - started)) * 1e3


def _get_as_customer(system, path):
    answer = system.client.call(
        system.addresses["entry-0"],
        "GET",
        path,
        headers={"Authorization": f"Bearer {KEY_PREFIX}customer-0"},
    )
    if answer.status != 200:
        raise RuntimeError(f"GET {path} returned status {answer.status}")


def _stream_memory_bytes(streams):
    """Return the highest resident memory of an entry host, in bytes.

    All streams are opened within a quarter of `STREAM_SECONDS`; memory is
    sampled four times a second.
    """
    scope = synthetic_scope(chains=1, stages=2)
    bounds = {"caller_threads": 700, "step_timeout_seconds": 20}
    engine = {"max_batch": 1000}
    with System(
        scope, step_seconds=0.2, bounds=bounds, engine=engine
    ) as system:
        load = RouterLoad([system.addresses["entry-0"]])
        pid = system.pid("entry-0")
        samples_bytes = [resident_bytes(pid)]
        actions = [
            (at / 4, lambda: samples_bytes.append(resident_bytes(pid)))
            for at in range(1, int(STREAM_SECONDS * 4) + 8)
        ]
        requests = _make_requests(streams, 8, streams / STREAM_SECONDS * 4)
        run_load(load, requests, actions, grace_seconds=STREAM_SECONDS * 2)
        return max(samples_bytes)


PROCESSOR_SLOPES = [
    Slope(
        name="processor time to load a customer",
        unit="ms",
        per="customer",
        measure=_load_milliseconds,
    ),
    Slope(
        name="processor time to check a customer",
        unit="ms",
        per="customer",
        measure=_check_milliseconds,
    ),
    Slope(
        name="processor time to merge a target",
        unit="ms",
        per="target",
        measure=_merge_milliseconds,
    ),
    Slope(
        name="processor time to merge changed reports",
        unit="ms",
        per="target",
        measure=_changed_reports_milliseconds,
    ),
    Slope(
        name="processor time of a choice",
        unit="ms",
        per="target",
        measure=_choice_milliseconds,
    ),
    Slope(
        name="processor time of a token over two stages",
        unit="ms",
        per="token",
        measure=functools.partial(_request_milliseconds, 2),
    ),
    Slope(
        name="processor time of a token by stages",
        unit="ms",
        per="stage",
        measure=_token_milliseconds,
    ),
    Slope(
        name="processor time of an address answer",
        unit="ms",
        per="call",
        measure=functools.partial(_calls_milliseconds, "/v1/addresses"),
    ),
    Slope(
        name="processor time of a service call",
        unit="ms",
        per="call",
        measure=functools.partial(
            _calls_milliseconds, "/v1/services/desk/books"
        ),
    ),
    Slope(
        name="memory of a stream",
        unit="B",
        per="stream",
        measure=_stream_memory_bytes,
    ),
]
