"""Hosts that lose their links to the targets, in fleets of every size."""

import pytest

from measure.emulator._cut_patterns import ADAPT_SECONDS
from measure.emulator._cut_patterns import CUT_SECONDS
from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator import PATTERNS
from measure.emulator import ProductPolicy
from measure.emulator import Scenario
from measure.emulator import sent_between
from measure.emulator import Simulation
from measure.emulator.tests.plays import play

CUT_END_SECONDS = DISTURBED_AT_SECONDS + CUT_SECONDS
# Time after the end of a cut from which all is as before.
SETTLE_SECONDS = 2.0
# First tries at hosts that are cut off are served at least this often,
# compared with those at the others.
LEAST_RATIO = 2 / 3
# Least share of first tries that others serve, compared with before the cut.
UNHARMED = 0.95
# Longest time until a request that no host can serve is refused.
REFUSED_SECONDS = 0.25
HOSTS = [8, 22]
NAMES = [
    "hosts-cut-off",
    "hosts-refused",
    "hosts-reset",
    "hosts-kept",
    "hosts-one-way",
    "placer-cut-off",
    "zone-cut-off",
    "most-hosts-cut-off",
    "first-targets-cut-off",
    "hosts-flapping",
]
SIZES = [
    *((name, hosts) for name in NAMES for hosts in HOSTS),
    ("hosts-kept", 195),
    ("zone-cut-off", 195),
    ("most-hosts-cut-off", 195),
]


class CutPlay:
    """A play, with the results at hosts that are cut off and at others."""

    def __init__(self, name, hosts):
        seconds = 16.0 if hosts > 100 else 21.0
        scenario = Scenario(hosts=hosts, targets=54, seconds=seconds)
        self.simulation, self.results = play(name, scenario=scenario)
        self._cut_off = self.simulation.cut_off

    def served_share(self, is_cut_off, begin, end):
        """Return the share of first tries that brought a whole answer.

        Parameters
        ----------
        is_cut_off : bool or None
            Whether to look at hosts that are cut off; None for all.
        begin, end : float
            Times in seconds between which the requests were sent.
        """
        tries = [
            result
            for result in sent_between(self.results, begin, end)
            if is_cut_off in (None, result.hosts[0] in self._cut_off)
        ]
        assert tries
        return sum(r.is_served_at_once for r in tries) / len(tries)

    def share_before(self):
        """Return the share at all hosts before the cut."""
        return self.served_share(None, 0.0, DISTURBED_AT_SECONDS - 1.0)

    def share_during(self, is_cut_off):
        """Return the share while the cut lasts, once hosts could adapt."""
        begin = DISTURBED_AT_SECONDS + ADAPT_SECONDS
        return self.served_share(is_cut_off, begin, CUT_END_SECONDS)


# Guards against hosts that avoid sound targets because another host, which
# has lost its own links, tells them that these are silent.
@pytest.mark.parametrize(("name", "hosts"), SIZES)
def test_hosts_that_are_cut_off_do_not_harm_the_others(name, hosts):
    cut_play = CutPlay(name, hosts)
    before = cut_play.share_before()
    assert cut_play.share_during(is_cut_off=False) >= UNHARMED * before


# Guards against hosts that refuse what they can't send themselves, although
# other hosts reach the targets.
@pytest.mark.parametrize(("name", "hosts"), SIZES)
def test_requests_at_hosts_that_are_cut_off_are_served(name, hosts):
    cut_play = CutPlay(name, hosts)
    others = max(
        cut_play.share_during(is_cut_off=False), cut_play.share_before()
    )
    assert cut_play.share_during(is_cut_off=True) >= LEAST_RATIO * others


# Guards against hosts that keep to another way, or hold parts of prompts
# back, after their links are there again.
@pytest.mark.parametrize(("name", "hosts"), SIZES[:2] + SIZES[10:14])
def test_all_is_as_before_soon_after_a_cut(name, hosts):
    cut_play = CutPlay(name, hosts)
    after = cut_play.served_share(None, CUT_END_SECONDS + SETTLE_SECONDS, 1e9)
    assert after >= UNHARMED * cut_play.share_before()
    for host in cut_play.simulation.hosts:
        assert not host.context.quarantine.held


# Guards against a placer that moves the layers of targets which are silent to
# its own host only.
@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize(
    "name", ["placer-misses-first-targets", "placer-cut-off"]
)
def test_placer_that_misses_targets_moves_no_layers(name, hosts):
    cut_play = CutPlay(name, hosts)
    assert not [e for e in cut_play.simulation.engines if e.record.orders]


# Guards against a way through other hosts that another trouble closes.
@pytest.mark.parametrize("hosts", HOSTS)
@pytest.mark.parametrize(
    "name", ["cut-and-restarts", "cut-and-burst", "cut-without-store"]
)
def test_requests_are_served_also_beside_other_trouble(name, hosts):
    cut_play = CutPlay(name, hosts)
    others = cut_play.share_during(is_cut_off=False)
    assert others >= LEAST_RATIO * cut_play.share_before()
    assert cut_play.share_during(is_cut_off=True) >= LEAST_RATIO * others


# Guards against hosts that take the silence of a target for a cut.
@pytest.mark.parametrize("hosts", HOSTS)
def test_short_silence_of_targets_is_no_loss_of_links(hosts):
    scenario = Scenario(hosts=hosts, targets=54, seconds=18.0)
    pattern = PATTERNS["short-silences"]()
    simulation = Simulation(pattern, scenario, ProductPolicy())
    lost = set()
    for number in range(180):
        simulation.at(
            number / 10,
            lambda: lost.update(
                host.name
                for host in simulation.hosts
                if host.hosts.lost_services
            ),
        )
    simulation.run()
    assert not lost


# Guards against callers that wait although no host reaches a target.
@pytest.mark.parametrize("hosts", HOSTS)
def test_requests_are_refused_at_once_if_all_hosts_are_cut_off(hosts):
    cut_play = CutPlay("all-hosts-cut-off", hosts)
    begin = DISTURBED_AT_SECONDS + ADAPT_SECONDS
    tries = sent_between(cut_play.results, begin, CUT_END_SECONDS - 4.0)
    assert tries
    for result in tries:
        assert result.refusals
        assert result.first_refused_at - result.request.at <= REFUSED_SECONDS
