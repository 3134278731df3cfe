"""Health of one target by the outcomes of real requests."""

FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0
# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.15
# A target with at least this share of failures gets less work.
FAILING_SHARE = 0.25
# How long a target's word on its slowness holds.
SLOWNESS_SECONDS = 3.0


class Health:
    """What this host saw of one target, and what it heard of it.

    A target is silent when it does not answer this host at all. It is
    avoided for a short while when it refuses work or peers say that it is
    silent.
    """

    __slots__ = (
        "_avoided_until",
        "_backoff",
        "_silent_until",
        "_slow_until",
        "_slowness",
        "failure_share",
        "latency_seconds",
    )

    def __init__(self):
        self.failure_share = 0.0
        self.latency_seconds = 0.0
        self._silent_until = 0.0
        self._avoided_until = 0.0
        self._slowness = 1.0
        self._slow_until = 0.0
        self._backoff = FIRST_BACKOFF_SECONDS

    def is_suspect(self, now):
        """Return whether new work should go elsewhere for a while."""
        return now < self._silent_until or now < self._avoided_until

    def is_silent(self, now):
        """Return whether this host lost contact a short while ago."""
        return now < self._silent_until

    def avoid(self, until):
        """Give the target no new work up to a monotonic time."""
        self._avoided_until = max(self._avoided_until, until)

    def slowness(self, now):
        """Return by which factor the target said to be slow of late."""
        return self._slowness if now < self._slow_until else 1.0

    def note_slowness(self, factor, now):
        """Take by which factor a target says to be slow."""
        self._slowness = max(1.0, factor)
        self._slow_until = now + SLOWNESS_SECONDS

    def succeed(self, latency=None):
        """Take a request that was answered, with its latency in seconds."""
        self.failure_share *= 1 - OUTCOME_WEIGHT
        self._backoff = FIRST_BACKOFF_SECONDS
        if latency is not None:
            if not self.latency_seconds:
                self.latency_seconds = latency
            change = latency - self.latency_seconds
            self.latency_seconds += OUTCOME_WEIGHT * change

    def fail(self):
        """Take a request that the target failed or did not take."""
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def lose_contact(self, now):
        """Take a connection that could not be made or fell silent.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.fail()
        if now >= self._silent_until:
            self._silent_until = now + self._backoff
            self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)

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
