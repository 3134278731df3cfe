"""Health of one target by the outcomes of real requests."""

# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.15
# A target with at least this share of failures gets less work.
FAILING_SHARE = 0.25
# How long a target's word on its slowness holds, and a peer's.
SLOWNESS_SECONDS = 3.0
HEARD_SLOWNESS_SECONDS = 1.0
# Factor from which a target counts as slow.
SLOW_FACTOR = 1.5


class Health:
    """What this host saw of one target, and what it heard of it.

    A target is silent when it does not answer this host at all. It is
    avoided for a short while when it refuses work or peers say that it is
    silent.
    """

    __slots__ = (
        "_avoided_until",
        "_is_silent",
        "_slow_until",
        "_slowness",
        "_told_slow",
        "failure_share",
        "latency_seconds",
    )

    def __init__(self):
        self.failure_share = 0.0
        self.latency_seconds = 0.0
        self._is_silent = False
        self._avoided_until = 0.0
        self._slowness = 1.0
        self._slow_until = 0.0
        self._told_slow = False

    @property
    def is_silent(self):
        """Whether the target did not answer when it was last asked."""
        return self._is_silent

    def is_suspect(self, now):
        """Return whether new work should go elsewhere for a while."""
        return self._is_silent or now < self._avoided_until

    def avoid(self, until):
        """Give the target no new work up to a monotonic time."""
        self._avoided_until = max(self._avoided_until, until)

    def slowness(self, now):
        """Return by which factor the target is said to be slow."""
        return self._slowness if now < self._slow_until else 1.0

    def is_slow_here(self, now):
        """Return whether the target itself told this host that it is slow."""
        return self._told_slow and self.slowness(now) >= SLOW_FACTOR

    def note_slowness(self, factor, now):
        """Take by which factor a target says to be slow."""
        self._told_slow = True
        self._slowness = max(1.0, factor)
        self._slow_until = now + SLOWNESS_SECONDS

    def hear_slowness(self, factor, now):
        """Take a peer's word on a target that told this host nothing."""
        if self._told_slow and now < self._slow_until:
            return
        self._told_slow = False
        self._slowness = max(1.0, factor)
        self._slow_until = now + HEARD_SLOWNESS_SECONDS

    def succeed(self, latency=None):
        """Take a request that was answered, with its latency in seconds."""
        self.failure_share *= 1 - OUTCOME_WEIGHT
        if latency is not None:
            if not self.latency_seconds:
                self.latency_seconds = latency
            change = latency - self.latency_seconds
            self.latency_seconds += OUTCOME_WEIGHT * change

    def fail(self):
        """Take a request that the target failed or did not take."""
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def lose_contact(self):
        """Take that the target did not answer at all."""
        self.fail()
        self._is_silent = True

    def regain_contact(self):
        """Take that the target answers again."""
        self._is_silent = False

    def penalty(self):
        """Return by which factor the target looks worse than it is fast.

        Examples
        --------
        >>> Health().penalty()
        1.0
        """
        if self.failure_share < FAILING_SHARE:
            return 1.0 + self.failure_share
        return 1.0 + 8.0 * self.failure_share
