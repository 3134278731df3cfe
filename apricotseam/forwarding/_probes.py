"""Probes targets for liveness when a chain stops sending events."""

import asyncio
import logging
import random

from apricotseam.errors import InvalidInputError
from apricotseam.forwarding._reach import TargetReach
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import RefusedConnectionError
from apricotseam.http1 import TransportError
from apricotseam.platform import decode_report
from apricotseam.platform import expected_target_headers
from apricotseam.platform import is_answer_of
from apricotseam.platform import REPORT_PATH

_LOG = logging.getLogger(__name__)

# Time-out of one attempt.
PROBE_TIMEOUT_SECONDS = 0.025
# Two attempts, since the first packet of one may be lost.
PROBE_ATTEMPTS = 2
# An attempt that overruns its time-out by more than this says nothing about
# the target: the event loop of this host was blocked.
HOST_STALL_SECONDS = 0.02
MAX_STALLED_ATTEMPTS = 4
# An answer counts for all streams that check the target within this time.
ANSWER_VALID_SECONDS = 0.3
# Interval between probes of silent and slow targets.
REPROBE_PERIOD_SECONDS = 0.5
# Mean number of hosts that probe a target in each interval whose slowness or
# silence is known to all, among the hosts that exchange reports.
PROBING_HOSTS = 6
# Refill rate and size of the token bucket that limits the probes.
PROBES_PER_SECOND = 15
BURST_PROBES = 60
OK_STATUS = 200


class TargetProber:
    """Finds the targets of a chain that do not respond.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to targets.
    ledger : Ledger
        Capacity in use on the targets, for the log.
    now : callable
        Returns monotonic time in seconds.
    on_silent : callable
        Called with the identity of each target that did not respond.
    targets : iterable of Target
        All known targets. Silent and slow ones are probed periodically. A
        few others are probed when no target responds, to tell whether this
        host itself has lost its network connection.
    generator : random.Random, optional
        Chooses the targets of samples.
    """

    def __init__(self, pool, ledger, now, on_silent, targets, generator=None):
        self._targets = targets
        self._random = generator or random.Random()
        self._reach = TargetReach(targets, self._probe_anew, now, self._random)
        self._ledger = ledger
        self._on_silent = on_silent
        self._pool = pool
        self._now = now
        # Returns whether most hosts find the target with an identity silent.
        self.is_shared_silence = lambda identity: False
        # Called with each `Target` that answers again after silence.
        self.on_return = lambda target: None
        # Probes that are running, and until when an answer counts, both by
        # incarnation.
        self._pending_probes = {}
        self._responsive_until = {}
        self._available_probes = float(BURST_PROBES)
        self._refilled_at = now()

    @property
    def reach(self):
        """The `TargetReach` of this host."""
        return self._reach

    async def find_unresponsive(self, targets):
        """Return the targets that do not respond, and update their health.

        Parameters
        ----------
        targets : list of Target
            The targets of a chain.
        """
        results = await asyncio.gather(
            *(self._is_responsive(t) for t in targets)
        )
        return [
            t
            for t, is_responsive in zip(targets, results)
            if not is_responsive
        ]

    async def confirms_process(self, target, health_path, deadline):
        """Return whether the process of a target answers.

        It is asked over a connection of its own, whatever is known of it and
        also if the rate limit permits no probe, as the end of an answer
        depends on it. That a connection can be opened shows nothing: the
        address of a process that ends accepts some a while longer, and the
        next process at the address accepts them, too.

        Parameters
        ----------
        target : Target
            The target; if nothing listens at its address, it counts as
            silent.
        health_path : str
            Path of the health check of its service.
        deadline : float
            Monotonic time in seconds.
        """
        if target.is_replaced:
            return False
        is_engine = target.record.is_placeable
        try:
            answer, body = await self._pool.call(
                target.incarnation,
                target.address,
                b"GET",
                REPORT_PATH if is_engine else health_path.encode(),
                b"",
                deadline,
                must_open=True,
                headers=expected_target_headers(target.identity),
            )
        except TransportError as error:
            if isinstance(error, RefusedConnectionError):
                self.record_no_connection(target, error)
            return False
        if not is_answer_of(answer, target.identity):
            return False
        return not (is_engine and _names_other_start(target, answer, body))

    def record_no_connection(self, target, error):
        """Record that no connection to a target could be opened.

        Parameters
        ----------
        target : Target
            The target, which counts as silent from now.
        error : ConnectError
            Why not.
        """
        was_silent = target.health.is_silent
        now = self._now()
        if isinstance(error, RefusedConnectionError):
            target.health.record_contact_failure(now, True, True)
        target.health.mark_unreachable(now)
        if not was_silent:
            _log_silent(target, error.code)

    async def reprobe(self, targets):
        """Probe targets that were found silent once more.

        Parameters
        ----------
        targets : list of Target
            The targets; their health is updated.
        """
        await asyncio.gather(*(self._reprobe(target) for target in targets))

    async def watch(self, hosts):
        """Probe silent and slow targets periodically; never return.

        Parameters
        ----------
        hosts : callable
            Returns the number of hosts that exchange slowness reports.
        """
        while True:
            await asyncio.sleep(REPROBE_PERIOD_SECONDS)
            await self.reprobe(
                self._targets_to_reprobe(PROBING_HOSTS / max(1, hosts()))
            )

    def _targets_to_reprobe(self, shared_fraction):
        """Return the targets to probe in this interval.

        Targets that are silent to this host only are always included. Of
        those that are silent to most, and of slow ones, whose report is the
        same for all hosts, each host probes a random fraction; it probes no
        slow one that asked it for a rest.

        Silent targets come first, the least recently contacted one before
        the others, as the rate limit may not permit all probes.
        """
        now = self._now()
        targets = [
            target
            for target in self._targets
            if self._is_due(target, shared_fraction, now)
        ]
        return sorted(targets, key=_reprobe_rank)

    def _is_due(self, target, shared_fraction, now):
        """Return whether to probe a target in this interval."""
        health = target.health
        if health.is_silent and not self.is_shared_silence(target.identity):
            return True
        is_slow = health.is_self_reported_slow(now)
        if health.is_silent or (is_slow and not target.is_resting(now)):
            return self._random.random() < shared_fraction
        return False

    async def _reprobe(self, target):
        was_silent = target.health.is_silent
        if not self._acquire_probe() or not await self._probe_once(target):
            return
        target.health.mark_reachable(self._now())
        if was_silent:
            _LOG.info(
                "target_answers_again", extra={"target": target.identity}
            )
            self.on_return(target)

    async def _is_responsive(self, target):
        """Return whether a target responds; concurrent calls share a probe.

        A target counts as responsive while the rate limit permits no probe.
        """
        if target.is_replaced:
            # What answers at its address is another process.
            return False
        now = self._now()
        if self._reach.is_lost(target.record.service):
            return True
        if target.health.is_silent:
            return False
        key = target.incarnation
        if self._responsive_until.get(key, 0.0) > now:
            return True
        task = self._pending_probes.get(key)
        if task is None:
            if not self._acquire_probe():
                return True
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._probe(target))
            self._pending_probes[key] = task
            task.add_done_callback(
                lambda _: self._pending_probes.pop(key, None)
            )
        return await asyncio.shield(task)

    async def _probe(self, target):
        started_at = self._now()
        if await self._check_target(target, started_at):
            until = self._now() + ANSWER_VALID_SECONDS
            self._responsive_until[target.incarnation] = until
            target.health.mark_reachable(self._now())
            return True
        target.health.mark_unreachable(self._now())
        _log_silent(target, "unanswered_probes")
        if not target.is_replaced:
            self._on_silent(target.identity)
        return False

    async def _check_target(self, target, started_at):
        """Return whether a target counts as responsive.

        If no target has answered since the first attempt, this one is
        probed once more together with a sample of others, since the link
        may have been congested for a moment only. If none of them answers
        either, this host is taken to be without network, and the target
        counts as responsive.

        Parameters
        ----------
        target : Target
            The target.
        started_at : float
            Monotonic time of the first attempt in seconds.
        """
        if await self._probe_with_retries(target):
            return True
        if self._reach.has_answer_since(started_at):
            return False
        is_responsive, is_connected = await asyncio.gather(
            self._probe_once(target),
            self._reach.is_connected(
                target.record.service,
                {identity for identity, _ in self._pending_probes},
            ),
        )
        return is_responsive or not is_connected

    async def _probe_with_retries(self, target):
        """Return whether a target responds within the allowed attempts."""
        failed_attempts = 0
        stalled_attempts = 0
        while (
            failed_attempts < PROBE_ATTEMPTS
            and stalled_attempts < MAX_STALLED_ATTEMPTS
        ):
            stalled_at = (
                self._now() + PROBE_TIMEOUT_SECONDS + HOST_STALL_SECONDS
            )
            if await self._probe_once(target):
                self._reach.record_answer()
                return True
            if self._now() >= stalled_at:
                stalled_attempts += 1
            else:
                failed_attempts += 1
        return False

    def _acquire_probe(self):
        """Take one probe from the rate limit; return whether any was left."""
        now = self._now()
        refill = (now - self._refilled_at) * PROBES_PER_SECOND
        self._available_probes = min(
            BURST_PROBES, self._available_probes + refill
        )
        self._refilled_at = now
        if self._available_probes < 1:
            return False
        self._available_probes -= 1
        return True

    async def _probe_anew(self, target, timeout_seconds):
        """Probe a target over a new connection.

        Returns
        -------
        bool or None
            Whether it responds; None if the rate limit permits no probe, or
            if the event loop of this host was blocked meanwhile.
        """
        if not self._acquire_probe():
            return None
        deadline = self._now() + timeout_seconds
        if await self._probe_once(target, deadline, must_open=True):
            return True
        is_stalled = self._now() >= deadline + HOST_STALL_SECONDS
        return None if is_stalled else False

    async def _probe_once(self, target, deadline=None, must_open=False):
        """Send one probe; return whether the target responds.

        Parameters
        ----------
        target : Target
            The target.
        deadline : float, optional
            Monotonic time in seconds; `PROBE_TIMEOUT_SECONDS` from now by
            default.
        must_open : bool
            Whether to use a new connection.
        """
        if deadline is None:
            deadline = self._now() + PROBE_TIMEOUT_SECONDS
        try:
            if target.record.is_placeable:
                await self._read_report(target, deadline, must_open)
            else:
                await self._connect(target, deadline)
        except TransportError as error:
            is_rejected = isinstance(
                error, (LostConnectionError, RefusedConnectionError)
            )
            target.health.record_contact_failure(
                self._now(),
                is_rejected,
                isinstance(error, RefusedConnectionError),
            )
            return False
        except InvalidInputError as error:
            _LOG.info(
                "report_refused",
                extra={"target": target.identity, "error": str(error)},
            )
        return True

    async def _read_report(self, target, deadline, must_open):
        answer, body = await self._pool.call(
            target.incarnation,
            target.address,
            b"GET",
            REPORT_PATH,
            b"",
            deadline,
            must_open=must_open,
        )
        if answer.status == OK_STATUS:
            self._apply_report(target, decode_report(body))

    def _apply_report(self, target, report):
        """Update the health and load of a target from its report."""
        now = self._now()
        target.health.record_slowness(report.slowness, now)
        target.record_load(report.used_units, report.queued, now)
        _LOG.info(
            "target_report",
            extra={
                "target": target.identity,
                "kind": target.record.kind,
                "slowness": report.slowness,
                "running": report.running,
                "queued": report.queued,
                "used_units": round(report.used_units),
                "total_units": round(report.total_units),
                "booked_units": round(
                    self._ledger.used_units(target.identity)
                ),
            },
        )

    async def _connect(self, target, deadline):
        """Probe by connecting only; a request would wait for a free slot."""
        connection = await self._pool.open(target.address, deadline)
        self._pool.release(target.incarnation, connection)

    def forget(self, target):
        """Discard the probe result of a target that was removed."""
        self._responsive_until.pop(target.incarnation, None)


def _names_other_start(target, answer, body):
    """Return whether a report names another start of the target."""
    if answer.status != OK_STATUS:
        return False
    try:
        return not target.is_process(decode_report(body).born_ms)
    except InvalidInputError:
        return False


def _log_silent(target, cause):
    _LOG.warning(
        "target_silent",
        extra={
            "target": target.identity,
            "address": target.address,
            "cause": cause,
        },
    )


def _reprobe_rank(target):
    last_failed_at = target.health.last_failed_at
    return (last_failed_at is None, last_failed_at or 0.0)
