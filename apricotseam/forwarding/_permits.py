"""Permission to send a request to a target that states a limit."""

import abc


class SendPermits(abc.ABC):
    """Grants sends to targets, so that all hosts together keep to limits."""

    @abc.abstractmethod
    async def acquire(self, target):
        """Return whether one request may be sent to a target now.

        If not, the target records from when on it is worth asking again;
        see `Target.waits_for_permit`.

        Parameters
        ----------
        target : Target
            The target, as the first of a chain or alone.
        """
