"""Finds the requests that were in progress as a target's process ended."""

import asyncio
import collections
import hashlib
import logging

import msgspec

from apricotseam.quarantine import SURVIVAL_SECONDS
from apricotseam.quarantine import TargetEnd

_LOG = logging.getLogger(__name__)

# A broken attempt is assigned to the end of a process that is found out no
# later than this: a lapsed entry is removed after several heartbeats.
CONFIRM_SECONDS = 8.0
# Broken attempts of a process that are kept until it is known to have ended.
MAX_BROKEN_ATTEMPTS = 256
# A target that ends later than this after the first event of an answer has
# survived its beginning, so that this request was not the cause.
LATE_END_SECONDS = 5.0
# A complete answer has done no harm if its target lives on for this long. A
# request that was answered with a failure less than this before its target
# was last heard may have ended it.
SOUND_SECONDS = 1.0
# Processes whose end is awaited, or whose end was counted already.
MAX_PROCESSES = 64


class AttemptTimes(msgspec.Struct, frozen=True):
    """Times of an attempt, in seconds of the loop.

    ``sent_at`` is when the request was sent, ``writing_since`` when the first
    event arrived, None if none has. ``has_head`` is whether the head of the
    answer has arrived.
    """

    sent_at: float
    writing_since: float | None = None
    has_head: bool = False

    def written_seconds(self, now):
        """Return the time since the first event, None if there was none."""
        if self.writing_since is None:
            return None
        return now - self.writing_since


class BrokenAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose answer broke off, on one target process.

    ``sent_at`` and ``at`` are the loop times in seconds at which it was sent
    and broke off. ``written_seconds`` is the time since the first event of
    the attempt, None if there was none. ``is_begun`` is whether the head of
    the answer had arrived, ``is_failure`` whether it was complete and stated
    a failure, as a process may do that ends.
    """

    request_id: str
    digest: str
    request_key: str
    customer: str
    traits: tuple[str, ...]
    sent_at: float
    at: float
    written_seconds: float | None
    is_begun: bool
    is_failure: bool = False

    @property
    def is_late(self):
        """Whether its target had written for `SURVIVAL_SECONDS`."""
        written = self.written_seconds
        return written is not None and written >= SURVIVAL_SECONDS

    def may_be_cause(self, target):
        """Return whether it may have ended the process of a target.

        The target had only just begun to answer it, or hadn't. After a
        failure, nothing was heard of it for long.
        """
        if self.is_failure:
            return target.health.last_contact_at < self.at + SOUND_SECONDS
        written = self.written_seconds
        return written is None or written < LATE_END_SECONDS


class TargetEndDetector:
    """Tells the end of a target's process from a broken connection.

    A process has ended if nothing listens at its address as its answer has
    just broken off, or if its entry disappears or names another process soon
    before or afterwards. A reset connection or a silent target alone shows
    nothing.

    Parameters
    ----------
    metrics : RequestMetrics
        Counts the ends.
    quarantine : Quarantine
        Told of the ends and the requests that may have caused them.
    """

    def __init__(self, metrics, quarantine):
        self._metrics = metrics
        self._quarantine = quarantine
        # `BrokenAttempt` objects by incarnation of the target.
        self._broken = collections.OrderedDict()
        self._ended = collections.OrderedDict()

    def record_broken(self, call, targets, attempt, broken_at=None):
        """Record that the answer to a request broke off or is awaited in vain.

        Parameters
        ----------
        call : Call
            The request.
        targets : list of Target
            Targets of its chain; they have been probed since the break.
        attempt : AttemptTimes
            When the attempt was sent, and began to answer.
        broken_at : float, optional
            Loop time in seconds of the break; now by default.
        """
        now = asyncio.get_running_loop().time()
        at = now if broken_at is None else broken_at
        broken = _make_broken(call, attempt, at)
        for target in targets:
            self._add(target.incarnation, broken)
            self.confirm_end(target)

    def record_failure(self, call, target, attempt):
        """Record that a request was run and answered with a failure.

        Parameters
        ----------
        call : Call
            The request.
        target : Target
            The target that ran it.
        attempt : AttemptTimes
            When the attempt was sent, and began to answer.
        """
        now = asyncio.get_running_loop().time()
        broken = _make_broken(call, attempt, now, is_failure=True)
        self._add(target.incarnation, broken)

    def confirm_end(self, target):
        """Record the end of a process, if it is known to have ended."""
        if target.has_ended:
            self._confirm(target, asyncio.get_running_loop().time())

    def record_success(self, call, targets, began_at):
        """Record that a request was answered completely.

        It does no harm if its targets live on for a while, since an answer
        may be complete before its target ends.

        Parameters
        ----------
        call : Call
            The request.
        targets : list of Target
            Targets of its chain.
        began_at : float or None
            Loop time in seconds at which the answer began; now if None.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        for target in targets:
            target.health.record_contact(now)
        loop.call_at(
            now + SOUND_SECONDS,
            self._acquit_if_alive,
            call,
            targets,
            now if began_at is None else began_at,
            now,
        )

    def record_survival(self, call, began_at):
        """Record that a target has written to a request for a while.

        Parameters
        ----------
        call : Call
            The request.
        began_at : float
            Loop time in seconds at which the answer began.
        """
        self._quarantine.record_survival(call.traits, call.customer, began_at)

    def record_removal(self, target):
        """Record that the entry of a target has disappeared."""
        if not target.is_draining:
            self._confirm(target, asyncio.get_running_loop().time())

    def _acquit_if_alive(self, call, targets, began_at, ended_at):
        if all(self._seems_alive(target, ended_at) for target in targets):
            self._quarantine.record_sound(call.traits, call.customer, began_at)

    def _seems_alive(self, target, since):
        """Return whether nothing speaks for an end since a loop time."""
        if target.health.refuses_connections or not target.is_present:
            return False
        if target.incarnation in self._ended:
            return False
        broken = self._broken.get(target.incarnation, ())
        return all(a.at < since or a.is_failure for a in broken)

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
            if broken.may_be_cause(target):
                self._quarantine.record_end(
                    broken.traits,
                    TargetEnd(
                        process=target.incarnation,
                        request_key=broken.request_key,
                        customer=broken.customer,
                        sent_at=broken.sent_at,
                        at=broken.at,
                        is_begun=broken.is_begun,
                        is_late=broken.is_late,
                    ),
                )


def _log_end(target, broken):
    written = broken.written_seconds
    _LOG.info(
        "target_ended",
        extra={
            "target": target.identity,
            "born_ms": target.record.born_ms,
            "request": broken.request_id,
            "digest": broken.digest,
            "customer": broken.customer,
            "traits": broken.traits,
            "is_begun": broken.is_begun,
            "written_ms": None if written is None else round(written * 1000),
        },
    )


def _make_broken(call, attempt, at, is_failure=False):
    return BrokenAttempt(
        request_id=call.request_id,
        digest=call.digest,
        request_key=_short_key(call.retry_key or call.request_id),
        customer=call.customer,
        traits=call.traits,
        sent_at=attempt.sent_at,
        at=at,
        written_seconds=attempt.written_seconds(at),
        # A complete answer was not in progress, and excuses no other request.
        is_begun=attempt.has_head and not is_failure,
        is_failure=is_failure,
    )


def _short_key(text):
    return hashlib.blake2b(text.encode(), digest_size=6).hexdigest()
