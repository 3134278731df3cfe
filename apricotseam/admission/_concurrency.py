"""Adaptive concurrency limit of one pool."""

# Requests in progress.
MIN_LIMIT = 4.0
DEFAULT_LIMIT = 32.0
MAX_LIMIT = 100_000.0
EPOCH_SECONDS = 0.25
# Ratio of a call's time to its time without queueing above which the limit
# shrinks. The time without queueing is the step time that the target reports
# or else the shortest time observed.
MAX_REPORTED_RATIO = 1.0
MAX_OBSERVED_RATIO = 4.0
# Bounds on the part of a call's time that is outside the engine's step.
MIN_OVERHEAD_SECONDS = 0.002
MAX_OVERHEAD_SECONDS = 0.005
# Lower bound of the limit as a fraction of this host's part of the pool.
MIN_LIMIT_SHARE = 0.25
# Smallest factor on the limit in one epoch.
MIN_BACKOFF = 0.9
# Growth of the limit per epoch as a fraction of this host's part of the pool.
GROWTH_SHARE = 0.1
# Growth of the observed baseline per epoch, to follow slower targets.
BASELINE_DRIFT = 1.01


class AdaptiveLimit:
    """Raises the limit while calls are fast and lowers it when they queue.

    The time of a call is compared with its time without queueing: the step
    time that the target reports, else the shortest time observed recently.
    The limit grows only while requests reach it, and it stays within the
    range that `resize` derives from the pool's capacity.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> limit = AdaptiveLimit(0.0)
    >>> limit.value
    32
    >>> for tick in range(10):
    ...     limit.observed(0.5, 0.1, 30, tick * 0.1)
    >>> limit.value < 32
    True
    """

    __slots__ = (
        "_baseline",
        "_ceiling",
        "_count",
        "_epoch_deadline",
        "_floor",
        "_growth",
        "_has_capacity",
        "_ratio_sum",
        "_shortest",
        "_value",
        "_was_reached",
    )

    def __init__(self, now):
        self._value = DEFAULT_LIMIT
        self._floor = MIN_LIMIT
        self._ceiling = MAX_LIMIT
        self._growth = 1.0
        self._has_capacity = False
        self._baseline = None
        self._begin_epoch(now)

    @property
    def value(self):
        """Maximum number of requests in progress at present."""
        return int(self._value)

    @property
    def ceiling(self):
        """Upper bound of the limit: streams that the pool can serve."""
        return int(self._ceiling)

    def resize(self, streams, hosts):
        """Derive the range of the limit from the capacity of the pool.

        Parameters
        ----------
        streams : float
            Streams that the pool can serve.
        hosts : int
            Live entry hosts that share the pool.
        """
        share = streams / max(1, hosts)
        self._floor = max(MIN_LIMIT, MIN_LIMIT_SHARE * share)
        self._ceiling = max(self._floor, streams)
        self._growth = max(1.0, GROWTH_SHARE * share)
        if not self._has_capacity:
            self._has_capacity = True
            self._value = share
        self._value = min(max(self._value, self._floor), self._ceiling)

    def note_in_progress(self, in_progress):
        """Record how many requests are in progress."""
        if in_progress >= self._value - 1:
            self._was_reached = True

    def observed(self, seconds, expected, in_progress, now):
        """Record the duration of one call to a target.

        Parameters
        ----------
        seconds : float
            Duration of the call.
        expected : float or None
            Duration in seconds without queueing, if the target reports it.
        in_progress : int
            Requests in progress.
        now : float
            Monotonic time in seconds.
        """
        self.note_in_progress(in_progress)
        self._shortest = min(self._shortest, seconds)
        base = expected or self._baseline or seconds
        max_ratio = MAX_REPORTED_RATIO if expected else MAX_OBSERVED_RATIO
        step_seconds = max(0.0, seconds - self._overhead())
        self._ratio_sum += step_seconds / max(base * max_ratio, 1e-6)
        self._count += 1
        if now >= self._epoch_deadline:
            self._end_epoch(now)

    def _overhead(self):
        """Return the seconds of a call outside the engine's own step.

        A call that joins a batch just before it runs hardly waits for it,
        so the shortest observed call approximates this overhead.
        """
        shortest = self._baseline or 0.0
        return min(max(shortest, MIN_OVERHEAD_SECONDS), MAX_OVERHEAD_SECONDS)

    def _end_epoch(self, now):
        ratio = self._ratio_sum / self._count
        if ratio > 1.0:
            self._value *= max(MIN_BACKOFF, 1.0 / ratio)
        elif self._was_reached:
            self._value += self._growth
        self._value = min(max(self._value, self._floor), self._ceiling)
        drifted = (self._baseline or self._shortest) * BASELINE_DRIFT
        self._baseline = min(drifted, self._shortest)
        self._begin_epoch(now)

    def _begin_epoch(self, now):
        self._epoch_deadline = now + EPOCH_SECONDS
        self._ratio_sum = 0.0
        self._count = 0
        self._was_reached = False
        self._shortest = float("inf")
