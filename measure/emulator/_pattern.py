"""What every pattern of load and disturbance declares."""

import abc

from apricotseam.routes import LoadPolicy
from measure.emulator._caller import PatientCaller
from measure.emulator._profile import make_customers

# Time in seconds at which the disturbance of a pattern begins.
DISTURBED_AT_SECONDS = 5.0
JOINED_ENGINES = 7


class Pattern(abc.ABC):
    """Load and disturbances of a play.

    Attributes
    ----------
    name : str
        Name on the command line.
    about : str
        One line for the list of patterns.
    load : float
        Usual load as a fraction of the capacity.
    load_policy : LoadPolicy
        Decisions under load that the hosts use.
    """

    name = ""
    about = ""
    load = 0.6
    load_policy = LoadPolicy()

    def make_customers(self):
        """Return the customers."""
        return make_customers()

    def factor(self, at, request_class, customer):
        """Return by how much a rate exceeds the usual one at a time."""
        return 1.0

    def make_caller(self, simulation, request):
        """Return the `Caller` of a request."""
        return PatientCaller(simulation, request)

    @abc.abstractmethod
    def disturb(self, simulation):
        """Schedule the disturbances of a `Simulation`."""


def joined_engines(engines, count=JOINED_ENGINES):
    """Return engines that run stages of the same streams.

    Beginning with the engine that most streams use, the one that shares
    most streams with those chosen is added until there are enough.

    Parameters
    ----------
    engines : list of Engine
        Engines to choose from.
    count : int
        Number of engines to choose.
    """
    streams = {engine: set(engine.memory.holders) for engine in engines}
    chosen = []
    shared = set()
    while len(chosen) < min(count, len(engines)):
        left = [engine for engine in engines if engine not in chosen]
        best = max(
            left,
            key=lambda e: (
                len(streams[e] & shared if shared else streams[e]),
                e.identity,
            ),
        )
        chosen.append(best)
        shared |= streams[best]
    return chosen
