"""What must hold for the callers under each pattern.

The bounds come from the stated targets: 95 in 100 requests on time while
there is room, repair within a second of a loss, and that no request is
refused or failed that could have been served.
"""

import pytest

from measure.emulator import by_class
from measure.emulator import by_customer
from measure.emulator import count_results
from measure.emulator import PATTERNS
from measure.emulator import sent_between
from measure.emulator.tests.plays import DEEP_OVERLOAD
from measure.emulator.tests.plays import play
from measure.emulator.tests.plays import results_of

ON_TIME_SHARE = 0.95
# Differences below these between two classes are accepted.
SERVED_DIFFERENCE = 0.05
ON_TIME_DIFFERENCE = 0.15
# Time after a loss until the hosts know and avoid it.
REPAIR_SECONDS = 1.5
# Time after an overload until nobody waits.
SETTLE_SECONDS = 3.0
# Time after a fresh start until requests are served as before.
RECOVERY_SECONDS = 15.0
DISTURBED_AT_SECONDS = 5.0
NEVER = 1e9

OVERLOADS = ["class-burst", "customer-surge", "eager-callers", "hot-prompt"]

# Name of the pattern, times from which and to which what is sent must be
# served on time.
ROOM = [
    ("calm", 0.0, NEVER),
    ("class-burst", 0.0, DISTURBED_AT_SECONDS),
    ("joined-crash", DISTURBED_AT_SECONDS + REPAIR_SECONDS, NEVER),
    ("joined-silence", DISTURBED_AT_SECONDS + REPAIR_SECONDS, NEVER),
    ("slow-engines", DISTURBED_AT_SECONDS + REPAIR_SECONDS, NEVER),
    ("slow-pipes", DISTURBED_AT_SECONDS + 1.0 + REPAIR_SECONDS, NEVER),
    ("engine-turnover", 0.0, NEVER),
    ("store-outage", DISTURBED_AT_SECONDS + 2.0 + REPAIR_SECONDS, NEVER),
]


@pytest.mark.parametrize("name", PATTERNS)
def test_each_request_ends_and_keeps_its_order(name):
    results = results_of(name)
    assert results
    assert all(result.outcome is not None for result in results)
    assert not any(result.is_out_of_order for result in results)


@pytest.mark.parametrize(
    ("name", "begin", "end"), ROOM, ids=[case[0] for case in ROOM]
)
def test_what_is_sent_while_there_is_room_is_on_time(name, begin, end):
    figures = count_results(sent_between(results_of(name), begin, end))
    assert figures.refused_once == 0
    assert figures.failed == 0
    assert figures.on_time_share >= ON_TIME_SHARE


@pytest.mark.parametrize(
    "name",
    [
        "joined-crash",
        "joined-silence",
        "slow-engines",
        "slow-pipes",
        "engine-turnover",
        "store-outage",
    ],
)
def test_a_loss_with_room_elsewhere_ends_no_request(name):
    """Streams of lost engines go on elsewhere, although late."""
    figures = count_results(results_of(name))
    assert (figures.refused, figures.failed) == (0, 0)


@pytest.mark.parametrize("name", OVERLOADS)
def test_after_an_overload_all_is_on_time_again(name):
    begin = PATTERNS[name].end_seconds + SETTLE_SECONDS
    figures = count_results(sent_between(results_of(name), begin, NEVER))
    assert figures.refused_once == 0
    assert figures.on_time_share >= ON_TIME_SHARE


@pytest.mark.parametrize("name", OVERLOADS)
def test_an_overload_shorter_than_the_deadline_ends_no_request(name):
    """The overload lasts some seconds, callers wait for twenty."""
    figures = count_results(results_of(name))
    assert (figures.refused, figures.failed) == (0, 0)


@pytest.mark.parametrize("name", OVERLOADS)
def test_whoever_returns_when_asked_to_is_not_refused_again(name):
    results = results_of(name)
    if name == "eager-callers":
        results = [r for r in results if not is_eager(r)]
    assert count_results(results).refused_again == 0


def is_eager(result):
    """Return whether the caller ignores when it is asked to return."""
    return result.request.number % 10 < 3


def test_after_a_fresh_start_requests_are_served_as_before():
    down_seconds = PATTERNS["fresh-start"].down_seconds
    begin = DISTURBED_AT_SECONDS + down_seconds + RECOVERY_SECONDS
    results = sent_between(results_of("fresh-start"), begin, NEVER)
    figures = count_results(results)
    assert (figures.refused, figures.failed) == (0, 0)
    assert figures.on_time_share >= ON_TIME_SHARE


@pytest.mark.parametrize("name", OVERLOADS)
def test_urgent_classes_are_not_served_less(name):
    classes = by_class(results_of(name))
    ordered = ["interactive", "standard", "background"]
    figures = [count_results(classes[kind]) for kind in ordered]
    for urgent, other in zip(figures, figures[1:]):
        served = urgent.served_share + SERVED_DIFFERENCE
        assert served >= other.served_share
        on_time = urgent.on_time_share + ON_TIME_DIFFERENCE
        assert on_time >= other.on_time_share


def test_burst_of_a_class_does_not_delay_the_more_urgent_one():
    classes = by_class(results_of("class-burst"))
    figures = count_results(classes["interactive"])
    assert figures.on_time_share >= ON_TIME_SHARE


def test_a_deep_overload_fails_nothing_that_was_admitted():
    """What cannot be served is refused at once, not held until it fails."""
    _, results = play("class-burst", scenario=DEEP_OVERLOAD)
    assert count_results(results).failed == 0


def test_surge_of_a_customer_does_not_delay_the_others():
    """The others together use less than the capacity."""
    customers = by_customer(results_of("customer-surge"))
    surging = customers.pop(PATTERNS["customer-surge"].customer)
    others = [result for found in customers.values() for result in found]
    figures = count_results(others)
    assert figures.refused == 0
    assert figures.on_time_share >= ON_TIME_SHARE
    assert count_results(surging).on_time_share > 0


def test_callers_that_return_early_are_not_served_better():
    results = results_of("eager-callers")
    eager = [r for r in results if is_eager(r)]
    patient = [r for r in results if not is_eager(r)]
    eager_share = count_results(eager).served_share
    patient_share = count_results(patient).served_share
    assert patient_share + SERVED_DIFFERENCE >= eager_share


def test_one_prompt_of_many_does_not_push_the_others():
    customers = by_customer(results_of("hot-prompt"))
    hot = count_results(customers.pop(PATTERNS["hot-prompt"].customer))
    others = [result for found in customers.values() for result in found]
    figures = count_results(others)
    assert figures.served_share + SERVED_DIFFERENCE >= hot.served_share
    assert figures.on_time_share + SERVED_DIFFERENCE >= hot.on_time_share


def test_slow_pipes_carry_nothing_while_another_zone_is_whole():
    simulation, _ = play("slow-pipes")
    assert simulation.site.network.pipe.bytes_sent < 100e6


# Patterns in which a random chain does clearly worse.
COMPARED = ["class-burst", "customer-surge", "slow-engines", "store-outage"]


@pytest.mark.parametrize("name", COMPARED)
def test_more_is_on_time_than_with_random_chains(name):
    product = count_results(results_of(name))
    baseline = count_results(results_of(name, "baseline"))
    assert product.on_time_share > baseline.on_time_share
    assert product.served_share >= baseline.served_share
