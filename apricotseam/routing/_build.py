"""Builds the chooser that the settings name."""

from apricotseam.config import Choice
from apricotseam.routing._baselines import LeastReportedChooser
from apricotseam.routing._baselines import RandomChooser
from apricotseam.routing._baselines import RoundRobinChooser
from apricotseam.routing._least_cost import LeastCostChooser


def build_chooser(choice, **options):
    """Return a `Chooser`.

    Parameters
    ----------
    choice : Choice
        Policy that the settings name.
    options : dict
        Options of `LeastCostChooser`.
    """
    if choice is Choice.RANDOM:
        return RandomChooser(options.get("generator"))
    if choice is Choice.ROUND_ROBIN:
        return RoundRobinChooser()
    if choice is Choice.LEAST_REPORTED:
        return LeastReportedChooser(options.get("generator"))
    return LeastCostChooser(**options)
