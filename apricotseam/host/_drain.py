"""State machine of a graceful shutdown."""

import enum


class DrainPhase(enum.Enum):
    """Phase of a graceful shutdown."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    ENDED = "ended"


class Drain:
    """Decides the phases of the graceful shutdown of one host.

    The host first announces that it is leaving. It keeps serving until every
    answer that lists its address has expired: other hosts may list it until
    the announcement has reached all of them, hence the margin. It then
    refuses new requests, finishes those in progress and exits.

    Parameters
    ----------
    valid_seconds : float
        How long answers with host addresses are valid.
    margin_seconds : float
        Time within which the announcement reaches every host; a host that it
        does not reach suspects this one by then.
    linger_seconds : float
        How long new requests still get a refusal instead of a closed
        connection after the last request ended.

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
        self._address_valid_until = None
        self._deadline = None
        self._idle_since = None
        self.phase = DrainPhase.SERVING

    @property
    def deadline(self):
        """Monotonic time in seconds at which requests are cut off."""
        return self._deadline

    def begin(self, now, deadline):
        """Start the shutdown; a second call has no effect.

        Parameters
        ----------
        now : float
            Monotonic time of the announcement in seconds.
        deadline : float
            Monotonic time in seconds at which requests in progress are cut
            off.
        """
        if self.phase is not DrainPhase.SERVING:
            return
        self.phase = DrainPhase.ANNOUNCED
        self._address_valid_until = (
            now + self._margin_seconds + self._valid_seconds
        )
        self._deadline = deadline

    def advance(self, now, in_progress):
        """Move on to the current phase and return it.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        in_progress : int
            Number of requests in progress.

        Returns
        -------
        DrainPhase
        """
        if self.phase in (DrainPhase.SERVING, DrainPhase.ENDED):
            return self.phase
        if now >= self._deadline:
            self.phase = DrainPhase.ENDED
            return self.phase
        if (
            self.phase is DrainPhase.ANNOUNCED
            and now >= self._address_valid_until
        ):
            self.phase = DrainPhase.REFUSING
        if in_progress or self.phase is not DrainPhase.REFUSING:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now >= self._idle_since + self._linger_seconds:
            self.phase = DrainPhase.ENDED
        return self.phase
