"""Arrival times of requests that follow a load shape."""

import pathlib

import msgspec
import yaml

SHAPES_FOLDER = pathlib.Path(__file__).parent / "shapes"


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival rate at one time.

    ``at`` is a fraction of the duration and ``rate`` one of the peak rate.
    """

    at: float
    rate: float


class Shape(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Arrival rate over time, interpolated linearly between points.

    Times are fractions of the duration and rates fractions of the peak,
    both from 0 to 1.
    """

    name: str
    about: str
    points: list[Point]

    def rate(self, at):
        """Return the rate at a fraction of the duration.

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
                fraction = (at - before.at) / width if width else 1.0
                return before.rate + fraction * (after.rate - before.rate)
            before = after
        return before.rate


def load_shape(name, folder=SHAPES_FOLDER):
    """Return the shape of the YAML file with its name."""
    data = yaml.safe_load((folder / f"{name}.yaml").read_text())
    return msgspec.convert(data, Shape, strict=True)


def arrivals(shape, seconds, peak, generator):
    """Return arrival times of a Poisson process with the rate of a shape.

    Arrivals are generated at the peak rate and thinned to the shape.

    Parameters
    ----------
    shape : Shape
        Arrival rate over time.
    seconds : float
        Duration in seconds.
    peak : float
        Arrivals per second where the rate of the shape is 1.
    generator : random.Random
        Source of random numbers.

    Returns
    -------
    list of float
        Times in seconds from the start, ascending.
    """
    times = []
    now = generator.expovariate(peak)
    while now < seconds:
        if generator.random() < shape.rate(now / seconds):
            times.append(now)
        now += generator.expovariate(peak)
    return times
