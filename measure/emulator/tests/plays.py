"""Plays of patterns that several tests look at."""

import functools

from measure.emulator import BaselinePolicy
from measure.emulator import PATTERNS
from measure.emulator import ProductPolicy
from measure.emulator import Scenario
from measure.emulator import Simulation

POLICIES = {"product": ProductPolicy, "baseline": BaselinePolicy}
# Patterns whose zones hold enough engines to lose seven of them.
LARGE_ZONES = Scenario(targets=54, seconds=11.0)
SCENARIOS = {
    "joined-crash": LARGE_ZONES,
    "joined-silence": LARGE_ZONES,
    "fresh-start": Scenario(seconds=26.0),
}


# An overload in which engines cannot read all prompts that fit in memory.
DEEP_OVERLOAD = Scenario(targets=54, seconds=11.0)


@functools.cache
def play(name, policy="product", scenario=None):
    """Return the finished `Simulation` of a pattern and its results."""
    scenario = scenario or SCENARIOS.get(name, Scenario())
    simulation = Simulation(PATTERNS[name](), scenario, POLICIES[policy]())
    return simulation, simulation.run()


def results_of(name, policy="product"):
    """Return the results of a play."""
    return play(name, policy)[1]
