"""Creates the chooser for the choice policy in the settings."""

from apricotseam.config import Choice
from apricotseam.routing._baselines import LeastReportedChooser
from apricotseam.routing._baselines import RandomChooser
from apricotseam.routing._baselines import RoundRobinChooser
from apricotseam.routing._least_cost import LeastCostChooser


def build_chooser(choice, **options):
    """Return the `Chooser` of a policy.

    Parameters
    ----------
    choice : Choice
        Policy named in the settings.
    options : dict
        Arguments of `LeastCostChooser`; the other choosers use at most
        ``generator``.
    """
    if choice is Choice.RANDOM:
        return RandomChooser(options.get("generator"))
    if choice is Choice.ROUND_ROBIN:
        return RoundRobinChooser()
    if choice is Choice.LEAST_REPORTED:
        return LeastReportedChooser(options.get("generator"))
    return LeastCostChooser(**options)
