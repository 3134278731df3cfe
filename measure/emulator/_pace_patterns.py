"""Patterns of targets that come back empty under high load."""

from measure.emulator._pattern import DISTURBED_AT_SECONDS
from measure.emulator._pattern import Pattern

# Engines of each zone that crash, as a fraction.
CRASHED_SHARE = 0.25
DOWN_SECONDS = 1.5


class EmptyReturn(Pattern):
    """Engines crash and come back empty while the load is high."""

    name = "empty-return"
    about = "a quarter of the engines crash and are back empty 1.5 s later"
    load = 0.9

    def disturb(self, simulation):
        """Schedule the crashes."""
        simulation.at(DISTURBED_AT_SECONDS, self._crash, simulation)

    def _crash(self, simulation):
        for zone in sorted({engine.zone for engine in simulation.engines}):
            engines = simulation.of_zone(zone)
            count = max(1, round(CRASHED_SHARE * len(engines)))
            for engine in simulation.random.sample(engines, count):
                simulation.end_engine_later(engine, 0.0, DOWN_SECONDS)
