"""Requests that end the processes of targets, in fleets of every size."""

import pytest

from apricotseam.quarantine._traits import PART_PREFIX
from measure.emulator._fatal import ALLOWED_AFTERWARDS
from measure.emulator._fatal_patterns import FatalPartAndPowerLoss
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator import PATTERNS
from measure.emulator import ProductPolicy
from measure.emulator import Scenario
from measure.emulator import sent_between
from measure.emulator import Simulation
from measure.emulator.tests.plays import play

HOSTS = [8, 22, 195]
# Ends before the first trial.
ENDS_TO_HOLD = 3
# Time after the last of them until sound requests begin again.
SETTLE_SECONDS = 6.0
# Time in which no trial of what is held back may follow.
TRIAL_PAUSE_SECONDS = 4.0
# Least share of sound requests that begin at once, compared with before.
SOUND_FRACTION = 0.5


def play_fatal(name, hosts, seconds=24.0):
    """Play a pattern in which requests end the processes of engines."""
    scenario = Scenario(hosts=hosts, targets=54, seconds=seconds)
    return play(name, scenario=scenario)


def begun_share(results):
    """Return the share of requests that begin at their first attempt."""
    begun = [r for r in results if r.attempts == 1 and r.first_event_at]
    return len(begun) / len(results)


# Guards against requests with one part that end target after target, each
# treated as if it were the first.
@pytest.mark.parametrize("hosts", HOSTS)
def test_part_that_ends_targets_reaches_no_more_of_them(hosts):
    simulation, _ = play_fatal("fatal-part", hosts)
    fatal = simulation.site.fatal
    assert fatal.ends
    assert fatal.excess() <= 0


# Guards against one request that ends target after target as its caller
# repeats it at other hosts.
@pytest.mark.parametrize("hosts", HOSTS)
def test_request_that_ends_targets_reaches_no_more_of_them(hosts):
    simulation, _ = play_fatal("fatal-request", hosts, seconds=16.0)
    fatal = simulation.site.fatal
    assert fatal.ends
    assert fatal.excess() <= 0


DISTURBED = [
    "fatal-part-and-restarts",
    "fatal-part-and-power-loss",
    "fatal-part-without-store",
    "fatal-part-and-cut-zone",
]


# Guards against hosts that learn anew, after a restart or a cut, which part
# ends targets.
@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize("name", DISTURBED)
def test_fleet_remembers_the_part_that_ends_targets(name, hosts):
    simulation, _ = play_fatal(name, hosts)
    fatal = simulation.site.fatal
    assert fatal.ends
    assert fatal.excess(simulation.is_out_of_touch) <= 0


# Guards against hosts that all start at once and know nothing any more.
@pytest.mark.parametrize("hosts", [8, 22])
def test_what_is_held_back_outlives_a_loss_of_power(hosts):
    simulation, _ = play_fatal("fatal-part-and-power-loss", hosts)
    begin = FatalPartAndPowerLoss.at_seconds
    ends = simulation.site.fatal.ends
    assert not [at for at in ends if begin < at < begin + TRIAL_PAUSE_SECONDS]


# Guards against sound requests that are held back after an outage of all
# targets, under which no request was to blame.
@pytest.mark.parametrize("hosts", [8, 22])
def test_an_outage_without_a_cause_holds_no_part_back(hosts):
    scenario = Scenario(hosts=hosts, targets=54, seconds=24.0)
    pattern = PATTERNS["engines-end-in-turn"]()
    simulation = Simulation(pattern, scenario, ProductPolicy())
    held = set()
    simulation.at(
        scenario.seconds - 1.0,
        lambda: held.update(
            *(host.context.quarantine.held for host in simulation.hosts)
        ),
    )
    simulation.run()
    assert not [trait for trait in held if trait.startswith(PART_PREFIX)]


# Guards against a second part, or a first part, that goes on to end targets.
@pytest.mark.parametrize("name", ["two-fatal-parts", "fatal-first-part"])
def test_each_part_that_ends_targets_is_held_back(name):
    simulation, results = play_fatal(name, 8)
    fatal = simulation.site.fatal
    late = [a for a in fatal.arrivals if a.at > fatal.ends[0] + 12.0]
    assert len(late) <= ALLOWED_AFTERWARDS
    sound = [r for r in results if not fatal.is_fatal(r.request.prompt_parts)]
    usual = begun_share(sent_between(sound, 0.0, DISTURBED_AT_SECONDS))
    after = sent_between(sound, fatal.ends[0] + 12.0, 1e9)
    assert begun_share(after) >= SOUND_FRACTION * usual


# Guards against sound requests that get no answer while others with the same
# first part end target after target.
@pytest.mark.parametrize("hosts", HOSTS)
def test_sound_requests_with_the_same_first_part_go_on(hosts):
    simulation, results = play_fatal("fatal-part", hosts)
    fatal = simulation.site.fatal
    sound = [
        r
        for r in results
        if r.request.prompt_parts[0] == "instructions-customer-0"
        and not fatal.is_fatal(r.request.prompt_parts)
    ]
    usual = begun_share(sent_between(sound, 0.0, DISTURBED_AT_SECONDS))
    begin = fatal.ends[:ENDS_TO_HOLD][-1] + SETTLE_SECONDS
    after = sent_between(sound, begin, 1e9)
    assert begun_share(after) >= SOUND_FRACTION * usual
