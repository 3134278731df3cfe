"""Costs at several sizes and the least-squares line through them."""

import random

from measure._figure import Figure
from measure._statistics import fit_line
from measure.slopes import ALL_SLOPES

MIN_SIZES = 3


def run(parameters, variant, seed):
    """Measure each slope of the parameters at its sizes.

    Parameters
    ----------
    parameters : dict
        ``slopes``: sizes by the name of the slope.
    variant : str
        Not used.
    seed : int
        Seed of the order in which the sizes are measured.

    Returns
    -------
    list of Figure
        For each slope the cost for one more unit of size, the cost at
        size 0, and the root mean square residual of the line.
    """
    generator = random.Random(seed)
    figures = []
    for name, sizes in parameters["slopes"].items():
        figures.extend(_measure_slope(ALL_SLOPES[name], sizes, generator))
    return figures


def _measure_slope(slope, sizes, generator):
    if len(sizes) < MIN_SIZES:
        raise ValueError(
            f"{slope.name}: at least {MIN_SIZES} sizes are needed"
        )
    order = generator.sample(sizes, len(sizes))
    points = [(size, slope.measure(size)) for size in order]
    line = fit_line(points)
    return [
        Figure(
            name=slope.name,
            value=line.slope,
            unit=f"{slope.unit} per {slope.per}",
        ),
        Figure(
            name=f"{slope.name}: at none",
            value=line.intercept,
            unit=slope.unit,
        ),
        Figure(
            name=f"{slope.name}: residual",
            value=line.residual,
            unit=slope.unit,
        ),
    ]
