"""Order of the queue, limits and losses where room is shared fairly."""

import asyncio
import random
import types

import prometheus_client
import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import StageLoad
from apricotseam.chains import StartEstimate
from apricotseam.fleet import Fleet
from apricotseam.forwarding._request_queue import MAX_REMEMBERED_REFUSALS
from apricotseam.forwarding._start_estimates import OBJECTIVE_SHARE
from apricotseam.forwarding._start_estimates import StartEstimator
from apricotseam.forwarding._start_estimates import StartVerdict
from apricotseam.forwarding._streams import StreamRunner
from apricotseam.forwarding import ForwardingContext
from apricotseam.forwarding import HostRetryBudget
from apricotseam.forwarding import RequestMetrics
from apricotseam.forwarding import RequestQueue
from apricotseam.forwarding import TargetSelector
from apricotseam.forwarding.tests.test_choice import make_fleet
from apricotseam.forwarding.tests.test_choice import PROFILE
from apricotseam.routes import LoadFeatures
from apricotseam.routes import NO_FEATURES
from apricotseam.sharing import DemandKey
from apricotseam.sharing import ShareRules
from apricotseam.sharing.tests.test_sharing import make_meter

FAIR = LoadFeatures(start_estimates=True, fair_shares=True)


def make_call(priority=1, customer="a", at=0.0, retry_key="", load=FAIR):
    """Return a request for a stream."""
    return types.SimpleNamespace(
        attempts=0,
        deadline=at + 20.0,
        demand_key=DemandKey("model", priority, customer),
        effective_priority=priority,
        exchange=types.SimpleNamespace(is_started=False),
        draw_place=lambda generator: 0.0,
        failed_targets=set(),
        is_return=False,
        last_event=None,
        load=load,
        request=types.SimpleNamespace(received_at=at),
        metadata=types.SimpleNamespace(prompt_tokens=80),
        retry_key=retry_key,
        table=types.SimpleNamespace(
            least_objective=lambda service, priority: 0.5
        ),
        route=types.SimpleNamespace(objective_seconds=0.5),
        runs=0,
        service=types.SimpleNamespace(name="model", engine=PROFILE),
        start_verdict=None,
        waited_seconds=0.0,
        waits_until=at + 2.0,
    )


def make_rules(active=(), arrived=()):
    """Return rules; the work is given by priority and customer."""
    return ShareRules(make_meter(arrived, active))


# Load, requests in progress, requests that wait in the order of arrival, as
# priority, customer and whether they return as told, and how they are served.
ORDERS = [
    (
        "burst of the least urgent class, then of the most urgent",
        [],
        [(2, "a", False)] * 3 + [(0, "a", False)] * 3,
        [3, 4, 5, 0, 1, 2],
    ),
    (
        "a return goes first in its class only",
        [],
        [(1, "a", False), (2, "a", True), (1, "a", True), (0, "a", False)],
        [3, 2, 0, 1],
    ),
    (
        "one customer at 7.5 times its usual",
        [(1, "a", 15), (1, "b", 2)],
        [(1, "a", False), (1, "a", False), (1, "b", False), (1, "c", False)],
        [3, 2, 0, 1],
    ),
]


@pytest.mark.parametrize(
    ("active", "waiting", "served"),
    [case[1:] for case in ORDERS],
    ids=[case[0] for case in ORDERS],
)
def test_order(active, waiting, served):
    """Guards against room that goes to whoever caused the overload."""
    queue = RequestQueue(lambda: 10.0)
    queue.share_rules = make_rules(active)
    ranks = []
    for number, (priority, customer, is_return) in enumerate(waiting):
        call = make_call(priority, customer, 10.0 + number / 100, str(number))
        if is_return:
            queue.remember_refused(call.retry_key)
        ranks.append(queue.rank(call))
    assert sorted(range(len(ranks)), key=ranks.__getitem__) == served


# Seconds after a refusal that said 6 s, features, whether it counts as new.
RETURNS = [
    ("returns as told", 6.0, FAIR, False),
    ("told time was rounded", 5.99, FAIR, False),
    ("returns early", 0.1, FAIR, True),
    ("returns early, fair shares off", 0.1, NO_FEATURES, False),
    ("returns long after", 13.0, FAIR, True),
]


@pytest.mark.parametrize(
    ("seconds", "load", "is_new"),
    [case[1:] for case in RETURNS],
    ids=[case[0] for case in RETURNS],
)
def test_returns_of_a_thousand_refused_callers(seconds, load, is_new):
    """Guards against callers that gain a place by returning early."""
    now = [0.0]
    queue = RequestQueue(lambda: now[0])
    queue.share_rules = make_rules()
    keys = [f"a/{n}" for n in range(1000)]
    for key in keys:
        call = make_call(retry_key=key, load=load)
        queue.record_refusal(call)
        queue.record_return(call, 6.0)
    now[0] = seconds
    found = {
        queue.was_refused_before(make_call(at=seconds, retry_key=k, load=load))
        for k in keys
    }
    assert found == {not is_new}


def test_told_times_are_bounded():
    queue = RequestQueue(lambda: 0.0)
    for number in range(17000):
        queue.record_return(make_call(retry_key=f"a/{number}"), 6.0)
    assert len(queue._returns_at) == MAX_REMEMBERED_REFUSALS


# Change of a request of class 1, share of its usual limit that is left.
LIMITS = [
    ("new", {}, 0.4),
    ("returns as told", {"is_return": True}, 1.0),
    ("fair shares off", {"load": LoadFeatures(True)}, 1.0),
]


@pytest.mark.parametrize(
    ("changes", "factor"), [c[1:] for c in LIMITS], ids=[c[0] for c in LIMITS]
)
def test_limit_for_starts(changes, factor):
    """A burst of the most urgent class leaves the others a shorter limit."""
    rules = make_rules(arrived=[(0, "a", 60.0), (1, "a", 40.0)])
    starts = StartEstimator(Ledger(), random.Random(1), share_rules=rules)
    call = make_call()
    for name, value in changes.items():
        setattr(call, name, value)
    stages = [StageLoad("t1", "a", 1, 0.2, 1.0, 0, 0.0)]
    verdict = starts.judge(call, stages, 1, 0.0)
    own_ms = verdict.estimate.milliseconds
    full_ms = OBJECTIVE_SHARE * 500.0
    assert verdict.full_limit_ms == pytest.approx(full_ms)
    expected = own_ms + factor * (full_ms - own_ms)
    assert verdict.limit_ms == pytest.approx(expected)


def test_a_long_objective_fills_no_queue_of_a_more_urgent_class():
    """Load: burst of the least urgent class, whose objective is 1 s.

    Guards against urgent requests that find queues longer than theirs.
    """
    starts = StartEstimator(
        Ledger(), random.Random(1), share_rules=make_rules()
    )
    call = make_call(priority=2)
    call.route.objective_seconds = 1.0
    call.waits_until = 4.0
    stages = [StageLoad("t1", "a", 1, 0.2, 1.0, 0, 0.0)]
    verdict = starts.judge(call, stages, 1, 0.0)
    queue_ms = verdict.limit_ms - verdict.estimate.milliseconds
    assert queue_ms == pytest.approx(OBJECTIVE_SHARE * 500.0)


# Estimate in ms, factors, place, whether a request may wait for its turn.
LATE = [
    ("late by its share", 150.0, (0.5, 1.0), 0.0, True),
    ("late in any case", 250.0, (0.5, 1.0), 0.0, False),
    ("late without a factor", 150.0, (1.0, 1.0), 0.0, False),
    ("no place", 150.0, (0.5, 1.0), 0.9, False),
    ("in time", 90.0, (0.5, 1.0), 0.0, False),
]


@pytest.mark.parametrize(
    ("estimate_ms", "factors", "place", "waits"),
    [case[1:] for case in LATE],
    ids=[case[0] for case in LATE],
)
def test_who_is_late_by_its_share(estimate_ms, factors, place, waits):
    """Guards against refusals of requests that a moment later would fit."""
    estimate = StartEstimate(estimate_ms, 0.0, "t", ())
    full_ms = 100.0 / (factors[0] * factors[1])
    verdict = StartVerdict(estimate, 100.0, full_ms, 0.5, place, *factors)
    assert verdict.is_late_by_share == waits


def test_memory_limit_of_a_customer_above_its_share():
    """Guards against a customer that fills the targets beside others."""
    selector = TargetSelector(Fleet(), Ledger(), "a")
    selector.share_rules = make_rules(
        [(1, "a", 30), (1, "b", 1), (1, "c", 1), (1, "d", 1)]
    )
    limits = [
        selector._max_utilization(make_call(customer=name, load=load), False)
        for name, load in [("a", FAIR), ("b", FAIR), ("a", NO_FEATURES)]
    ]
    assert limits[0] < limits[1] == limits[2]


def make_context(fleet):
    """Return the context of a host."""
    now = asyncio.get_running_loop().time
    ledger = Ledger()
    return ForwardingContext(
        fleet,
        ledger,
        TargetSelector(fleet, ledger, "a"),
        None,
        HostRetryBudget(0.2, 200.0, 10.0, lambda: 1),
        RequestMetrics(prometheus_client.CollectorRegistry()),
        RequestQueue(now),
        now,
    )


# What is left after a loss: a chain with room, or one that is full, or none;
# seconds after the loss until the request is decided, and how.
LOSSES = [
    ("goes elsewhere", "room", 0.1, "chosen"),
    ("waits on", "full", None, None),
    ("is refused at once", "none", 0.1, "refused"),
]


@pytest.mark.parametrize("load", [FAIR, NO_FEATURES], ids=["fair", "off"])
@pytest.mark.parametrize(
    ("left", "seconds", "outcome"),
    [case[1:] for case in LOSSES],
    ids=[case[0] for case in LOSSES],
)
def test_requests_that_wait_are_judged_again_after_a_loss(
    left, seconds, outcome, load
):
    """Guards against requests that wait for targets that are lost."""

    async def scenario():
        context = make_context(make_fleet({"a": "fast"}))
        loop = asyncio.get_running_loop()
        state = ["full"]
        context.target_selector = types.SimpleNamespace(
            has_layers=lambda service, at: state[0] != "none",
            choose_chain=lambda *_: "chosen" if state[0] == "room" else None,
        )
        runner = StreamRunner(context)
        runner._relay = types.SimpleNamespace(may_help=lambda call: False)
        for _ in range(2000):
            context.request_queue._completions.append(loop.time())
        tasks = [
            loop.create_task(
                runner._wait_for_capacity(make_call(at=loop.time(), load=load))
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0.01)
        state[0] = left
        context.record_silence("a")
        done, pending = await asyncio.wait(tasks, timeout=seconds or 0.1)
        found = {task.result() or "refused" for task in done}
        for task in pending:
            task.cancel()
        return found, len(pending)

    found, waiting = asyncio.run(scenario())
    if load is NO_FEATURES or outcome is None:
        assert (found, waiting) == (set(), 3)
    else:
        assert (found, waiting) == ({outcome}, 0)
