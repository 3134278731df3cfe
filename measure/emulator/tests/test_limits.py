"""What targets that state a limit receive, in fleets of every size."""

import pytest

from measure.emulator import count_results
from measure.emulator import PATTERNS
from measure.emulator import Scenario
from measure.emulator import sent_between
from measure.emulator.tests.plays import play

# Time after the end of all limits until nobody waits.
SETTLE_SECONDS = 3.0
HOSTS = [8, 22, 195]
LIMITED = ["limited-engines", "all-engines-limited"]


def limited_engines(simulation):
    """Return the engines that stated a limit."""
    return [e for e in simulation.engines if e.limit.first_told_at is not None]


def play_limits(name, hosts):
    """Play a pattern with more hosts than a limit allows requests."""
    return play(name, scenario=Scenario(hosts=hosts, targets=54, seconds=15.0))


# Guards against targets that get more requests than the limit they stated,
# as each host went on sending.
@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("name", LIMITED)
def test_limit_of_a_target_holds_over_all_hosts(name, hosts):
    simulation, _ = play_limits(name, hosts)
    engines = limited_engines(simulation)
    assert engines
    for engine in engines:
        assert engine.limit.worst_excess() <= 0
        assert engine.limit.worst_excess_of_fleet() <= 0


@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("name", LIMITED)
def test_limit_that_has_ended_holds_nothing_back(name, hosts):
    _, results = play_limits(name, hosts)
    begin = PATTERNS[name].end_seconds + SETTLE_SECONDS
    figures = count_results(sent_between(results, begin, 1e9))
    assert figures.refused_once == 0
    assert figures.failed == 0
