"""What a target process has said about itself, as far as a host knows."""

import enum

# A longer rest counts as this one: a mistaken value must not take a target
# out of use for good.
MAX_REST_SECONDS = 600.0


class AnnouncementSource(enum.StrEnum):
    """Where a host learned what a target says about itself."""

    OWN_ANSWER = "own answer"
    PEER = "peer"
    STORE = "store"


class Announcements:
    """Announcements of one target process.

    They hold until the process ends: nothing takes a leaving back, and a
    rest ends at its deadline only. A limit holds until a later answer states
    another one or none. Times are monotonic, in seconds.

    Attributes
    ----------
    leaving_since : float or None
        Time of the first announcement that the process leaves.
    leaving_source : AnnouncementSource or None
        Source of that announcement.
    rests_until : float
        Time until which it wants no requests from this host.
    requests_per_second : float or None
        Rate that it accepts from all hosts together, None if unlimited.
    permit_due_at : float
        Time until which the limit admits no request of this host.
    limit_heard_at : float
        Time at which it last stated that rate, or that there is none.
    limit_source : AnnouncementSource or None
        Source of that statement, None if it never stated a limit.
    """

    __slots__ = (
        "leaving_since",
        "leaving_source",
        "limit_heard_at",
        "limit_source",
        "permit_due_at",
        "requests_per_second",
        "rests_until",
    )

    def __init__(self):
        self.leaving_since = None
        self.leaving_source = None
        self.rests_until = 0.0
        self.requests_per_second = None
        self.permit_due_at = 0.0
        self.limit_heard_at = float("-inf")
        self.limit_source = None

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

    def record_limit(self, requests_per_second, source, heard_at):
        """Record a limit unless a later answer is known already.

        Parameters
        ----------
        requests_per_second : float or None
            The rate that the process accepts, None if it states none.
        source : AnnouncementSource
            Where this host learned it.
        heard_at : float
            Time of the answer.

        Returns
        -------
        bool
            Whether the rate changed.
        """
        if heard_at <= self.limit_heard_at:
            return False
        if requests_per_second is None and self.limit_source is None:
            return False
        is_change = requests_per_second != self.requests_per_second
        if is_change:
            self.permit_due_at = 0.0
        self.requests_per_second = requests_per_second
        self.limit_source = source
        self.limit_heard_at = heard_at
        return is_change
