"""Interface of admission and the one that admits everything."""

import abc

import msgspec


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """A request as admission sees it.

    ``deadline`` is monotonic: the time by which the first token or the
    answer must be there. ``pool`` names the group of targets it needs.
    The last three are the limits of its customer over all hosts.
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
    """Permission to run one request; must be closed when it ended."""

    __slots__ = ()

    def close(self, tokens=0):
        """Give the permission back.

        Parameters
        ----------
        tokens : int
            Tokens that the request used.
        """


class Admission(abc.ABC):
    """Decides when a request may start."""

    @abc.abstractmethod
    def admit(self, work):
        """Wait until the request may start and return its `Permit`.

        Raises
        ------
        LimitExceededError
            If the customer is over a limit.
        OverloadedError
            If a queue is full or the deadline cannot be met.
        """

    def observed(self, address, is_success, seconds):
        """Note how long a call to a target took."""


class OpenAdmission(Admission):
    """Admits every request at once."""

    def admit(self, work):
        """Return a permit at once."""
        return Permit()
