"""Requests whose answers are streams of events."""

import asyncio
import logging

from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import refuse_call
from apricotseam.forwarding._passage import Passage
from apricotseam.forwarding._sending import Sender
from apricotseam.forwarding._waiting import WAIT_SHARE
from apricotseam.http1 import ConnectError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError

_LOG = logging.getLogger(__name__)

MAX_SENDS = 5
# How long an answer that broke off may wait for room to go on.
RESUME_WAIT_SECONDS = 0.8
# How long a target that refused work gets no more.
FULL_SECONDS = 0.25
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 4.0


class StreamRunner:
    """Runs requests that are answered event by event.

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
        status = 503
        while call.attempts < MAX_SENDS:
            choice = await self._choose(call)
            if choice is None:
                break
            call.attempts += 1
            status = await self._attempt(call, choice)
            if call.exchange.is_ended:
                return status
        if call.exchange.is_started:
            call.exchange.cut()
            return "cut"
        if call.runs == 0:
            return refuse_call(
                self._scene, call, "no room", self._retry_after(call)
            )
        return fail(call, status)

    async def _choose(self, call):
        """Return the next `Choice`, or None if no attempt may follow."""
        cause = self._why_not(call)
        if cause is None:
            choice = await self._wait_for_room(call)
            if choice is not None:
                return choice
            cause = "no_room"
        call.note("end", cause)
        return None

    def _why_not(self, call):
        """Return why no attempt may follow, or None if one may."""
        if call.seconds_left() <= 0:
            return "deadline"
        if call.runs and not call.may_run_again:
            return "attempts"
        now = asyncio.get_running_loop().time()
        if call.attempts and not self._scene.allowance.spend(
            call.service.name, now
        ):
            return "retry_budget"
        return None

    async def _wait_for_room(self, call):
        """Return a `Choice`, after a wait if there may soon be room."""
        loop = asyncio.get_running_loop()
        waiting = self._scene.waiting
        rank = waiting.rank(call)
        choice = self._try(call) if waiting.is_first(rank) else None
        until = self._wait_until(call)
        while choice is None and self._may_wait(call, until):
            began = loop.time()
            has_turn = await waiting.wait(rank, until)
            call.waited_seconds += loop.time() - began
            if not has_turn:
                return None
            choice = self._try(call)
            if choice is not None:
                waiting.wake()
        return choice

    def _try(self, call):
        """Return a `Choice` that has room now, or None."""
        now = asyncio.get_running_loop().time()
        chooser = self._scene.chooser
        if call.service.engine is None:
            return chooser.choose_target(call, now)
        is_preferred = call.runs > 0 or self._scene.waiting.has_returned(call)
        return chooser.choose_chain(call, now, is_preferred)

    def _wait_until(self, call):
        """Return the time until which a call may wait for room."""
        now = asyncio.get_running_loop().time()
        if call.exchange.is_started:
            return min(call.deadline, now + RESUME_WAIT_SECONDS)
        share = WAIT_SHARE * call.route.objective_seconds
        return min(call.deadline, call.request.received_at + share)

    def _may_wait(self, call, until):
        """Return whether there should be room before a time."""
        now = asyncio.get_running_loop().time()
        if call.service.engine is None or now >= until:
            return False
        if not self._scene.chooser.has_layers(call.service):
            return False
        if call.exchange.is_started:
            return True
        return now + self._scene.waiting.expected_seconds() <= until

    def _retry_after(self, call):
        """Return when there should be room, in seconds from now."""
        waiting = self._scene.waiting
        waiting.remember_refused(call)
        wait = waiting.expected_seconds()
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))

    async def _attempt(self, call, choice):
        """Send a call along a chain; return a status."""
        passage = Passage(self._scene, self._sender, call, choice)
        try:
            failure = await passage.run()
        except ConnectError:
            self._blame(call, choice.head, "no_connection", True)
            return 502
        except TransportError as error:
            return await self._take_error(call, passage.choice, error)
        if failure is not None:
            return await self._take_failure(call, choice, *failure)
        for target, _ in passage.choice.stages:
            target.health.succeed()
        call.note(passage.choice.chain or choice.head.identity, "200")
        return 200

    async def _take_error(self, call, choice, error):
        """Take an answer that broke off; return a status."""
        is_silent = isinstance(error, TransportTimeoutError)
        call.note(choice.chain or choice.head.identity, error.code)
        targets = [target for target, _ in choice.stages]
        if not is_silent:
            await self._scene.probes.find_dead(targets)
        now = asyncio.get_running_loop().time()
        suspects = [t for t in targets if t.health.is_suspect(now)]
        if suspects:
            call.tried.update(target.identity for target in suspects)
        else:
            self._blame(call, choice.head, error.code, False)
        return 504 if is_silent else 502

    async def _take_failure(self, call, choice, answer, facts, body):
        """Take an answer that is no stream; return its status."""
        at_fault = choice.part_at(facts.target_at_fault) or choice.head
        if facts.was_not_run:
            call.runs -= 1
            self._blame(call, at_fault, f"not_run_{answer.status}", False)
            if not await self._scene.probes.find_dead([at_fault]):
                now = asyncio.get_running_loop().time()
                at_fault.health.avoid(now + FULL_SECONDS)
            return 503
        self._blame(call, at_fault, str(answer.status), False)
        if call.exchange.is_started or call.may_run_again:
            return 502
        return deliver(call, answer, body)

    def _blame(self, call, target, outcome, is_silent):
        """Note that a target failed a call and keep the call off it."""
        call.tried.add(target.identity)
        call.note(target.identity, outcome)
        self._scene.metrics.sends.labels(outcome).inc()
        if is_silent:
            target.health.lose_contact()
        else:
            target.health.fail()
