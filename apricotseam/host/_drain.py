"""Decisions of a planned stop."""

import enum


class DrainPhase(enum.Enum):
    """How far a planned stop is."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    ENDED = "ended"


class Drain:
    """Order of a planned stop of one host.

    The host first announces that it is leaving and serves on until every
    answer that may name its address has passed its deadline. Any host can
    name it until the announcement has reached all, hence the margin. It
    then refuses new work, finishes what is in progress and ends.

    Parameters
    ----------
    valid_seconds : float
        How long answers with addresses are valid.
    margin_seconds : float
        Within this time the announcement reaches every host, or the hosts
        it does not reach have found this one suspect.
    linger_seconds : float
        How long new work is still refused in due form after the last
        request ended.

    Examples
    --------
    >>> drain = Drain(valid_seconds=10, margin_seconds=3, linger_seconds=1)
    >>> drain.begin(100.0, 200.0)
    >>> drain.advance(112.0, 4).value
    'announced'
    >>> drain.advance(113.0, 4).value
    'refusing'
    >>> drain.advance(120.0, 0).value
    'refusing'
    >>> drain.advance(121.0, 0).value
    'ended'
    """

    def __init__(self, *, valid_seconds, margin_seconds, linger_seconds):
        self._valid_seconds = valid_seconds
        self._margin_seconds = margin_seconds
        self._linger_seconds = linger_seconds
        self._named_until = None
        self._deadline = None
        self._idle_since = None
        self.phase = DrainPhase.SERVING

    def begin(self, now, deadline):
        """Start the planned stop; a second call changes nothing.

        Parameters
        ----------
        now : float
            Monotonic time at which the host announced that it leaves.
        deadline : float
            Monotonic time past which requests in progress are cut off.
        """
        if self.phase is not DrainPhase.SERVING:
            return
        self.phase = DrainPhase.ANNOUNCED
        self._named_until = now + self._margin_seconds + self._valid_seconds
        self._deadline = deadline

    def advance(self, now, in_progress):
        """Return the phase at a time with a number of requests."""
        if self.phase in (DrainPhase.SERVING, DrainPhase.ENDED):
            return self.phase
        if now >= self._deadline:
            self.phase = DrainPhase.ENDED
            return self.phase
        if self.phase is DrainPhase.ANNOUNCED and now >= self._named_until:
            self.phase = DrainPhase.REFUSING
        if in_progress or self.phase is not DrainPhase.REFUSING:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now >= self._idle_since + self._linger_seconds:
            self.phase = DrainPhase.ENDED
        return self.phase
