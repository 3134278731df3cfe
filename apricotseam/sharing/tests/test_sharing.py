"""Counts of demand, and the factors that follow from them."""

import pytest

from apricotseam.sharing import _demand
from apricotseam.sharing import DemandCount
from apricotseam.sharing import DemandKey
from apricotseam.sharing import DemandMeter
from apricotseam.sharing import largest_entries
from apricotseam.sharing import ShareRules
from apricotseam.sharing import subtract_demand
from apricotseam.sharing import sum_demand


def make_meter(arrived=(), active=(), now=None):
    """Return a meter; the work is given by priority and customer."""
    meter = DemandMeter(lambda: now[0] if now else 0.0)
    for priority, customer, ms in arrived:
        meter.record_arrival(DemandKey("model", priority, customer), ms)
    for priority, customer, requests in active:
        for _ in range(requests):
            meter.record_begin(DemandKey("model", priority, customer), 10.0)
    return meter


USUAL = [(0, "a", 30.0), (1, "a", 50.0), (2, "a", 20.0)]
# Load, work that arrived, and the factors of the classes 0 to 2.
CLASSES = [
    ("usual", USUAL, [1.0, 0.7, 0.25]),
    ("burst of the least urgent", [*USUAL, (2, "a", 100.0)], [1, 0.85, 0.6]),
    ("burst of the most urgent", [*USUAL, (0, "a", 900.0)], [1, 0.25, 0.25]),
    ("nothing known", [], [1.0, 1.0, 1.0]),
]


@pytest.mark.parametrize(
    ("arrived", "factors"),
    [c[1:] for c in CLASSES],
    ids=[c[0] for c in CLASSES],
)
def test_class_factors(arrived, factors):
    """Guards against a burst whose cost falls on a more urgent class."""
    rules = ShareRules(make_meter(arrived))
    keys = [DemandKey("model", priority, "a") for priority in range(3)]
    assert [rules.class_factor(k) for k in keys] == pytest.approx(factors)
    places = [rules.place(key, 0.5) for key in keys]
    assert places == sorted(places)
    assert rules.class_factor(DemandKey("other", 2, "a")) == 1.0


# Load, requests in progress by customer, factor and memory limit of "a".
CUSTOMERS = [
    ("equal", {"a": 2, "b": 2, "c": 2}, 1.0, 0.98),
    ("7.5 times its usual", {"a": 15, "b": 2, "c": 2, "d": 2}, 0.35, 0.91067),
    (
        "nearly all",
        {"a": 90, "b": 1, **dict.fromkeys("cdefghij", 1)},
        0.25,
        0.9,
    ),
    ("a single request", {"a": 1, "b": 0, "c": 0}, 1.0, 0.98),
    ("customers unknown", {"": 9, "a": 1}, 1.0, 0.98),
]


@pytest.mark.parametrize(
    ("requests", "factor", "utilization"),
    [case[1:] for case in CUSTOMERS],
    ids=[case[0] for case in CUSTOMERS],
)
def test_customer_factors(requests, factor, utilization):
    """Guards against one customer at 7.5 times its usual in others' room."""
    meter = make_meter(
        [(1, name, 10.0) for name in requests],
        [(1, name, count) for name, count in requests.items()],
    )
    rules = ShareRules(meter)
    key = DemandKey("model", 1, "a")
    assert rules.customer_factor(key) == pytest.approx(factor)
    assert rules.max_utilization(key) == pytest.approx(utilization, abs=1e-4)
    if factor < 1.0:
        other = DemandKey("model", 1, "b")
        assert rules.place(key, 0.5) > rules.place(other, 0.5)


def test_places_cover_all_requests():
    """Guards against hosts that admit more or fewer than there is room for.

    Places of all requests together are spread from 0 to 1.
    """
    rules = ShareRules(make_meter(USUAL))
    for share in (0.3, 0.6, 0.9):
        admitted = sum(
            ms / 100.0
            for priority, name, ms in USUAL
            for draw in range(100)
            if rules.place(DemandKey("model", priority, name), draw / 100)
            <= share
        )
        assert admitted / 100 == pytest.approx(share, abs=0.1)


# Seconds after the last message of a peer, and whether its counts are used.
SILENCES = [(0.2, True), (3.0, True), (4.5, False)]


@pytest.mark.parametrize(("seconds", "is_used"), SILENCES)
def test_peers_that_are_silent(seconds, is_used):
    """No messages for 3 s: the last counts hold, later only the own ones."""
    now = [0.0]
    meter = make_meter(now=now)
    peer = make_meter([(0, "b", 75.0)])
    meter.update_peers("peer", peer.counts())
    now[0] = seconds
    meter.record_arrival(DemandKey("model", 1, "a"), 25.0)
    factor = ShareRules(meter).class_factor(DemandKey("model", 1, "a"))
    assert factor == (0.25 if is_used else 1.0)


def test_messages_replace_each_other():
    """Guards against counts that grow with each message of a peer."""
    meter = make_meter()
    for ms in (50.0, 20.0):
        meter.update_peers("peer", make_meter([(0, "b", ms)]).counts())
    key = DemandKey("model", 0, "b")
    assert meter.totals() == {key: DemandCount(20.0)}
    meter.update_peers("peer", {"unreadable": DemandCount(1.0)})
    assert meter.totals() == {}


def test_counts_end():
    now = [0.0]
    meter = make_meter([(0, "a", 40.0)], [(0, "a", 1)], now)
    now[0] = 2.5
    key = DemandKey("model", 0, "a")
    assert meter.totals() == {key: DemandCount(0.0, 10.0, 1)}
    meter.record_end(key, 10.0)
    meter.record_end(key, 10.0)
    assert meter.totals() == {}


def test_state_is_bounded_with_17000_customers_in_5_classes():
    """Guards against memory and messages that grow with the customers."""
    meter = make_meter(
        (n % 5, f"customer-{n}", 1.0 + n % 7) for n in range(17000)
    )
    assert len(meter.totals()) <= _demand.MAX_COUNTED + 5
    counts = meter.counts()
    assert len(counts) <= _demand.MAX_ENTRIES
    arrived = sum(count.arrived_ms for count in counts.values())
    assert arrived == sum(1.0 + n % 7 for n in range(17000))


@pytest.mark.parametrize("customers", [3, 60])
def test_own_part_is_taken_out_of_a_sum(customers):
    """Guards against hosts that count themselves twice by the reports."""
    own, other = (
        make_meter(
            (n % 3, f"{name}-{n}", ms) for n in range(customers)
        ).counts()
        for name, ms in (("own", 10.0), ("other", 30.0))
    )
    report = largest_entries(sum_demand([own, other]))
    left = subtract_demand(report, own)
    assert len(report) <= _demand.MAX_ENTRIES
    arrived = sum(count.arrived_ms for count in left.values())
    assert arrived == pytest.approx(30.0 * customers, rel=0.05)
