"""Evidence for and against one trait of requests."""

import msgspec

# Ends that are kept of each trait; more say nothing new.
MAX_ENDS = 32
# Ends from which on the evidence of a trait is kept, and told, before that of
# others. One end breaks off many requests, each with traits of its own.
TELLING_ENDS = 2
NEVER = float("-inf")
LATER_THAN_ANY = float("inf")
# A trait that requests without harm had within this time before the first
# end is a common one.
COMMON_SECONDS = 30.0
# A target that has written for this long has survived the beginning of an
# answer, unless targets end later than this under the same trait.
SURVIVAL_SECONDS = 1.0


class TargetEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End of a target's process while it began to answer a request.

    ``process`` is `Target.incarnation`. ``request_key`` is the same for a
    request and its repeats. ``sent_at`` and ``at`` are the monotonic times
    in seconds at which the request was sent and the process ended.
    ``is_begun`` is whether the head of the answer had arrived, ``is_late``
    whether the target had written for `SURVIVAL_SECONDS`.
    """

    process: tuple[str, int]
    request_key: str
    customer: str
    sent_at: float
    at: float
    is_begun: bool = False
    is_late: bool = False


class Evidence:
    """What is known of one trait, from all hosts.

    All times are monotonic, in seconds. Evidence of two hosts is merged by
    adding that of one to the other, in any order and any number of times.

    Attributes
    ----------
    ends : dict of tuple to TargetEnd
        Ends under requests with the trait since `sound_at`, by process.
    sound_at : float
        Time until which ends are known to have another cause.
    survived_at : float
        Time at which a target had last written for `SURVIVAL_SECONDS` to a
        request with the trait.
    seen_at : float
        Time of the last request with the trait that was held back.
    review_at : float
        Time from which a new decision may differ though nothing was added.
    changed_at : float
        Time of the last change that peers should know.
    is_held : bool
        Whether requests with the trait are held back.
    """

    __slots__ = (
        "changed_at",
        "ends",
        "is_held",
        "review_at",
        "seen_at",
        "sound_at",
        "survived_at",
    )

    def __init__(self, sound_at=NEVER, survived_at=NEVER):
        self.ends = {}
        self.sound_at = sound_at
        self.survived_at = survived_at
        self.review_at = LATER_THAN_ANY
        self.seen_at = NEVER
        self.changed_at = NEVER
        self.is_held = False

    @property
    def customers(self):
        """Customers of the requests under which targets ended."""
        return {end.customer for end in self.ends.values()}

    @property
    def request_count(self):
        """Number of different requests under which targets ended."""
        return len({end.request_key for end in self.ends.values()})

    @property
    def first_at(self):
        """Time of the first end."""
        return min(end.at for end in self.ends.values())

    @property
    def last_at(self):
        """Time of the last end, or `NEVER`."""
        return max((end.at for end in self.ends.values()), default=NEVER)

    @property
    def is_telling(self):
        """Whether it says more than the many traits of one end do."""
        return self.is_held or len(self.ends) >= TELLING_ENDS

    @property
    def is_common(self):
        """Whether other requests with the trait did no harm before."""
        if not self.ends:
            return False
        since = self.first_at - COMMON_SECONDS
        has_survived = self.survived_at > since and not self.are_all_late
        return self.was_sound or has_survived

    @property
    def was_sound(self):
        """Whether other requests with the trait were answered before."""
        if not self.ends:
            return False
        return self.sound_at > self.first_at - COMMON_SECONDS

    @property
    def are_all_late(self):
        """Whether each target had written for `SURVIVAL_SECONDS`."""
        return all(end.is_late for end in self.ends.values())

    def add_end(self, end, now):
        """Add a `TargetEnd`; return whether it says anything new."""
        if end.process in self.ends or end.at <= self.sound_at:
            return False
        if len(self.ends) >= MAX_ENDS:
            return False
        self.ends[end.process] = end
        self.changed_at = now
        return True

    def add_answer(self, began_at, now):
        """Add that a request with the trait was answered without harm.

        What does harm always does it. An answer that began after the first
        end therefore disproves all ends up to now. One that began earlier
        says nothing about what came after its beginning.

        Parameters
        ----------
        began_at : float
            Time at which the answer began.
        now : float
            Current time.

        Returns
        -------
        bool
            Whether ends were disproved.
        """
        is_later = bool(self.ends) and self.first_at < began_at
        return self.add_sound(now if is_later else began_at, now)

    def add_survival(self, began_at, now):
        """Add that a target has written for `SURVIVAL_SECONDS`.

        It speaks for the trait like a complete answer, unless targets ended
        later than this.

        Parameters
        ----------
        began_at : float
            Time at which the answer began.
        now : float
            Current time.

        Returns
        -------
        bool
            Whether ends were disproved.
        """
        self.survived_at = now
        if any(end.is_late for end in self.ends.values()):
            return False
        return self.add_answer(began_at, now)

    def add_sound(self, at, now):
        """Add that all ends until a time have another cause.

        Returns
        -------
        bool
            Whether ends were disproved.
        """
        if at <= self.sound_at:
            return False
        self.sound_at = at
        disproved = [p for p, end in self.ends.items() if end.at <= at]
        for process in disproved:
            del self.ends[process]
        if disproved:
            self.changed_at = now
        return bool(disproved)
