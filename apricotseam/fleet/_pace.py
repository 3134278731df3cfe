"""Pace of one target process: how much start work it may have under way."""

import math

import msgspec

MS_PER_SECOND = 1000.0
# Time without an answer after which one request more is sent as a trial.
TRIAL_SECONDS = 1.0
# A lowered allowance that peers reported takes precedence for this time.
LOWERED_SECONDS = 1.0


class PaceNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells others about the pace of a target process.

    ``born_ms`` is the start time of the process, as in `TargetRecord`.
    ``allowance_ms`` is the start work in milliseconds that all hosts
    together may have under way there, infinite if the target is not paced
    any more. ``was_lowered`` tells whether the last change lowered it,
    ``age_seconds`` the time since then.
    """

    born_ms: int
    allowance_ms: float
    was_lowered: bool
    age_seconds: float


class Pace:
    """Slow start of one process, which follows from how it answers.

    All times are monotonic, in seconds. The allowance is infinite as long
    as the target is not paced.

    Parameters
    ----------
    born_ms : int
        Start time of the process, as in `TargetRecord`.

    Attributes
    ----------
    usual_ms : float
        Time in milliseconds that the target needs for its layers of a usual
        prompt.
    least_ms : float
        Time in milliseconds that it would need for all layers of one, below
        which the allowance never falls.

    Examples
    --------
    >>> pace = Pace()
    >>> pace.begin(0.0)
    >>> pace.usual_ms = pace.least_ms = 100.0
    >>> pace.may_start(100.0, 0.1), pace.record_start(0.2, 0.5, 0.3)
    (False, True)
    >>> pace.allowance_ms, pace.may_start(100.0, 0.4)
    (200.0, True)
    """

    __slots__ = (
        "_allowance_ms",
        "_answered_at",
        "_born_ms",
        "_changed_at",
        "_has_been_lowered",
        "_is_heard",
        "_lowered_at",
        "_round_began_at",
        "_sent_at",
        "_was_lowered",
        "least_ms",
        "usual_ms",
    )

    def __init__(self, born_ms=0):
        self._born_ms = born_ms
        self.usual_ms = 0.0
        self.least_ms = 0.0
        self._allowance_ms = math.inf
        # Time of the last change that answers led to, here or at a peer.
        self._changed_at = -math.inf
        self._was_lowered = False
        # Whether a peer told of that change.
        self._is_heard = False
        # Whether any answer was bad since pacing began.
        self._has_been_lowered = False
        self._lowered_at = -math.inf
        # Requests that were sent before this time don't count in the round.
        self._round_began_at = -math.inf
        self._answered_at = -math.inf
        self._sent_at = -math.inf

    @property
    def allowance_ms(self):
        """Start work of all hosts that may be under way, in milliseconds."""
        return max(self._allowance_ms, self.least_ms)

    @property
    def is_limited(self):
        """Whether the target is paced."""
        return self._allowance_ms < math.inf

    @property
    def is_untested(self):
        """Whether the target is paced, and answered nothing late so far."""
        return self.is_limited and not self._has_been_lowered

    @property
    def changed_at(self):
        """Time of the last change that followed from answers."""
        return self._changed_at

    @property
    def is_heard(self):
        """Whether a peer told of the last change."""
        return self._is_heard

    def begin(self, now):
        """Begin with the least allowance, as the process starts or returns."""
        self._allowance_ms = 0.0
        self._changed_at = -math.inf
        self._was_lowered = False
        self._has_been_lowered = False
        self._lowered_at = -math.inf
        self._round_began_at = now
        self._answered_at = now

    def end(self, now):
        """End pacing without any answer; peers are not told."""
        self._allowance_ms = math.inf
        self._changed_at = -math.inf
        self._was_lowered = False
        self._round_began_at = now

    def may_start(self, under_way_ms, now):
        """Return whether the target may get one more request.

        Parameters
        ----------
        under_way_ms : float
            Start work of all hosts that is under way there, in ms.
        now : float
            Current time.
        """
        if under_way_ms <= 0:
            return True
        if under_way_ms + self.usual_ms <= self.allowance_ms:
            return True
        # Trials of all hosts together stay below twice the allowance.
        return (
            now - max(self._answered_at, self._sent_at) >= TRIAL_SECONDS
            and under_way_ms + self.usual_ms <= 2 * self.allowance_ms
        )

    def record_send(self, now):
        """Record that this host sends a request."""
        self._sent_at = now

    def record_start(self, seconds, objective_seconds, now):
        """Record a first event; return whether the allowance changed.

        Parameters
        ----------
        seconds : float
            Time since the request was sent.
        objective_seconds : float
            Time within which the event should have come.
        now : float
            Current time.
        """
        self._answered_at = now
        sent_at = now - seconds
        if seconds > objective_seconds:
            # What was sent before the last change shows nothing about it.
            if sent_at < self._round_began_at:
                return False
            return self._lower(objective_seconds, now)
        if not self.is_limited or sent_at < self._round_began_at:
            return False
        allowance = 2 * self.allowance_ms
        if allowance >= objective_seconds * MS_PER_SECOND:
            allowance = math.inf
        self._set(allowance, False, now)
        return True

    def record_failure(self, objective_seconds, now):
        """Record that an answer failed before its first event.

        A target that is not paced stays so; its health counts the failure.

        Parameters
        ----------
        objective_seconds : float
            Time within which the event should have come.
        now : float
            Current time.

        Returns
        -------
        bool
            Whether the allowance changed.
        """
        return self.is_limited and self._lower(objective_seconds, now)

    def notice(self, now):
        """Return the `PaceNotice` of the last change."""
        return PaceNotice(
            self._born_ms,
            self.allowance_ms,
            self._was_lowered,
            round(now - self._changed_at, 3),
        )

    def apply(self, notice, now):
        """Apply the `PaceNotice` of a peer; return whether it changed this.

        The lowest allowance of the last second counts, or the highest if
        none was lowered. Notices of other processes are ignored.

        Parameters
        ----------
        notice : PaceNotice
            The notice.
        now : float
            Current time.
        """
        if notice.born_ms != self._born_ms:
            return False
        changed_at = now - notice.age_seconds
        if notice.was_lowered:
            if (
                notice.age_seconds >= LOWERED_SECONDS
                or notice.allowance_ms >= self.allowance_ms
            ):
                return False
        elif (
            notice.allowance_ms <= self.allowance_ms
            or changed_at <= self._round_began_at
            or now - self._lowered_at < LOWERED_SECONDS
        ):
            return False
        self._set(notice.allowance_ms, notice.was_lowered, changed_at)
        self._is_heard = True
        return True

    def _lower(self, objective_seconds, now):
        """Halve the allowance, once in the time of the objective."""
        if now - self._lowered_at < objective_seconds:
            return False
        known = self.allowance_ms
        objective_ms = objective_seconds * MS_PER_SECOND
        self._set(min(known, objective_ms) / 2, True, now)
        return self.allowance_ms < known

    def _set(self, allowance_ms, is_lowered, at):
        """Set the allowance as changed at a time."""
        self._allowance_ms = allowance_ms
        self._was_lowered = is_lowered
        self._is_heard = False
        self._changed_at = at
        self._round_began_at = max(at, self._round_began_at)
        if is_lowered:
            self._lowered_at = at
            self._has_been_lowered = True
