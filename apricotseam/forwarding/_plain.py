"""Requests that a single target answers without streaming."""

import asyncio

from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._errors import OutdatedChoiceError
from apricotseam.forwarding._replacement import ReplacementReserver
from apricotseam.forwarding._sender import Sender
from apricotseam.forwarding._unserved import refuse_unserved
from apricotseam.http1 import ConnectError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

MAX_ANSWER_BYTES = 8 << 20
# Attempts that no target ran, in addition to those that the route allows.
MAX_UNRUN_ATTEMPTS = 3
# Fraction of the remaining time after which an attempt is left for another
# target, if one can take the request.
ATTEMPT_TIME_FRACTION = 0.45
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
        failure = 503
        unrun_attempts = 0
        while True:
            choice = self._next_choice(call, unrun_attempts)
            if choice is None:
                break
            call.attempts += 1
            result = await self._attempt(call, choice)
            if result.is_final:
                return deliver(call, result.answer, result.body)
            if result.was_run:
                failure = result.status
            else:
                unrun_attempts += 1
            call.failed_targets.add(choice.head.identity)
        if call.runs == 0:
            return refuse_unserved(
                self._context, call, "no target took it", BUSY_RETRY_SECONDS
            )
        return fail(call, failure)

    def _next_choice(self, call, unrun_attempts):
        """Return the `Choice` of the next attempt, or None to stop."""
        reserved = call.take_reserved_choice()
        if reserved is not None:
            return reserved
        loop = asyncio.get_running_loop()
        if call.seconds_left() <= 0 or unrun_attempts > MAX_UNRUN_ATTEMPTS:
            return None
        if call.runs and not call.may_run_again:
            return None
        context = self._context
        choice = context.target_selector.choose_target(call, loop.time())
        if choice is None or not call.attempts:
            return choice
        if not context.retry_budget.try_acquire(
            call.service.name, loop.time()
        ):
            return None
        return choice

    async def _attempt(self, call, choice):
        loop = asyncio.get_running_loop()
        target = choice.head
        booking = self._context.ledger.book(1.0, choice.shares)
        started_at = loop.time()
        connection = None
        try:
            connection = await self._sender.open(call, choice)
            self._sender.send(call, connection, choice)
            call.runs += 1
            result = await self._read_answer(call, connection, target)
            if result.is_final and result.answer.status < 500:
                target.health.record_success(loop.time() - started_at)
            connection = None
            return result
        except OutdatedChoiceError:
            call.withdraw_attempt(target.identity)
            return _AttemptResult(was_run=False)
        except ConnectError:
            target.health.mark_unreachable(loop.time())
            call.record_outcome(target.identity, "no_connection")
            return _AttemptResult(was_run=False)
        except TransportError as error:
            await self._context.prober.find_unresponsive([target])
            return self._handle_broken_answer(call, target, error)
        finally:
            self._context.ledger.release(booking)
            if connection is not None:
                connection.close()

    async def _read_answer(self, call, connection, target):
        reader = _PatientReader(self._context, call, target)
        answer, metadata = await reader.read(
            lambda deadline: self._sender.read_head(
                call, connection, deadline, target
            )
        )
        body = await self._read_body(reader, connection)
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
            if call.may_run_again:
                return _AttemptResult(was_run=True, status=502)
        return _AttemptResult(was_run=True, answer=answer, body=body)

    async def _read_body(self, reader, connection):
        parts = []
        size = 0
        while data := await reader.read(connection.read):
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise MalformedAnswerError(
                    f"{connection.address} sent a body of more than"
                    f" {MAX_ANSWER_BYTES} bytes",
                    "ask for less at a time",
                )
            parts.append(data)
        return b"".join(parts)

    def _handle_broken_answer(self, call, target, error):
        call.record_outcome(target.identity, error.code)
        target.health.record_failure()
        is_timeout = isinstance(error, TransportTimeoutError)
        return _AttemptResult(was_run=True, status=504 if is_timeout else 502)


class _PatientReader:
    """Reads an answer; leaves a silent target only for another one.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    call : Call
        The request.
    target : Target
        The target that answers.
    """

    __slots__ = ("_call", "_context", "_leave_at", "_replacements", "_target")

    def __init__(self, context, call, target):
        self._context = context
        self._replacements = ReplacementReserver(context)
        self._call = call
        self._target = target
        # Loop time in seconds from which the attempt is left for another one
        # even if the target responds to probes.
        now = asyncio.get_running_loop().time()
        self._leave_at = now + ATTEMPT_TIME_FRACTION * call.seconds_left()

    async def read(self, read):
        """Return the result of a read.

        Parameters
        ----------
        read : callable
            Coroutine function that takes a deadline in loop time.

        Raises
        ------
        TransportTimeoutError
            At the deadline of the call, or once another attempt is reserved.
        """
        loop = asyncio.get_running_loop()
        deadline = self._call.deadline
        while True:
            check_at = min(deadline, loop.time() + SILENCE_CHECK_SECONDS)
            try:
                return await read(check_at)
            except TransportTimeoutError:
                if loop.time() >= deadline or await self._can_leave():
                    raise

    async def _can_leave(self):
        """Return whether another attempt is reserved."""
        target = self._target
        unresponsive = await self._context.prober.find_unresponsive([target])
        now = asyncio.get_running_loop().time()
        if not unresponsive and now < self._leave_at:
            return False
        return self._replacements.reserve(self._call, [target.identity])


class _AttemptResult:
    """Result of one attempt.

    ``answer`` and ``body`` are the answer for the caller. If there is none,
    ``status`` is the HTTP status to report after the last attempt.
    """

    __slots__ = ("answer", "body", "status", "was_run")

    def __init__(self, was_run, answer=None, body=b"", status=502):
        self.was_run = was_run
        self.answer = answer
        self.body = body
        self.status = status

    @property
    def is_final(self):
        """Whether the attempt yielded an answer for the caller."""
        return self.answer is not None
