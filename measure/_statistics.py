"""Statistics over repeated runs."""

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
    """Median and range of samples."""

    median: float
    lowest: float
    highest: float
    count: int


class Difference(msgspec.Struct, frozen=True):
    """Difference of two means and half of its 95% interval."""

    change: float
    noise: float

    @property
    def has_moved(self):
        """Whether the change is beyond the noise."""
        return abs(self.change) > self.noise


class Line(msgspec.Struct, frozen=True):
    """A straight line through points, and how far they lie from it.

    ``residual`` is the root mean square distance in units of y.
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
    """Return the `Difference` of figures by seed.

    Runs with the same seeds are compared pair by pair, others by Welch's
    method. One sample on a side cannot tell a change from noise.

    Parameters
    ----------
    old, new : dict of int to float
        Values by seed.

    Examples
    --------
    >>> compare({1: 1.0, 2: 2.0, 3: 3.0}, {1: 2.0, 2: 3.1, 3: 4.0}).has_moved
    True
    >>> compare({1: 1.0}, {1: 9.0}).has_moved
    False
    """
    change = statistics.fmean(new.values()) - statistics.fmean(old.values())
    if min(len(old), len(new)) < 2:
        return Difference(change, math.inf)
    if set(old) == set(new):
        pairs = [new[seed] - old[seed] for seed in old]
        error = statistics.stdev(pairs) / math.sqrt(len(pairs))
        return Difference(change, _quantile(len(pairs) - 1) * error)
    return Difference(change, _welch_noise(old.values(), new.values()))


def fit_line(points):
    """Return the least-squares `Line` through points.

    Parameters
    ----------
    points : list of (float, float)
        At least three points of two or more different x.

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
    parts = [statistics.variance(side) / len(side) for side in (old, new)]
    if sum(parts) == 0:
        return 0.0
    counts = [len(old) - 1, len(new) - 1]
    spread = sum(p * p / c for p, c in zip(parts, counts, strict=True))
    freedom = max(1, int(sum(parts) ** 2 / spread))
    return _quantile(freedom) * math.sqrt(sum(parts))


def _quantile(freedom):
    return _T_QUANTILES[max(f for f in _T_QUANTILES if f <= freedom)]
