"""What a target process has said about itself, as far as a host knows."""

import enum

# A longer rest counts as this one: a mistaken value must not take a target
# out of use for good.
MAX_REST_SECONDS = 600.0


class LeavingSource(enum.StrEnum):
    """Where a host first learned that a target leaves."""

    OWN_ANSWER = "own answer"
    PEER = "peer"
    STORE = "store"


class Announcements:
    """Announcements of one target process.

    They hold until the process ends: nothing takes a leaving back, and a
    rest ends at its deadline only. Times are monotonic, in seconds.

    Attributes
    ----------
    leaving_since : float or None
        Time of the first announcement that the process leaves.
    leaving_source : LeavingSource or None
        Source of that announcement.
    rests_until : float
        Time until which it wants no requests from this host.
    """

    __slots__ = ("leaving_since", "leaving_source", "rests_until")

    def __init__(self):
        self.leaving_since = None
        self.leaving_source = None
        self.rests_until = 0.0

    @property
    def is_leaving(self):
        """Whether the process has announced that it leaves."""
        return self.leaving_since is not None

    def is_resting(self, now):
        """Return whether the process wants no requests from this host."""
        return now < self.rests_until

    def record_leaving(self, source, since):
        """Record that the process leaves; the first announcement counts."""
        if not self.is_leaving:
            self.leaving_since = since
            self.leaving_source = source

    def record_rest(self, seconds, now):
        """Record a rest; return whether it ends later than known before.

        Parameters
        ----------
        seconds : float
            Length of the rest from now on; at most `MAX_REST_SECONDS` count.
        now : float
            Current time.
        """
        until = now + min(seconds, MAX_REST_SECONDS)
        if until <= max(now, self.rests_until):
            return False
        self.rests_until = until
        return True
