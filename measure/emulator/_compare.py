"""Plays of a pattern with the product's policy and with the baseline."""

from apricotseam.errors import InvalidInputError
from measure.emulator._patterns import PATTERNS
from measure.emulator._policy import BaselinePolicy
from measure.emulator._policy import ProductPolicy
from measure.emulator._profile import DEPLOYMENTS
from measure.emulator._report import format_report
from measure.emulator._simulation import Simulation

POLICIES = {"product": ProductPolicy, "baseline": BaselinePolicy}


def compare_policies(name, scenarios, load=0.0):
    """Yield a report, as lines of text, on the plays of a pattern.

    Parameters
    ----------
    name : str
        Name of the pattern.
    scenarios : list of Scenario
        Size and seed of each play.
    load : float
        Usual load as a fraction of the capacity; 0 for the pattern's own.

    Raises
    ------
    InvalidInputError
        If there is no such pattern or deployment.
    """
    found = PATTERNS.get(name)
    if found is None:
        raise InvalidInputError(
            f"no pattern has the name {name}",
            f"choose one of {', '.join(PATTERNS)}",
        )
    for scenario in scenarios:
        if scenario.deployment not in DEPLOYMENTS:
            raise InvalidInputError(
                f"no deployment has the name {scenario.deployment}",
                f"choose one of {', '.join(DEPLOYMENTS)}",
            )
    plays = {policy: [] for policy in POLICIES}
    for scenario in scenarios:
        for policy, make_policy in POLICIES.items():
            pattern = found()
            if load:
                pattern.load = load
            simulation = Simulation(pattern, scenario, make_policy())
            plays[policy].append(simulation.run())
        rate = simulation.capacity.requests_per_second
        yield f"seed {scenario.seed}: capacity {rate:.1f} requests/s"
    yield from format_report(plays)
