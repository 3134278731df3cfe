"""Which requests are sent, by when their answers would begin.

The loads are those after a joined loss and of a burst, at many hosts that
know of each other with a delay. No network is used.
"""

import random
import types

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import link_resource
from apricotseam.chains import PeerUsage
from apricotseam.chains import StageLoad
from apricotseam.chains.tests.profiles import PROFILE
from apricotseam.chains import Usage
from apricotseam.forwarding._return_schedule import ReturnSchedule
from apricotseam.forwarding._start_estimates import LOSS_SECONDS
from apricotseam.forwarding._start_estimates import StartEstimator
from apricotseam.routes import NO_FEATURES
from apricotseam.routes import Service

SERVICE = Service(name="model", engine=PROFILE)
LINK = link_resource("model")
OBJECTIVE_SECONDS = 0.5
PATIENCE_SECONDS = 2.0


class FakeCall:
    """The parts of a `Call` that a `StartEstimator` reads."""

    def __init__(self, received_at=0.0, last_event=None, is_return=False):
        self.service = SERVICE
        self.load = NO_FEATURES
        self.metadata = types.SimpleNamespace(prompt_tokens=800)
        self.route = types.SimpleNamespace(objective_seconds=OBJECTIVE_SECONDS)
        self.request = types.SimpleNamespace(received_at=received_at)
        self.deadline = received_at + 20.0
        self.waits_until = received_at + PATIENCE_SECONDS
        self.last_event = last_event
        self.is_return = is_return

    def draw_place(self, generator):
        return generator.random()


def make_stages(start_ms=0.0):
    return [StageLoad("t1", "a", 80, 2.4, 3.2, 0, start_ms)]


# Event that the caller has, age of the request, booked work, is it sent?
CASES = [
    ("idle", None, 0.0, 0.0, True),
    ("short queue", None, 0.0, 200.0, True),
    ("would begin after the objective", None, 0.0, 500.0, False),
    ("objective nearly used up", None, 0.3, 200.0, False),
    ("resumed stream may be late", 5, 0.0, 500.0, True),
    ("caller would have left", 5, 0.0, 2500.0, False),
    ("caller leaves soon", 5, 1.7, 500.0, False),
]


@pytest.mark.parametrize(
    ("last_event", "age", "booked", "is_sent"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_who_is_sent(last_event, age, booked, is_sent):
    """Guards against requests that are read after their callers left."""
    estimator = StartEstimator(Ledger(), random.Random(1))
    call = FakeCall(last_event=last_event)
    verdict = estimator.judge(call, make_stages(booked), 1, age)
    assert verdict.is_in_time is is_sent


def lose(hosts, streams_by_host):
    """Return the estimators of hosts that lose a target with streams."""
    target = types.SimpleNamespace(
        identity="lost",
        record=types.SimpleNamespace(zone="a", service=SERVICE.name),
    )
    estimators = []
    for number in range(hosts):
        ledger = Ledger()
        others = (hosts - 1) * streams_by_host
        ledger.update_peer(
            PeerUsage("others", 1, {"lost": Usage(1.0, others)}), 0.0
        )
        for _ in range(streams_by_host):
            ledger.book(1.0, [("lost", 1)])
        estimator = StartEstimator(ledger, random.Random(number))
        estimator.record_loss(target, 0.0)
        estimators.append(estimator)
    return estimators


@pytest.mark.parametrize("hosts", [8, 71, 300])
def test_hosts_together_send_what_the_last_chain_can_read(hosts):
    """Load: joined loss at full load, one chain is left.

    Guards against all hosts sending all their streams to it at once, before
    they have news of each other.
    """
    streams = 4
    usual_ms = dict(
        StartEstimator(Ledger(), random.Random(1))
        .judge(FakeCall(), make_stages(), 1, 0.0)
        .estimate.start_work
    )["t1"]
    sent = sum(
        estimator.judge(
            FakeCall(last_event=3), make_stages(), 1, 0.05
        ).is_in_time
        for estimator in lose(hosts, streams)
        for _ in range(streams)
    )
    room = PATIENCE_SECONDS * 1000.0 / usual_ms
    assert min(hosts * streams, 0.5 * room) <= sent <= 1.5 * room


def test_a_loss_is_forgotten_once_all_callers_have_left():
    """Guards against room that stays unused after a loss."""
    (estimator,) = lose(1, 200)
    late = FakeCall(received_at=LOSS_SECONDS)
    assert estimator.judge(late, make_stages(), 1, LOSS_SECONDS).is_in_time


@pytest.mark.parametrize(
    ("queue_ms", "least", "most"), [(0.0, 0.3, 0.6), (200.0, 0.15, 0.35)]
)
def test_a_burst_is_thinned_to_what_a_chain_reads(queue_ms, least, most):
    """Load: burst of four times what a chain reads, news is old.

    Guards against hosts that all find the same room.
    """
    generator = random.Random(1)
    idle = StartEstimator(Ledger(), generator)
    work = idle.judge(FakeCall(), make_stages(), 1, 0.0).estimate.start_work
    rate = 4.0 * 1000.0 / dict(work)["t1"]
    estimator = StartEstimator(Ledger(), generator, lambda service, now: rate)
    verdicts = [
        estimator.judge(FakeCall(), make_stages(queue_ms), 1, 0.0)
        for _ in range(1000)
    ]
    admitted = sum(v.place <= v.admitted_share for v in verdicts) / 1000
    assert least <= admitted <= most
    returned = [
        estimator.judge(FakeCall(is_return=True), make_stages(0.0), 1, 0.0)
        for _ in range(1000)
    ]
    assert sum(v.is_in_time for v in returned) > 900


@pytest.mark.parametrize("seconds_left", [20.0, 6.0, 1.2, 0.1])
def test_a_thousand_refused_callers_return_spread(seconds_left):
    """Guards against callers that return at once, or later than they may."""
    schedule = ReturnSchedule(random.Random(3))
    longest = max(0.3, seconds_left / 3.0)
    delays = [schedule.delay_seconds(seconds_left, 0.2) for _ in range(1000)]
    assert all(0.3 <= delay <= longest for delay in delays)
    width = longest / 10.0
    fullest = max(
        sum(low <= d < low + width for d in delays) for low in set(delays)
    )
    assert longest <= 0.5 or fullest < 300


def test_lost_streams_of_another_service_leave_room():
    """Guards against losses of one model that hold back another one's."""
    estimator = StartEstimator(Ledger(), random.Random(1))
    other = types.SimpleNamespace(
        identity="lost",
        record=types.SimpleNamespace(zone="a", service="other"),
    )
    for _ in range(500):
        estimator._ledger.book(1.0, [("lost", 1)])
    estimator.record_loss(other, 0.0)
    verdicts = [
        estimator.judge(FakeCall(last_event=3), make_stages(), 1, 0.0)
        for _ in range(20)
    ]
    assert all(verdict.is_in_time for verdict in verdicts)
