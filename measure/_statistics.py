"""Statistics of repeated runs."""

import math
import statistics

import msgspec

# Two-sided 95% quantiles of Student's t by degrees of freedom.
_T_QUANTILES = {
    1: 12.706,
    2: 4.303,
    3: 3.182,
    4: 2.776,
    5: 2.571,
    6: 2.447,
    7: 2.365,
    8: 2.306,
    9: 2.262,
    10: 2.228,
    15: 2.131,
    20: 2.086,
    30: 2.042,
}


class Summary(msgspec.Struct, frozen=True):
    """Median, range and number of samples."""

    median: float
    lowest: float
    highest: float
    count: int


class Difference(msgspec.Struct, frozen=True):
    """Difference of two means, with its uncertainty.

    ``noise`` is half the width of the 95% confidence interval of
    ``change``.
    """

    change: float
    noise: float

    @property
    def is_significant(self):
        """Whether the change is larger than the noise."""
        return abs(self.change) > self.noise


class Line(msgspec.Struct, frozen=True):
    """Straight line fitted to points.

    ``residual`` is the root mean square of the distances of the points
    from the line, in units of y.
    """

    intercept: float
    slope: float
    residual: float


def summarize(values):
    """Return the `Summary` of samples."""
    return Summary(
        statistics.median(values), min(values), max(values), len(values)
    )


def compare(old, new):
    """Return the `Difference` between two sets of samples.

    Samples with the same seeds are compared in pairs, others by Welch's
    t-test. With one sample on a side the noise is not known and counts as
    infinite.

    Parameters
    ----------
    old, new : dict of int to float
        Values by seed.

    Examples
    --------
    >>> old = {1: 1.0, 2: 2.0, 3: 3.0}
    >>> compare(old, {1: 2.0, 2: 3.1, 3: 4.0}).is_significant
    True
    >>> compare({1: 1.0}, {1: 9.0}).is_significant
    False
    """
    change = statistics.fmean(new.values()) - statistics.fmean(old.values())
    if min(len(old), len(new)) < 2:
        return Difference(change, math.inf)
    if set(old) == set(new):
        changes = [new[seed] - old[seed] for seed in old]
        standard_error = statistics.stdev(changes) / math.sqrt(len(changes))
        return Difference(change, _quantile(len(changes) - 1) * standard_error)
    return Difference(change, _welch_noise(old.values(), new.values()))


def fit_line(points):
    """Return the least-squares `Line` through points.

    Parameters
    ----------
    points : list of (float, float)
        At least three points with at least two different x.

    Examples
    --------
    >>> fit_line([(0, 1), (1, 3), (2, 5)])
    Line(intercept=1.0, slope=2.0, residual=0.0)
    """
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in points]
    return Line(intercept, slope, math.sqrt(statistics.fmean(squares)))


def _welch_noise(old, new):
    squared_errors = [
        statistics.variance(side) / len(side) for side in (old, new)
    ]
    if sum(squared_errors) == 0:
        return 0.0
    # The degrees of freedom follow from the Welch-Satterthwaite equation.
    side_degrees = [len(old) - 1, len(new) - 1]
    denominator = sum(
        s * s / d for s, d in zip(squared_errors, side_degrees, strict=True)
    )
    degrees = max(1, int(sum(squared_errors) ** 2 / denominator))
    return _quantile(degrees) * math.sqrt(sum(squared_errors))


def _quantile(degrees):
    """Return the quantile for the largest listed degrees of freedom.

    Rounding the degrees of freedom down widens the interval.
    """
    return _T_QUANTILES[max(d for d in _T_QUANTILES if d <= degrees)]
