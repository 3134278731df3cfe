"""Child that carries out a planned stop."""

import logging

from apricotseam.host._drain import DrainPhase
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

STEP_SECONDS = 0.1
LINGER_SECONDS = 0.5


class LeavingChild(Child):
    """Announces, waits, refuses and ends, in the order of `Drain`.

    Parameters
    ----------
    drain : Drain
        Decides the phases.
    gate : Gate
        Counts and refuses requests.
    announce : callable
        Tells the other hosts that this one is leaving.
    end : callable
        Ends the process.
    clock : Clock
        Source of time.
    stop_seconds : float
        Bound on the whole planned stop.
    """

    name = "leaving"

    def __init__(self, drain, gate, announce, end, clock, stop_seconds):
        self._drain = drain
        self._gate = gate
        self._announce = announce
        self._end = end
        self._clock = clock
        self._stop_seconds = stop_seconds
        self._is_asked = False

    @property
    def is_leaving(self):
        """Whether a planned stop was asked for."""
        return self._is_asked

    def request(self):
        """Ask for a planned stop; returns at once."""
        self._is_asked = True

    def run(self, stopping):
        """Step through the planned stop once it is asked for."""
        while not stopping.is_set():
            if self._is_asked:
                self._step()
            stopping.wait(STEP_SECONDS)

    def _step(self):
        now = self._clock.monotonic()
        before = self._drain.phase
        if before is DrainPhase.SERVING:
            self._announce()
            self._drain.begin(now, now + self._stop_seconds)
        phase = self._drain.advance(now, self._gate.in_progress)
        if phase is before:
            return
        _LOG.info(
            "planned_stop",
            extra={
                "phase": phase.value,
                "in_progress": self._gate.in_progress,
            },
        )
        if phase in (DrainPhase.REFUSING, DrainPhase.ENDED):
            self._gate.refuse()
        if phase is DrainPhase.ENDED:
            self._end()
