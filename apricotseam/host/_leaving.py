"""Supervised component that performs a graceful shutdown."""

import logging

from apricotseam.host._drain import DrainPhase
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)

STEP_PERIOD_SECONDS = 0.1
# New requests get a refusal instead of a closed connection for this long
# after the last request ended.
LINGER_SECONDS = 0.5


class ShutdownChild(Child):
    """Performs the phases of a graceful shutdown as `Drain` decides.

    Parameters
    ----------
    drain : Drain
        Decides the current phase.
    middleware : DrainMiddleware
        Counts and refuses requests.
    announce_leaving : callable
        Tells the other hosts that this one is leaving.
    finish_requests : callable
        Stops to accept connections and waits, for a number of seconds at
        most, until all requests that were received in part are answered.
    exit_process : callable
        Makes the process exit.
    clock : Clock
        Source of time.
    stop_seconds : float
        Maximum duration of the whole shutdown.
    """

    name = "leaving"

    def __init__(
        self,
        drain,
        middleware,
        announce_leaving,
        finish_requests,
        exit_process,
        clock,
        stop_seconds,
    ):
        self._drain = drain
        self._middleware = middleware
        self._announce_leaving = announce_leaving
        self._finish_requests = finish_requests
        self._exit_process = exit_process
        self._clock = clock
        self._stop_seconds = stop_seconds
        self._is_requested = False

    @property
    def is_leaving(self):
        """Whether a graceful shutdown was requested."""
        return self._is_requested

    def request(self):
        """Request a graceful shutdown; return at once."""
        self._is_requested = True

    def run(self, stopping):
        """Advance the shutdown periodically once it is requested."""
        while not stopping.is_set():
            if self._is_requested:
                self._step()
            stopping.wait(STEP_PERIOD_SECONDS)

    def _step(self):
        now = self._clock.monotonic()
        previous = self._drain.phase
        if previous is DrainPhase.SERVING:
            self._announce_leaving()
            self._drain.begin(now, now + self._stop_seconds)
        phase = self._drain.advance(now, self._middleware.in_progress)
        if phase is previous:
            return
        _LOG.info(
            "planned_stop",
            extra={
                "phase": phase.value,
                "in_progress": self._middleware.in_progress,
            },
        )
        if phase in (DrainPhase.REFUSING, DrainPhase.ENDED):
            self._middleware.refuse()
        if phase is DrainPhase.ENDED:
            self._finish_requests(max(0.0, self._drain.deadline - now))
            self._exit_process()
