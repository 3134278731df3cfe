"""Arrivals over time from recorded shapes."""

import pathlib

import msgspec
import yaml

SHAPES = pathlib.Path(__file__).parent / "shapes"


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate at a moment, both as a share of the whole."""

    at: float
    rate: float


class Shape(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Rate of arrivals over time, straight between its points.

    Times go from 0 to 1 of the duration, rates from 0 to 1 of the peak.
    """

    name: str
    about: str
    points: list[Point]

    def rate(self, at):
        """Return the rate at a share of the duration.

        Examples
        --------
        >>> shape = Shape(name="", about="", points=[Point(0, 0), Point(1, 1)])
        >>> shape.rate(0.25)
        0.25
        """
        before = self.points[0]
        for after in self.points[1:]:
            if at <= after.at:
                width = after.at - before.at
                share = (at - before.at) / width if width else 1.0
                return before.rate + share * (after.rate - before.rate)
            before = after
        return before.rate


def load_shape(name, folder=SHAPES):
    """Return a shape by its name."""
    data = yaml.safe_load((folder / f"{name}.yaml").read_text())
    return msgspec.convert(data, Shape, strict=True)


def arrivals(shape, seconds, peak, generator):
    """Return arrival times of a Poisson process with the shape's rate.

    Parameters
    ----------
    shape : Shape
        Rate over time.
    seconds : float
        Duration.
    peak : float
        Arrivals a second where the shape's rate is 1.
    generator : random.Random
        Source of random numbers.

    Returns
    -------
    list of float
        Seconds from the start, ascending.
    """
    times = []
    now = generator.expovariate(peak)
    while now < seconds:
        if generator.random() < shape.rate(now / seconds):
            times.append(now)
        now += generator.expovariate(peak)
    return times
