"""Interface of admission, and an implementation without limits."""

import abc

import msgspec


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """Attributes of a request that admission decides by.

    ``deadline`` is the monotonic time in seconds by which the first token
    or the answer is due. ``pool`` is the group of targets that serves the
    request. Lower values of ``rank`` are more urgent; ``weight`` is that of
    the priority class within its rank. ``tokens`` is the expected number of
    tokens, which is the cost of the request. ``requests_per_second``,
    ``tokens_per_second`` and ``max_streams`` are the limits of the customer
    over all hosts.
    """

    request: str
    scope: str
    customer: str
    customer_weight: float
    pool: str
    priority: str
    rank: int
    weight: float
    deadline: float
    tokens: int = 1
    size_bytes: int = 0
    requests_per_second: float = 1e12
    tokens_per_second: float = 1e12
    max_streams: int = 1_000_000_000


class Permit:
    """Permission to run one request; must be closed when the request ends."""

    __slots__ = ()

    def close(self, tokens=0):
        """Release the permit.

        Parameters
        ----------
        tokens : int
            Number of tokens that the request used.
        """


class Admission(abc.ABC):
    """Decides when a request may start."""

    @abc.abstractmethod
    def admit(self, work):
        """Wait until the request may start and return its `Permit`.

        Raises
        ------
        LimitExceededError
            If the customer would exceed one of its limits.
        OverloadedError
            If a queue is full or the deadline cannot be met.
        """

    def observed(self, address, is_success, seconds):
        """Record the duration in seconds of a call to a target."""


class OpenAdmission(Admission):
    """Admits every request immediately."""

    def admit(self, work):
        """Return a permit immediately."""
        return Permit()
