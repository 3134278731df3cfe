"""Requests that one target answers whole."""

import asyncio

from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import refuse_call
from apricotseam.forwarding._sending import Sender
from apricotseam.http1 import ConnectError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

MAX_ANSWER_BYTES = 8 << 20
# Sends that no target ran, beside those that the route allows.
MAX_UNRUN_SENDS = 3
# Share of the time left that an attempt gets if another may follow.
ATTEMPT_SHARE = 0.45
BUSY_RETRY_SECONDS = 0.25
# Silence after which a target is asked whether it is there.
LOOK_SECONDS = 0.4


class PlainRunner:
    """Runs requests to plain services.

    Parameters
    ----------
    scene : Scene
        What requests read.
    """

    def __init__(self, scene):
        self._scene = scene
        self._sender = Sender(scene)

    async def run(self, call):
        """Answer a call; return its status."""
        failure = 503
        unrun = 0
        while True:
            choice = self._choose(call, unrun)
            if choice is None:
                break
            call.attempts += 1
            result = await self._attempt(call, choice)
            if result.is_final:
                return deliver(call, result.answer, result.body)
            if result.was_run:
                failure = result.status
            else:
                unrun += 1
            call.tried.add(choice.head.identity)
        if call.runs == 0:
            return refuse_call(
                self._scene, call, "no target took it", BUSY_RETRY_SECONDS
            )
        return fail(call, failure)

    def _choose(self, call, unrun):
        """Return the next `Choice`, or None if no attempt may follow."""
        loop = asyncio.get_running_loop()
        if call.seconds_left() <= 0 or unrun > MAX_UNRUN_SENDS:
            return None
        if call.runs and not call.may_run_again:
            return None
        scene = self._scene
        choice = scene.chooser.choose_target(call, loop.time())
        if choice is None or not call.attempts:
            return choice
        if not scene.allowance.spend(call.service.name, loop.time()):
            return None
        return choice

    async def _attempt(self, call, choice):
        loop = asyncio.get_running_loop()
        target = choice.head
        booking = self._scene.ledger.book(1.0, choice.shares)
        began = loop.time()
        connection = None
        try:
            connection = await self._sender.open(call, target)
            self._sender.send(call, connection, choice)
            call.runs += 1
            result = await self._read(call, connection, target)
            if result.is_final and result.answer.status < 500:
                target.health.succeed(loop.time() - began)
            connection = None
            return result
        except ConnectError:
            target.health.lose_contact()
            call.note(target.identity, "no_connection")
            return _Result(was_run=False)
        except TransportError as error:
            await self._scene.probes.find_dead([target])
            return self._take_error(call, target, error)
        finally:
            self._scene.ledger.release(booking)
            if connection is not None:
                connection.close()

    async def _read(self, call, connection, target):
        deadline = self._attempt_deadline(call)
        answer, facts = await self._head(call, connection, target, deadline)
        body = await connection.read_all(deadline, MAX_ANSWER_BYTES)
        if facts.was_not_run:
            call.runs -= 1
            target.health.fail()
            call.note(target.identity, f"not_run_{answer.status}")
            self._scene.pool.release(target.incarnation, connection, answer)
            return _Result(was_run=False)
        if facts.is_encoded or (answer.status < 300 and not facts.is_signed):
            raise MalformedAnswerError(
                f"{target.address} sent bytes of another origin",
                "repeat the request if it is idempotent",
            )
        self._scene.pool.release(target.incarnation, connection, answer)
        call.note(target.identity, str(answer.status))
        if answer.status >= 500:
            target.health.fail()
            if call.may_run_again:
                return _Result(was_run=True, status=502)
        return _Result(was_run=True, answer=answer, body=body)

    async def _head(self, call, connection, target, deadline):
        """Return the answer's head; leave a target that is gone early."""
        loop = asyncio.get_running_loop()
        while True:
            look_at = min(deadline, loop.time() + LOOK_SECONDS)
            try:
                return await self._sender.head(call, connection, look_at)
            except TransportTimeoutError:
                if loop.time() >= deadline:
                    raise
                dead = await self._scene.probes.find_dead([target])
                if dead and call.may_run_again:
                    raise

    def _take_error(self, call, target, error):
        call.note(target.identity, error.code)
        target.health.fail()
        is_late = isinstance(error, TransportTimeoutError)
        return _Result(was_run=True, status=504 if is_late else 502)

    def _attempt_deadline(self, call):
        if not call.may_run_again:
            return call.deadline
        loop = asyncio.get_running_loop()
        return loop.time() + ATTEMPT_SHARE * call.seconds_left()


class _Result:
    """What became of one attempt."""

    __slots__ = ("answer", "body", "status", "was_run")

    def __init__(self, was_run, answer=None, body=b"", status=502):
        self.was_run = was_run
        self.answer = answer
        self.body = body
        self.status = status

    @property
    def is_final(self):
        """Whether there is an answer for the caller."""
        return self.answer is not None
