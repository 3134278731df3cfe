"""What every pattern of load and disturbance declares."""

import abc

from apricotseam.routes import LoadPolicy
from measure.emulator._caller import PatientCaller
from measure.emulator._profile import make_customers

# Time in seconds at which the disturbance of a pattern begins.
DISTURBED_AT_SECONDS = 5.0


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
