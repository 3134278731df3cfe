"""Health of one target, from request outcomes and slowness reports."""

# Weight of the newest outcome in the moving average.
OUTCOME_WEIGHT = 0.15
# A target with at least this share of failures is penalized strongly.
FAILING_THRESHOLD = 0.25
# Time for which a slowdown reported by the target itself, or by a peer, is
# valid.
SLOWNESS_VALID_SECONDS = 3.0
PEER_SLOWNESS_VALID_SECONDS = 1.0
# Slowdown factor from which a target counts as slow.
SLOW_FACTOR = 1.5
# Longest silence of a sound target.
MAX_SOUND_SILENCE_SECONDS = 1.5
# A peer's report of silence is repeated at least this often while it lasts.
PEER_SILENCE_VALID_SECONDS = 1.3


class Health:
    """Health of one target, as observed here and reported by peers.

    A target is silent if it does not respond to this host at all: it sends
    nothing, or rejects connections, as one that crashed does. It is avoided
    for a short time after it refused a request or a peer reported it as
    silent. ``failure_share`` is the moving average of failed requests, from 0
    to 1, and ``latency_seconds`` that of latencies. Times passed to the
    methods, and ``last_contact_at``, are monotonic, in seconds.
    """

    __slots__ = (
        "_avoided_until",
        "_is_silent",
        "_slow_until",
        "_slowness",
        "_has_own_report",
        "_last_failed_at",
        "_peer_silence_until",
        "_rejects_connections",
        "_refuses_connections",
        "_silent_since",
        "failure_share",
        "last_contact_at",
        "latency_seconds",
    )

    def __init__(self):
        self.failure_share = 0.0
        self.latency_seconds = 0.0
        # Time at which the target last sent this host anything.
        self.last_contact_at = float("-inf")
        self._is_silent = False
        # Time of the first report of the silence that lasts, by this host or
        # by peers, and time until which the report of a peer is valid.
        self._silent_since = None
        self._peer_silence_until = 0.0
        # Time of the last contact of this host in that silence, or None.
        self._last_failed_at = None
        self._rejects_connections = False
        self._refuses_connections = False
        self._avoided_until = 0.0
        self._slowness = 1.0
        self._slow_until = 0.0
        self._has_own_report = False

    @property
    def is_silent(self):
        """Whether the target failed to respond when last contacted."""
        return self._is_silent

    @property
    def rejects_connections(self):
        """Whether the last contact was refused or reset, not just silent."""
        return self._rejects_connections

    @property
    def last_failed_at(self):
        """Time of the last failed contact while silent, None otherwise."""
        return self._last_failed_at

    def is_suspect(self, now):
        """Return whether the target should get no new requests at present."""
        return self._is_silent or now < self._avoided_until

    def avoid(self, until):
        """Mark the target as one to get no new requests until a time."""
        self._avoided_until = max(self._avoided_until, until)

    def slowness(self, now):
        """Return the reported slowdown factor; 1.0 without a valid report."""
        return self._slowness if now < self._slow_until else 1.0

    def is_self_reported_slow(self, now):
        """Return whether the target itself reported that it is slow."""
        return self._has_own_report and self.slowness(now) >= SLOW_FACTOR

    def record_slowness(self, factor, now):
        """Record the slowdown factor that the target itself reported."""
        self._has_own_report = True
        self._slowness = max(1.0, factor)
        self._slow_until = now + SLOWNESS_VALID_SECONDS

    def record_peer_slowness(self, factor, now):
        """Record the slowdown factor that a peer reported of the target.

        It is ignored while a report of the target itself is valid.
        """
        if self._has_own_report and now < self._slow_until:
            return
        self._has_own_report = False
        self._slowness = max(1.0, factor)
        self._slow_until = now + PEER_SLOWNESS_VALID_SECONDS

    def record_success(self, latency=None):
        """Record an answered request and, if given, its latency in seconds."""
        self.failure_share *= 1 - OUTCOME_WEIGHT
        if latency is not None:
            if not self.latency_seconds:
                self.latency_seconds = latency
            change = latency - self.latency_seconds
            self.latency_seconds += OUTCOME_WEIGHT * change

    def record_failure(self):
        """Record a request that the target failed or refused."""
        self.failure_share += OUTCOME_WEIGHT * (1 - self.failure_share)

    def mark_unreachable(self, now):
        """Record a failure and mark the target as silent."""
        self.record_failure()
        self._begin_silence(now)
        self._is_silent = True
        self._last_failed_at = now

    def record_contact(self, now):
        """Record that the target has sent this host something."""
        self.last_contact_at = now

    def mark_reachable(self, now):
        """Mark the target as responding, whatever peers reported."""
        self.record_contact(now)
        self._is_silent = False
        self._rejects_connections = False
        self._refuses_connections = False
        self._last_failed_at = None
        self._silent_since = None
        self._peer_silence_until = 0.0

    @property
    def refuses_connections(self):
        """Whether no process listened at its address at the last contact."""
        return self._refuses_connections

    def record_contact_failure(self, now, is_rejected, is_refused=False):
        """Record how a contact with the target failed.

        Parameters
        ----------
        now : float
            Time of its end.
        is_rejected : bool
            Whether the connection was refused or reset.
        is_refused : bool
            Whether it was refused, as no process listens there.
        """
        self._rejects_connections = is_rejected
        self._refuses_connections = is_refused
        if self._is_silent:
            self._last_failed_at = now

    def record_peer_silence(self, now):
        """Record that a peer finds the target silent."""
        self._begin_silence(now)
        self._peer_silence_until = now + PEER_SILENCE_VALID_SECONDS

    def silent_seconds(self, now):
        """Return for how long this host or a peer finds the target silent."""
        if self._silent_since is None:
            return 0.0
        if not self._is_silent and now >= self._peer_silence_until:
            return 0.0
        return now - self._silent_since

    def observed_silence_seconds(self):
        """Return how long after its start this host last found the silence.

        Unlike `silent_seconds`, it does not grow until the next contact.
        """
        if not self._is_silent:
            return 0.0
        return self._last_failed_at - self._silent_since

    def is_lost(self, now):
        """Return whether the target is silent, and not for a moment only."""
        if self._rejects_connections:
            return True
        return self.silent_seconds(now) > MAX_SOUND_SILENCE_SECONDS

    def _begin_silence(self, now):
        is_going_on = self._is_silent or now < self._peer_silence_until
        if self._silent_since is None or not is_going_on:
            self._silent_since = now

    def penalty(self):
        """Return the factor by which failures raise the cost of the target.

        Examples
        --------
        >>> Health().penalty()
        1.0
        """
        if self.failure_share < FAILING_THRESHOLD:
            return 1.0 + self.failure_share
        return 1.0 + 8.0 * self.failure_share
