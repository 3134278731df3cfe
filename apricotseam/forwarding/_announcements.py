"""Applies what targets say about themselves in the heads of responses."""

import asyncio
import logging

from apricotseam.fleet import AnnouncementSource
from apricotseam.platform import decode_announcement

_LOG = logging.getLogger(__name__)

# Of the values that cannot be read, one of each kind is logged in each such
# period.
INVALID_LOG_SECONDS = 10.0


class AnnouncementRecorder:
    """Records announcements in the fleet, and wakes waiting requests.

    An announcement belongs to the process that sent the response. The
    response of a chain is sent by its first target: a leaving or a rest is
    that target's own, also where the response names another target of the
    chain as the one that failed. A rest asks this host to send nothing, and
    it sends to the first target only.

    Parameters
    ----------
    fleet : Fleet
        All known targets.
    request_queue : RequestQueue
        Requests that wait for capacity; the next is woken when a rest ends.
    metrics : RequestMetrics
        Counts the announcements.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, fleet, request_queue, metrics, now):
        self._fleet = fleet
        self._request_queue = request_queue
        self._metrics = metrics
        self._now = now
        # Time from which an invalid value is logged again, by event.
        self._log_invalid_from = {}

    def record(self, incarnation, response):
        """Record what a target says in a response.

        Parameters
        ----------
        incarnation : tuple
            `Target.incarnation` of the target.
        response : ResponseHead
            Head of the response, as soon as it has been read.
        """
        announcement = decode_announcement(response)
        if announcement.is_leaving:
            self._fleet.record_leaving(
                incarnation, AnnouncementSource.OWN_ANSWER, self._now()
            )
        if announcement.has_invalid_rest:
            self._metrics.invalid_rests.inc()
            self._log_invalid("target_rest_invalid", incarnation)
        if announcement.rest_seconds:
            self._record_rest(incarnation, announcement.rest_seconds)
        self._record_limit(incarnation, announcement)

    def _record_rest(self, incarnation, seconds):
        until = self._fleet.record_rest(incarnation, seconds, self._now())
        self._metrics.rests.inc()
        if until is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(until, self._request_queue.wake_next)

    def _record_limit(self, incarnation, announcement):
        rate = announcement.requests_per_second
        if announcement.has_invalid_limit:
            self._metrics.invalid_limits.inc()
            self._log_invalid("target_limit_invalid", incarnation)
            if rate is None:
                # What was known before is the best guess.
                return
        if rate is not None:
            self._metrics.limited_answers.inc()
        is_change = self._fleet.record_limit(
            incarnation, rate, AnnouncementSource.OWN_ANSWER, self._now()
        )
        if is_change and rate is None:
            self._request_queue.wake_next()

    def _log_invalid(self, event, incarnation):
        now = self._now()
        if now < self._log_invalid_from.get(event, now):
            return
        self._log_invalid_from[event] = now + INVALID_LOG_SECONDS
        _LOG.warning(event, extra={"target": incarnation[0]})
