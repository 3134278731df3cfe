"""What all emulated targets have in common."""

import abc

from apricotseam.fleet import TargetRecord
from apricotseam.platform.standins import limit_headers
from measure.emulator._limit import RequestLimit


class EmulatedTarget(abc.ABC):
    """One target process that hosts reach through a `Network`.

    Parameters
    ----------
    site : Site
        Network, registry and clock that all targets share.
    record : TargetRecord
        Its registration record.

    Attributes
    ----------
    is_silent : bool
        Whether it answers nothing, not even new connections.
    is_dead : bool
        Whether its process has ended.
    limit : RequestLimit
        Rate of requests that it states in its answers.
    """

    def __init__(self, site, record: TargetRecord):
        self._site = site
        self.record = record
        self.is_silent = False
        self.is_dead = False
        self.limit = RequestLimit()

    @property
    def identity(self):
        """Identity of this process."""
        return self.record.identity

    @property
    def address(self):
        """Address as ``ip:port``."""
        return self.record.address

    @property
    def zone(self):
        """Availability zone."""
        return self.record.zone

    def announce(self, host, arrives_at):
        """Return the headers of an answer that say how the target is.

        Parameters
        ----------
        host : str
            Host that gets the answer.
        arrives_at : float
            Time in seconds at which it does.
        """
        self.limit.tell(host, arrives_at)
        return limit_headers(self.limit.requests_per_second)

    @abc.abstractmethod
    def receive(self, connection, headers):
        """Handle a request for work."""

    @abc.abstractmethod
    def receive_call(self, connection, path, body):
        """Handle a control call."""

    @abc.abstractmethod
    def cancel(self, connection):
        """Stop the work for a connection that the host closed."""

    @abc.abstractmethod
    def crash(self, is_silent):
        """End the process, with reset connections or in silence."""
