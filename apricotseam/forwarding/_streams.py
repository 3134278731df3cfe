"""Requests that are answered by a stream of events."""

import asyncio
import contextlib
import logging

from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import FailedAnswer
from apricotseam.forwarding._errors import OutdatedChoiceError
from apricotseam.forwarding._relay import RelayRunner
from apricotseam.forwarding._request_queue import WAIT_FRACTION
from apricotseam.forwarding._sender import Sender
from apricotseam.forwarding._share_count import ShareCounter
from apricotseam.forwarding._start_estimates import log_late_start
from apricotseam.forwarding._start_estimates import MS_PER_SECOND
from apricotseam.forwarding._start_estimates import PATIENCE_MARGIN_SECONDS
from apricotseam.forwarding._stream_attempt import StreamAttempt
from apricotseam.forwarding._unserved import refuse_unserved
from apricotseam.http1 import ConnectError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

_LOG = logging.getLogger(__name__)

# Limit for all attempts together. `Route.max_attempts` limits only those that
# a target may have run.
MAX_ATTEMPTS = 5
# How long an interrupted stream may wait for capacity to continue.
RESUME_WAIT_SECONDS = 0.8
# How long a request that was refused before may wait. It is late already, and
# callers give up after two seconds.
RETURN_WAIT_SECONDS = 1.5
# Time for which a target that refused a request gets no others.
REFUSED_PAUSE_SECONDS = 0.25
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 4.0


class StreamRunner:
    """Runs streaming requests, with retries and waits for capacity.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context
        self._sender = Sender(context)
        self._relay = RelayRunner(context)
        self._shares = ShareCounter(context)

    async def run(self, call):
        """Answer a call; return the HTTP status, or ``cut`` if aborted."""
        if call.load.fair_shares:
            share = self._shares.open(call)
            with contextlib.closing(share):
                status = await self._run_attempts(call, share.begin)
        else:
            status = await self._run_attempts(call, _begin_uncounted)
        if status == 200:
            return status
        relayed = await self._relay.run_if_better(call)
        if relayed is not None:
            return relayed
        if call.exchange.is_started:
            call.exchange.abort_response()
            return "cut"
        if call.runs == 0:
            return refuse_unserved(
                self._context,
                call,
                self._refusal_cause(call),
                self._retry_after(call),
            )
        return fail(call, status)

    async def _run_attempts(self, call, begin):
        """Run attempts until one succeeds; return the last HTTP status.

        Parameters
        ----------
        call : Call
            The request.
        begin : callable
            Called before each attempt.
        """
        status = 502
        while call.attempts < MAX_ATTEMPTS:
            choice = await self._next_choice(call)
            if choice is None:
                break
            call.attempts += 1
            begin()
            attempt = self._make_attempt(call, choice)
            failure = await self._record_result(attempt, attempt.run)
            if failure is None:
                return 200
            status = failure
        return status

    def _refusal_cause(self, call):
        """Log why a call is refused, and return the cause in a few words."""
        verdict = call.start_verdict
        if verdict is None or verdict.is_in_time:
            return "no room"
        now = asyncio.get_running_loop().time()
        log_late_start(call, verdict, self._context.ledger, now)
        return "late start"

    def _make_attempt(self, call, choice):
        return StreamAttempt(
            self._context, self._sender, call, choice, self._record_result
        )

    async def _next_choice(self, call):
        """Return the `Choice` of the next attempt, or None to stop."""
        choice = None
        cause = self._stop_cause(call)
        if cause is None:
            choice = await self._wait_for_capacity(call)
            if choice is None:
                cause = "no_room"
            elif self._context.quarantine_gate.stops(call):
                choice = None
                cause = "quarantined"
            elif not self._acquire_retry(call):
                choice = None
                cause = "retry_budget"
        if choice is None:
            call.record_outcome("end", cause)
        return choice

    def _stop_cause(self, call):
        """Return why no further attempt is allowed, or None if one is."""
        if call.seconds_left() <= 0:
            return "deadline"
        if call.runs and not call.may_run_again:
            return "attempts"
        if self._context.prober.reach.is_lost(call.service.name):
            return "links_lost"
        if self._context.quarantine_gate.stops(call):
            return "quarantined"
        return None

    def _acquire_retry(self, call):
        """Return whether the next attempt is within the retry budget."""
        if not call.attempts:
            return True
        now = asyncio.get_running_loop().time()
        return self._context.retry_budget.try_acquire(call.service.name, now)

    async def _wait_for_capacity(self, call):
        """Return a `Choice`, waiting for capacity if need be, or None.

        A stream that has started doesn't wait behind new requests.
        """
        loop = asyncio.get_running_loop()
        request_queue = self._context.request_queue
        rank = request_queue.rank(call)
        call.is_return = request_queue.was_refused_before(call)
        choice = None
        if call.exchange.is_started or request_queue.is_first(rank):
            choice = self._choose_now(call)
        until = self._wait_deadline(call)
        while choice is None and self._should_wait(call, rank, until):
            started_at = loop.time()
            has_turn = await request_queue.wait(
                rank,
                until,
                call.service.name if call.load.fair_shares else "",
            )
            call.waited_seconds += loop.time() - started_at
            if not has_turn:
                return None
            choice = self._choose_now(call)
            if choice is not None:
                request_queue.wake_next()
            elif call.failed_targets:
                # Others may use what this call must not.
                request_queue.wake_behind(rank)
        return choice

    def _choose_now(self, call):
        """Return a `Choice` that has capacity now, or None."""
        now = asyncio.get_running_loop().time()
        target_selector = self._context.target_selector
        if call.service.engine is None:
            return target_selector.choose_target(call, now)
        may_use_reserve = (
            call.runs > 0
            or self._context.request_queue.was_refused_before(call)
        )
        return target_selector.choose_chain(call, now, may_use_reserve)

    def _wait_deadline(self, call):
        """Return the loop time until which a call may wait for capacity."""
        now = asyncio.get_running_loop().time()
        if call.load.start_estimates and call.last_event is not None:
            return call.waits_until - PATIENCE_MARGIN_SECONDS
        if call.exchange.is_started:
            return min(call.deadline, now + RESUME_WAIT_SECONDS)
        wait_seconds = WAIT_FRACTION * call.route.objective_seconds
        if self._context.request_queue.was_refused_before(call):
            wait_seconds = RETURN_WAIT_SECONDS
        return min(call.deadline, call.request.received_at + wait_seconds)

    def _should_wait(self, call, rank, until):
        """Return whether to wait for capacity until a loop time in seconds.

        No request waits unless a chain covers all layers. A new request waits
        only if capacity is expected to be free in time; a stream that has
        started waits in any case.
        """
        now = asyncio.get_running_loop().time()
        if call.service.engine is None or now >= until:
            return False
        target_selector = self._context.target_selector
        if not target_selector.has_layers(call.service, until):
            return False
        if self._relay.may_help(call):
            return False
        if call.exchange.is_started:
            return True
        request_queue = self._context.request_queue
        if call.load.start_estimates:
            if call.last_event is not None:
                return True
            verdict = call.start_verdict
            if verdict is not None and not (
                verdict.is_in_time or verdict.is_late_by_share
            ):
                # A later send would begin later still.
                return request_queue.was_refused_before(call)
        return now + request_queue.expected_wait_seconds(rank) <= until

    def _retry_after(self, call):
        """Record a refusal; return the suggested retry delay in seconds."""
        request_queue = self._context.request_queue
        request_queue.record_refusal(call)
        if call.load.start_estimates:
            verdict = call.start_verdict
            excess_ms = verdict.excess_ms if verdict is not None else 0.0
            return self._context.returns.delay_seconds(
                call.seconds_left(), excess_ms / MS_PER_SECOND
            )
        wait = request_queue.reserve_return_seconds()
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    async def _record_result(self, attempt, run):
        """Run a method of an attempt and record how it ended.

        Returns
        -------
        int or None
            The HTTP status that results; None if the method succeeded.
        """
        call = attempt.call
        try:
            failure = await run()
        except OutdatedChoiceError:
            choice = attempt.choice
            call.withdraw_attempt(choice.chain or choice.head.identity)
            return 502
        except ConnectError as error:
            head = attempt.choice.head
            self._exclude(call, head, "no_connection")
            if not await self._context.prober.reach.check_after_failure(head):
                self._context.prober.record_no_connection(head, error)
            self._context.target_ends.confirm_end(head)
            return 502
        except TransportError as error:
            return await self._handle_broken_answer(call, attempt, error)
        if failure is not None:
            return await self._handle_error_answer(call, attempt, *failure)
        if call.exchange.is_ended:
            self._record_success(call, attempt)
        return None

    def _record_success(self, call, attempt):
        choice = attempt.choice
        targets = [target for target, _ in choice.stages]
        for target in targets:
            target.health.record_success()
        self._context.target_ends.record_success(
            call, targets, attempt.times.writing_since
        )
        call.record_outcome(choice.chain or choice.head.identity, "200")

    async def _handle_broken_answer(self, call, attempt, error):
        """Record an incomplete answer; return the HTTP status."""
        choice = attempt.choice
        broken_at = asyncio.get_running_loop().time()
        is_timeout = isinstance(error, TransportTimeoutError)
        call.record_outcome(choice.chain or choice.head.identity, error.code)
        targets = [target for target, _ in choice.stages]
        if not is_timeout:
            # Answers from before the break say nothing about the targets.
            for target in targets:
                self._context.prober.forget(target)
            await self._context.prober.find_unresponsive(targets)
        is_lost = self._context.prober.reach.is_lost(call.service.name)
        # Where this host reaches no target, the break itself shows nothing.
        ended = [
            target
            for target in targets
            if target.has_ended or (target is choice.head and not is_lost)
        ]
        self._context.target_ends.record_broken(
            call, ended, attempt.times, broken_at
        )
        if is_lost:
            return 504 if is_timeout else 502
        now = asyncio.get_running_loop().time()
        suspects = [t for t in targets if t.health.is_suspect(now)]
        if suspects:
            call.failed_targets.update(t.incarnation for t in suspects)
        else:
            self._record_failure(call, choice.head, error.code)
        return 504 if is_timeout else 502

    async def _handle_error_answer(
        self, call, attempt, answer, metadata, body
    ):
        """Handle an answer that is not a stream; return the HTTP status."""
        choice = attempt.choice
        at_fault = choice.target_at(metadata.failed_target) or choice.head
        if metadata.was_not_run:
            call.runs -= 1
            self._record_failure(call, at_fault, f"not_run_{answer.status}")
            now = asyncio.get_running_loop().time()
            if at_fault.is_resting(now):
                return 502
            if not await self._context.prober.find_unresponsive([at_fault]):
                now = asyncio.get_running_loop().time()
                at_fault.health.avoid(now + REFUSED_PAUSE_SECONDS)
            return 502
        self._record_failure(call, at_fault, str(answer.status))
        self._context.target_ends.record_failure(call, at_fault, attempt.times)
        call.failed_answer = FailedAnswer(answer, body)
        return 502

    def _record_failure(self, call, target, outcome):
        """Record that a target failed a call, and exclude it from retries."""
        self._exclude(call, target, outcome)
        target.health.record_failure()

    def _exclude(self, call, target, outcome):
        """Record the outcome of an attempt, and exclude its target."""
        call.failed_targets.add(target.incarnation)
        call.record_outcome(target.identity, outcome)
        self._context.metrics.sends.labels(outcome).inc()


def _begin_uncounted():
    """Count nothing, as no shares are computed."""
