"""Finds the requests that were in progress as a target's process ended."""

import asyncio
import collections
import logging

import msgspec

_LOG = logging.getLogger(__name__)

# A broken attempt is assigned to the end of a process that is found out no
# later than this: a lapsed entry is removed after several heartbeats.
CONFIRM_SECONDS = 8.0
# Broken attempts of a process that are kept until it is known to have ended.
MAX_BROKEN_ATTEMPTS = 32
# Processes whose end is awaited, or whose end was counted already.
MAX_PROCESSES = 256


class BrokenAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose answer broke off, on one target process.

    ``at`` is the loop time of the break in seconds. ``written_seconds`` is
    the time since the first event of the attempt, None if there was none.
    """

    request_id: str
    request_key: str
    customer: str
    parts: tuple[str, ...]
    at: float
    written_seconds: float | None


class TargetEndDetector:
    """Tells the end of a target's process from a broken connection.

    A process has ended if nothing listens at its address as its answer has
    just broken off, or if its entry disappears soon afterwards. A reset
    connection or a silent target alone shows nothing.

    Parameters
    ----------
    metrics : RequestMetrics
        Counts the ends.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        # `BrokenAttempt` objects by incarnation of the target.
        self._broken = collections.OrderedDict()
        self._ended = collections.OrderedDict()

    def record_broken(self, call, targets, writing_since):
        """Record that the answer to a request broke off or is awaited in vain.

        Parameters
        ----------
        call : Call
            The request.
        targets : list of Target
            Targets of its chain; they have been probed since the break.
        writing_since : float or None
            Loop time in seconds of the attempt's first event.
        """
        now = asyncio.get_running_loop().time()
        broken = BrokenAttempt(
            request_id=call.request_id,
            request_key=call.retry_key,
            customer=call.customer,
            parts=call.metadata.shared_parts,
            at=now,
            written_seconds=(
                None if writing_since is None else now - writing_since
            ),
        )
        for target in targets:
            self._add(target.incarnation, broken)
            if target.health.refuses_connections:
                self._confirm(target, now)

    def record_removal(self, target):
        """Record that the entry of a target has disappeared."""
        if not target.is_draining:
            self._confirm(target, asyncio.get_running_loop().time())

    def _add(self, incarnation, broken):
        attempts = self._broken.setdefault(
            incarnation, collections.deque(maxlen=MAX_BROKEN_ATTEMPTS)
        )
        attempts.append(broken)
        self._broken.move_to_end(incarnation)
        if len(self._broken) > MAX_PROCESSES:
            self._broken.popitem(last=False)

    def _confirm(self, target, now):
        """Assign the latest broken attempts to the end of a process."""
        attempts = self._broken.pop(target.incarnation, ())
        recent = [a for a in attempts if now - a.at <= CONFIRM_SECONDS]
        if not recent:
            return
        if target.incarnation not in self._ended:
            self._metrics.target_ends.inc()
            self._ended[target.incarnation] = None
            if len(self._ended) > MAX_PROCESSES:
                self._ended.popitem(last=False)
        for broken in recent:
            _log_end(target, broken)


def _log_end(target, broken):
    written = broken.written_seconds
    _LOG.info(
        "target_ended",
        extra={
            "target": target.identity,
            "born_ms": target.record.born_ms,
            "request": broken.request_id,
            "customer": broken.customer,
            "parts": broken.parts,
            "written_ms": None if written is None else round(written * 1000),
        },
    )
