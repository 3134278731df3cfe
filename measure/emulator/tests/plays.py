"""Plays of patterns that several tests look at."""

import functools

from measure.emulator._load_patterns import LOAD_PATTERNS
from measure.emulator import BaselinePolicy
from measure.emulator import PATTERNS
from measure.emulator import ProductPolicy
from measure.emulator import Scenario
from measure.emulator import Simulation

POLICIES = {"product": ProductPolicy, "baseline": BaselinePolicy}
# Patterns whose zones hold enough engines to lose seven of them.
LARGE_ZONES = Scenario(targets=54, seconds=11.0)
# Times for which the patterns of load are played; those not listed last 11 s.
LOAD_SECONDS = {
    "class-bursts": 17.0,
    "chain-losses": 13.0,
    "silent-chain-loss": 13.0,
    "refused-return": 9.0,
    "hurried-callers": 10.0,
}
SCENARIOS = {
    "joined-crash": LARGE_ZONES,
    "joined-silence": LARGE_ZONES,
    "fresh-start": Scenario(seconds=26.0),
    **{
        pattern.name: Scenario(
            hosts=8,
            targets=29,
            seconds=LOAD_SECONDS.get(pattern.name, 11.0),
            deployment="mixed",
        )
        for pattern in LOAD_PATTERNS
    },
}


# An overload in which engines cannot read all prompts that fit in memory.
DEEP_OVERLOAD = Scenario(targets=54, seconds=11.0)


def play(name, policy="product", scenario=None):
    """Return the finished `Simulation` of a pattern and its results."""
    scenario = scenario or SCENARIOS.get(name, Scenario())
    return _play(name, policy, scenario)


@functools.cache
def _play(name, policy, scenario):
    simulation = Simulation(PATTERNS[name](), scenario, POLICIES[policy]())
    return simulation, simulation.run()


def results_of(name, policy="product"):
    """Return the results of a play."""
    return play(name, policy)[1]
