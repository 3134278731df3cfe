"""Requests that a single target answers without streaming."""

import asyncio

from apricotseam.forwarding._answer_end import check_answer_end
from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import FailedAnswer
from apricotseam.forwarding._errors import OutdatedChoiceError
from apricotseam.forwarding._relay import MAX_ANSWER_BYTES
from apricotseam.forwarding._relay import RelayRunner
from apricotseam.forwarding._replacement import ReplacementReserver
from apricotseam.forwarding._sender import Sender
from apricotseam.forwarding._target_ends import AttemptTimes
from apricotseam.forwarding._unserved import refuse_unserved
from apricotseam.http1 import ConnectError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

# Attempts that no target ran, in addition to those that the route allows.
MAX_UNRUN_ATTEMPTS = 3
# Fraction of the time of a request after which a second attempt is started
# although the target responds to probes.
SECOND_ATTEMPT_FRACTION = 0.45
BUSY_RETRY_SECONDS = 0.25
# Silence after which a target is probed.
SILENCE_CHECK_SECONDS = 0.4


class PlainRunner:
    """Runs requests to services without a streaming engine.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context
        self._sender = Sender(context)

    async def run(self, call):
        """Answer a call; return the HTTP status."""
        return await _PlainRun(self._context, self._sender, call).run()


class _PlainRun:
    """The attempts of one call.

    While a target is silent, a second attempt may run beside the first; the
    first answer is delivered.
    """

    def __init__(self, context, sender, call):
        self._context = context
        self._sender = sender
        self._replacements = ReplacementReserver(context)
        self._relay = RelayRunner(context)
        self._call = call
        # Target of each attempt that is running, by its task.
        self._targets = {}
        self._unrun_attempts = 0
        self._failure_status = 502
        # Loop time in seconds of the second attempt beside a slow target.
        now = asyncio.get_running_loop().time()
        self._second_at = now + SECOND_ATTEMPT_FRACTION * call.seconds_left()

    async def run(self):
        """Answer the call; return the HTTP status."""
        try:
            answered = await self._find_answer()
        finally:
            for task in self._targets:
                task.cancel()
        call = self._call
        if answered is not None:
            return deliver(call, answered.answer, answered.body)
        relayed = await self._relay.run_if_better(call)
        if relayed is not None:
            return relayed
        if call.runs == 0:
            return refuse_unserved(
                self._context, call, "no target took it", BUSY_RETRY_SECONDS
            )
        return fail(call, self._failure_status)

    async def _find_answer(self):
        """Return the `_AttemptResult` to deliver, or None."""
        while True:
            if not self._targets:
                choice = self._next_choice()
                if choice is None:
                    return None
                self._call.attempts += 1
                self._start(choice)
            done, _ = await asyncio.wait(
                self._targets,
                timeout=SILENCE_CHECK_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                target = self._targets.pop(task)
                result = task.result()
                if result.is_final:
                    return result
                self._record(target, result)
            if not done and self._should_move():
                return None
            if not done and len(self._targets) == 1:
                await self._start_second()

    def _start(self, choice):
        """Book capacity now, so that others see it, and run an attempt."""
        ledger = self._context.ledger
        booking = ledger.book(1.0, choice.shares)
        task = asyncio.get_running_loop().create_task(self._attempt(choice))
        task.add_done_callback(lambda _: ledger.release(booking))
        self._targets[task] = choice.head

    def _record(self, target, result):
        if not result.was_sent:
            # The target is not chosen again until it takes requests.
            return
        call = self._call
        call.failed_targets.add(target.incarnation)
        if result.was_run:
            self._failure_status = result.status
        else:
            self._unrun_attempts += 1

    def _should_move(self):
        """Return whether to leave a late attempt for one of another host."""
        call = self._call
        now = asyncio.get_running_loop().time()
        reach = self._context.prober.reach
        if now < self._second_at or not reach.is_lost(call.service.name):
            return False
        return self._relay.may_help(call)

    async def _start_second(self):
        """Start a second attempt if the target is silent or slow."""
        (target,) = self._targets.values()
        call = self._call
        if not call.may_run_again:
            return
        unresponsive = await self._context.prober.find_unresponsive([target])
        self._context.target_ends.record_broken(
            call, unresponsive, AttemptTimes(call.request.received_at)
        )
        now = asyncio.get_running_loop().time()
        if unresponsive or now >= self._second_at:
            choice = self._replacements.reserve(call, [target.incarnation])
            if choice is not None:
                self._start(choice)

    def _next_choice(self):
        """Return the `Choice` of the next attempt, or None to stop."""
        call = self._call
        now = asyncio.get_running_loop().time()
        if call.seconds_left() <= 0:
            return None
        if self._unrun_attempts > MAX_UNRUN_ATTEMPTS:
            return None
        if self._context.prober.reach.is_lost(call.service.name):
            return None
        if call.runs and not call.may_run_again:
            return None
        context = self._context
        if context.quarantine_gate.stops(call):
            return None
        choice = context.target_selector.choose_target(call, now)
        if choice is None or not call.attempts:
            return choice
        if not context.retry_budget.try_acquire(call.service.name, now):
            return None
        return choice

    async def _attempt(self, choice):
        loop = asyncio.get_running_loop()
        call = self._call
        target = choice.head
        started_at = loop.time()
        connection = None
        try:
            connection = await self._sender.open(call, choice)
            self._sender.send(call, connection, choice)
            call.runs += 1
            result = await self._read_answer(connection, target)
            self._record_harm(target, result, started_at)
            if result.is_final and result.answer.status < 500:
                target.health.record_success(loop.time() - started_at)
            connection = None
            return result
        except OutdatedChoiceError:
            call.withdraw_attempt(target.identity)
            return _AttemptResult(was_run=False, was_sent=False)
        except ConnectError as error:
            prober = self._context.prober
            if not await prober.reach.check_after_failure(target):
                prober.record_no_connection(target, error)
            self._context.target_ends.confirm_end(target)
            call.record_outcome(target.identity, "no_connection")
            return _AttemptResult(was_run=False)
        except TransportError as error:
            broken_at = loop.time()
            await self._context.prober.find_unresponsive([target])
            is_lost = self._context.prober.reach.is_lost(call.service.name)
            if target.has_ended or not is_lost:
                self._context.target_ends.record_broken(
                    call, [target], AttemptTimes(started_at), broken_at
                )
            return self._handle_broken_answer(target, error)
        finally:
            if connection is not None:
                connection.close()

    def _record_harm(self, target, result, started_at):
        """Record whether a request that was run may end its target."""
        if not result.was_run:
            return
        target_ends = self._context.target_ends
        if result.is_final:
            target_ends.record_success(self._call, [target], started_at)
        else:
            target_ends.record_failure(
                self._call, target, AttemptTimes(started_at)
            )

    async def _read_answer(self, connection, target):
        call = self._call
        answer, metadata = await self._sender.read_head(
            call, connection, call.deadline, target
        )
        body = await connection.read_all(call.deadline, MAX_ANSWER_BYTES)
        await check_answer_end(self._context.prober, call, answer, target)
        if metadata.was_not_run:
            call.runs -= 1
            target.health.record_failure()
            call.record_outcome(target.identity, f"not_run_{answer.status}")
            self._context.pool.release(target.incarnation, connection, answer)
            return _AttemptResult(was_run=False)
        if metadata.is_encoded or (
            answer.status < 300 and not metadata.is_signed
        ):
            raise MalformedAnswerError(
                f"{target.address} sent an encoded or unsigned answer",
                "repeat the request if it is idempotent",
            )
        self._context.pool.release(target.incarnation, connection, answer)
        call.record_outcome(target.identity, str(answer.status))
        if answer.status >= 500:
            target.health.record_failure()
            call.failed_answer = FailedAnswer(answer, body)
            return _AttemptResult(was_run=True)
        return _AttemptResult(was_run=True, answer=answer, body=body)

    def _handle_broken_answer(self, target, error):
        self._call.record_outcome(target.identity, error.code)
        target.health.record_failure()
        is_timeout = isinstance(error, TransportTimeoutError)
        return _AttemptResult(was_run=True, status=504 if is_timeout else 502)


class _AttemptResult:
    """Result of one attempt.

    ``answer`` and ``body`` are the answer for the caller. If there is none,
    ``status`` is the HTTP status to report after the last attempt.
    ``was_sent`` is False if the target took no requests any more.
    """

    __slots__ = ("answer", "body", "status", "was_run", "was_sent")

    def __init__(
        self, was_run, answer=None, body=b"", status=502, was_sent=True
    ):
        self.was_run = was_run
        self.was_sent = was_sent
        self.answer = answer
        self.body = body
        self.status = status

    @property
    def is_final(self):
        """Whether the attempt yielded an answer for the caller."""
        return self.answer is not None
