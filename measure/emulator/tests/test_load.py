"""What must hold under load beyond the capacity, and under losses at it.

The bounds are those of docs/design/hard-load.md. Each play names the load and
the failure against which it guards. Larger plays, of 71 hosts, are run by
command; see docs/measuring.md.
"""

import msgspec
import pytest

from measure.emulator import by_class
from measure.emulator import by_customer
from measure.emulator import count_results
from measure.emulator import credit_share
from measure.emulator import PATTERNS
from measure.emulator import sent_between
from measure.emulator.tests.plays import play
from measure.emulator.tests.plays import SCENARIOS

# Least share on time while there is room.
ON_TIME_SHARE = 0.95
# Time after a disturbance from which that holds.
SETTLE_SECONDS = 3.0
# By how much more often a class may be served than a more urgent one, and by
# how much the shares of their credit may differ.
SERVED_DIFFERENCE = 0.05
CREDIT_DIFFERENCE = 0.15
# Least share served of a class or a customer, compared with the mean.
LEAST_OF_MEAN = 0.25
# Customers with fewer requests say too little.
MIN_REQUESTS = 10


class Load:
    """One play of a pattern, and the failure that it guards against.

    Parameters
    ----------
    name : str
        Name of the pattern.
    guards : str
        The failure.
    hosts : int
        Number of hosts.
    deployment : str
        Deployment of the engines.
    has_room : bool
        Whether there is room for all requests after the disturbance.
    """

    def __init__(
        self, name, guards, hosts=8, deployment="mixed", has_room=False
    ):
        self.name = name
        self.guards = guards
        self.has_room = has_room
        self._scenario = msgspec.structs.replace(
            SCENARIOS[name], hosts=hosts, deployment=deployment
        )

    def __str__(self):
        """Return the name of the play in reports of tests."""
        scenario = self._scenario
        return f"{self.name}-{scenario.hosts}-{scenario.deployment}"

    @property
    def results(self):
        """Results of the play, which is done once."""
        return play(self.name, scenario=self._scenario)[1]

    @property
    def results_after(self):
        """Results of what is sent after the disturbance."""
        settled_at = PATTERNS[self.name].end_seconds + SETTLE_SECONDS
        return sent_between(self.results, settled_at, self._scenario.seconds)


LOADS = [
    Load(
        "class-bursts",
        "a burst of an urgent class pays for one of another class before",
    ),
    Load(
        "customer-burst",
        "one customer's burst is paid for by all others",
    ),
    Load(
        "skewed-zone",
        "hosts keep to their zone's targets, which are too few",
        has_room=True,
    ),
    Load(
        "moved-callers",
        "the choice of zones follows where callers were before",
        has_room=True,
    ),
    Load(
        "chain-losses",
        "all streams of lost chains go to the only chain that is left",
    ),
    Load(
        "chain-losses",
        "many hosts send at once, as each knows too little of the others",
        hosts=27,
    ),
    Load(
        "chain-losses",
        "requests wait for the narrow link between zones until callers leave",
        deployment="narrow",
    ),
    Load(
        "silent-chain-loss",
        "hosts overload what is left while they hear nothing of each other",
        has_room=True,
    ),
    Load(
        "fast-chain-lost",
        "requests are held for a chain that cannot start them in time",
    ),
    Load(
        "targets-return",
        "what was known of a process is taken for true of its successor",
        has_room=True,
    ),
    Load(
        "targets-return-loaded",
        "a target that has just started gets all requests at once",
        has_room=True,
    ),
    Load(
        "hosts-restart",
        "hosts that know nothing yet send everything to the same targets",
    ),
    Load(
        "refused-return",
        "refused callers return at the same time, and are refused again",
    ),
    Load(
        "hurried-callers",
        "requests are admitted although their callers leave before the start",
    ),
]
each_load = pytest.mark.parametrize("load", LOADS, ids=str)


# Guards against requests that are held until their callers leave, or that
# fail with what they were sent to.
@each_load
def test_nothing_that_was_admitted_fails(load):
    assert count_results(load.results).failed == 0, load.guards


# Guards against an order of the queue, or a place to start, that is lost to
# less urgent requests.
@each_load
def test_urgent_classes_are_not_served_less(load):
    shares = _shares_by_urgency(load, _served_share)
    for urgent, other in zip(shares, shares[1:]):
        assert urgent + SERVED_DIFFERENCE >= other, load.guards


# Guards against urgent requests that are served, but late.
@each_load
def test_urgent_classes_earn_their_share_of_credit(load):
    shares = _shares_by_urgency(load, credit_share)
    for urgent, other in zip(shares, shares[1:]):
        assert urgent + CREDIT_DIFFERENCE >= other, load.guards


# Guards against classes and customers that get nothing under load.
@each_load
@pytest.mark.parametrize("group", [by_class, by_customer])
def test_nobody_is_served_far_less_than_the_mean(load, group):
    least = LEAST_OF_MEAN * _served_share(load.results)
    for results in group(load.results).values():
        if len(results) >= MIN_REQUESTS:
            assert _served_share(results) >= least, load.guards


# Guards against a disturbance that outlives its cause.
@pytest.mark.parametrize(
    "load", [load for load in LOADS if load.has_room], ids=str
)
def test_while_there_is_room_requests_are_on_time(load):
    assert load.results_after
    share = count_results(load.results_after).on_time_share
    assert share >= ON_TIME_SHARE, load.guards


def test_a_thousand_callers_are_refused():
    """A play with fewer of them would show nothing about their return."""
    load = next(load for load in LOADS if load.name == "refused-return")
    assert count_results(load.results).refused_once >= 1000


def _shares_by_urgency(load, share):
    """Return a share of each class, that of the most urgent first."""
    classes = sorted(
        by_class(load.results).values(),
        key=lambda results: results[0].request.request_class.priority,
    )
    return [share(results) for results in classes]


def _served_share(results):
    return count_results(results).served_share
