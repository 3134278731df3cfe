"""Requests that are answered by a stream of events."""

import asyncio
import logging

from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import refuse_call
from apricotseam.forwarding._passage import StreamAttempt
from apricotseam.forwarding._request_queue import WAIT_FRACTION
from apricotseam.forwarding._sender import Sender
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

    async def run(self, call):
        """Answer a call; return the HTTP status, or ``cut`` if aborted."""
        status = 503
        while call.attempts < MAX_ATTEMPTS or call.reserved_choice:
            choice = await self._next_choice(call)
            if choice is None:
                break
            call.attempts += 1
            status = await self._attempt(call, choice)
            if call.exchange.is_ended:
                return status
        if call.exchange.is_started:
            call.exchange.abort_response()
            return "cut"
        if call.runs == 0:
            return refuse_call(
                self._context, call, "no room", self._retry_after(call)
            )
        return fail(call, status)

    async def _next_choice(self, call):
        """Return the `Choice` of the next attempt, or None to stop."""
        reserved = call.take_reserved_choice()
        if reserved is not None:
            return reserved
        cause = self._stop_cause(call)
        if cause is None:
            choice = await self._wait_for_capacity(call)
            if choice is not None:
                return choice
            cause = "no_room"
        call.record_outcome("end", cause)
        return None

    def _stop_cause(self, call):
        """Return why no further attempt is allowed, or None if one is."""
        if call.seconds_left() <= 0:
            return "deadline"
        if call.runs and not call.may_run_again:
            return "attempts"
        now = asyncio.get_running_loop().time()
        if call.attempts and not self._context.retry_budget.try_acquire(
            call.service.name, now
        ):
            return "retry_budget"
        return None

    async def _wait_for_capacity(self, call):
        """Return a `Choice`, waiting for capacity if need be, or None."""
        loop = asyncio.get_running_loop()
        request_queue = self._context.request_queue
        rank = request_queue.rank(call)
        choice = (
            self._choose_now(call) if request_queue.is_first(rank) else None
        )
        until = self._wait_deadline(call)
        while choice is None and self._should_wait(call, rank, until):
            started_at = loop.time()
            has_turn = await request_queue.wait(rank, until)
            call.waited_seconds += loop.time() - started_at
            if not has_turn:
                return None
            choice = self._choose_now(call)
            if choice is not None:
                request_queue.wake_next()
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
        if not self._context.target_selector.has_layers(call.service):
            return False
        if call.exchange.is_started:
            return True
        request_queue = self._context.request_queue
        return now + request_queue.expected_wait_seconds(rank) <= until

    def _retry_after(self, call):
        """Record a refusal; return the suggested retry delay in seconds."""
        request_queue = self._context.request_queue
        request_queue.record_refusal(call)
        wait = request_queue.reserve_return_seconds()
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    async def _attempt(self, call, choice):
        """Run one attempt; return the HTTP status that results."""
        attempt = StreamAttempt(self._context, self._sender, call, choice)
        try:
            failure = await attempt.run()
        except ConnectError:
            self._record_failure(call, choice.head, "no_connection", True)
            return 502
        except TransportError as error:
            return await self._handle_broken_answer(
                call, attempt.choice, error
            )
        if failure is not None:
            return await self._handle_error_answer(call, choice, *failure)
        for target, _ in attempt.choice.stages:
            target.health.record_success()
        call.record_outcome(
            attempt.choice.chain or choice.head.identity, "200"
        )
        return 200

    async def _handle_broken_answer(self, call, choice, error):
        """Record an incomplete answer; return the HTTP status."""
        is_timeout = isinstance(error, TransportTimeoutError)
        call.record_outcome(choice.chain or choice.head.identity, error.code)
        targets = [target for target, _ in choice.stages]
        if not is_timeout:
            # Answers from before the break say nothing about the targets.
            for target in targets:
                self._context.prober.forget(target)
            await self._context.prober.find_unresponsive(targets)
        now = asyncio.get_running_loop().time()
        suspects = [t for t in targets if t.health.is_suspect(now)]
        if suspects:
            call.failed_targets.update(target.identity for target in suspects)
        else:
            self._record_failure(call, choice.head, error.code, False)
        return 504 if is_timeout else 502

    async def _handle_error_answer(self, call, choice, answer, metadata, body):
        """Handle an answer that is not a stream; return the HTTP status."""
        at_fault = choice.target_at(metadata.failed_target) or choice.head
        if metadata.was_not_run:
            call.runs -= 1
            self._record_failure(
                call, at_fault, f"not_run_{answer.status}", False
            )
            if not await self._context.prober.find_unresponsive([at_fault]):
                now = asyncio.get_running_loop().time()
                at_fault.health.avoid(now + REFUSED_PAUSE_SECONDS)
            return 503
        self._record_failure(call, at_fault, str(answer.status), False)
        if call.exchange.is_started or call.may_run_again:
            return 502
        return deliver(call, answer, body)

    def _record_failure(self, call, target, outcome, is_unreachable):
        """Record that a target failed a call, and exclude it from retries."""
        call.failed_targets.add(target.identity)
        call.record_outcome(target.identity, outcome)
        self._context.metrics.sends.labels(outcome).inc()
        if is_unreachable:
            now = asyncio.get_running_loop().time()
            target.health.mark_unreachable(now)
        else:
            target.health.record_failure()
