"""One send of a stream along a chain, from its booking to its end."""

import asyncio
import logging

from apricotseam.errors import InvalidInputError
from apricotseam.http1 import EventSplitter
from apricotseam.http1 import InterruptedReadError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.platform import decode_report
from apricotseam.platform import ORDER_PATH
from apricotseam.platform import OrderOutcome
from apricotseam.platform import REPORT_PATH
from apricotseam.platform import Reroute
from apricotseam.platform import returned_headers

_LOG = logging.getLogger(__name__)

# Silence after which a stream goes on elsewhere, whatever the targets say;
# callers give up after two seconds.
SILENCE_SECONDS = 1.3
# Silence after which the targets of the chain are asked: before the first
# event, between events, and each further time.
FIRST_LOOK_SECONDS = 0.3
NEXT_LOOK_SECONDS = 0.07
FURTHER_LOOK_SECONDS = 0.4
# The same as a multiple of the usual pause of the stream.
USUAL_PAUSES = 3.0
PAUSE_WEIGHT = 0.2
REPORT_SECONDS = 0.25
ERROR_BODY_SECONDS = 0.5
# A target that is slower by this factor is left in the middle of a stream.
SLOW_FACTOR = 2.5
MAX_REROUTES = 3
MAX_BODY_BYTES = 1 << 20


class Passage:
    """A call under way along a chain.

    Parameters
    ----------
    scene : Scene
        What requests read.
    sender : Sender
        Sends requests.
    call : Call
        The request.
    choice : Choice
        The chain.
    """

    def __init__(self, scene, sender, call, choice):
        self._scene = scene
        self._sender = sender
        self._call = call
        self._choice = choice
        self._booking = None
        self._connection = None
        self._heard_at = 0.0
        self._usual_pause = NEXT_LOOK_SECONDS / USUAL_PAUSES
        self._is_streaming = False
        self._is_reading = False
        self._reroutes = 0

    @property
    def choice(self):
        """The chain that the call takes now."""
        return self._choice

    async def run(self):
        """Send the call and pass its events on.

        Returns
        -------
        tuple of Answer and AnswerFacts and bytes, or None
            The answer that is no stream; None when the stream ended whole.

        Raises
        ------
        TransportError
            If the answer did not come to its end.
        """
        self._book()
        try:
            found = await self._run()
            self._connection = None
            return found
        finally:
            self._forget()
            if self._connection is not None:
                self._connection.close()

    async def _run(self):
        call = self._call
        choice = self._choice
        self._connection = await self._sender.open(call, choice.head)
        connection = self._connection
        self._sender.send(call, connection, choice, call.last_event)
        call.runs += 1
        answer, facts = await self._head()
        if answer.status != 200 or facts.was_not_run:
            body = await connection.read_all(
                self._deadline(ERROR_BODY_SECONDS), MAX_BODY_BYTES
            )
            self._keep(answer)
            return answer, facts, body
        if facts.is_encoded or not facts.is_signed:
            raise MalformedAnswerError(
                f"{connection.address} sent bytes of another origin",
                "repeat the request if it may be resumed",
            )
        await self._relay(answer)
        self._keep(answer)
        return None

    async def _head(self):
        """Return the answer's head."""
        connection = self._connection
        return await self._patiently(
            lambda deadline: self._sender.head(
                self._call, connection, deadline
            )
        )

    async def _relay(self, answer):
        """Pass events on until the answer's end."""
        exchange = self._call.exchange
        splitter = EventSplitter()
        while data := await self._patiently(self._connection.read):
            for event in splitter.feed(data):
                await self._pass_on(answer, event)
        if splitter.has_rest:
            raise MalformedAnswerError(
                f"{self._connection.address} ended within an event",
                "repeat the request if it may be resumed",
            )
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
        exchange.end()

    async def _patiently(self, read):
        """Read; look into silence, and give up when it lasts.

        Parameters
        ----------
        read : callable
            Coroutine function of a deadline.

        Raises
        ------
        TransportError
            If nothing more is to be expected.
        """
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        patience = self._first_patience()
        while True:
            self._is_reading = True
            try:
                found = await read(self._deadline(patience))
            except (TransportTimeoutError, InterruptedReadError):
                if not await self._look_into_silence():
                    raise
                patience = FURTHER_LOOK_SECONDS
                continue
            finally:
                self._is_reading = False
            self._learn_pause(loop.time() - self._heard_at)
            return found

    def _first_patience(self):
        if not self._is_streaming:
            return FIRST_LOOK_SECONDS
        return max(NEXT_LOOK_SECONDS, USUAL_PAUSES * self._usual_pause)

    def _learn_pause(self, seconds):
        call = self._call
        if self._is_streaming:
            change = seconds - self._usual_pause
            self._usual_pause += PAUSE_WEIGHT * change
            call.longest_pause = max(call.longest_pause, seconds)

    async def _pass_on(self, answer, event):
        call = self._call
        if event.number is not None:
            last = call.last_event
            if last is not None and event.number <= last:
                return
            call.last_event = event.number
        self._is_streaming = True
        exchange = call.exchange
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
            now = asyncio.get_running_loop().time()
            call.first_event_at = now
            kind = call.route.repeat.value
            seconds = now - call.request.received_at
            self._scene.metrics.first_byte.labels(kind).observe(seconds)
        await exchange.write(event.data)

    async def _look_into_silence(self):
        """Find out why the chain is silent; return whether it goes on."""
        call = self._call
        choice = self._choice
        now = asyncio.get_running_loop().time()
        silent_seconds = now - self._heard_at
        if call.seconds_left() <= 0:
            return False
        targets = [target for target, _ in choice.stages]
        dead = await self._scene.probes.find_dead(targets)
        leaving = [t for t in targets[1:] if self._should_avoid(t)]
        is_long = silent_seconds >= FURTHER_LOOK_SECONDS
        if is_long and choice.path and not dead:
            dead = await self._stalled_targets()
        for target in dead:
            call.tried.add(target.identity)
            call.note(target.identity, "silent")
        if choice.head in dead:
            return False
        if (dead or leaving) and await self._reroute([*dead, *leaving]):
            return True
        # A chain that is only slow is left if another one has room.
        is_slow = silent_seconds >= SILENCE_SECONDS
        if is_slow and not dead:
            call.tried.add(choice.head.identity)
        return not ((dead or is_slow) and self._can_move())

    def _can_move(self):
        """Return whether the call could go on at another chain."""
        call = self._call
        if not call.may_run_again:
            return False
        now = asyncio.get_running_loop().time()
        chooser = self._scene.chooser
        if call.service.engine is None:
            return chooser.choose_target(call, now) is not None
        return chooser.choose_chain(call, now, True) is not None

    def _should_avoid(self, target):
        """Return whether the rest of a stream is better off elsewhere."""
        now = asyncio.get_running_loop().time()
        if not target.takes_work:
            return True
        return target.health.slowness(now) >= SLOW_FACTOR

    async def _stalled_targets(self):
        """Return the targets that the head of the chain waits for."""
        call = self._call
        try:
            _, body = await self._ask(b"GET", REPORT_PATH)
            report = decode_report(body)
        except (TransportError, InvalidInputError) as error:
            _LOG.info(
                "stall_unexplained",
                extra={"request": call.request_id, "error": str(error)},
            )
            return [self._choice.head]
        found = []
        for stalled in report.stalled:
            target = self._scene.fleet.at(stalled.address)
            if stalled.request_id == call.request_id and target is not None:
                target.health.fail()
                found.append(target)
        return found

    async def _reroute(self, avoided):
        """Order the head to go on over a chain without some targets."""
        call = self._call
        now = asyncio.get_running_loop().time()
        if self._reroutes >= MAX_REROUTES:
            return False
        self._reroutes += 1
        choice = self._scene.chooser.rechoose(call, self._choice, now, avoided)
        if choice is None:
            return False
        order = Reroute(request_id=call.request_id, chain=choice.path)
        try:
            answer, _ = await self._ask(b"POST", ORDER_PATH, order.encode())
        except TransportError as error:
            _LOG.info(
                "reroute_unanswered",
                extra={"request": call.request_id, "error": str(error)},
            )
            return False
        outcome = OrderOutcome.of_status(answer.status)
        is_done = outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS)
        _LOG.info(
            "rerouted",
            extra={
                "request": call.request_id,
                "chain": choice.chain,
                "outcome": outcome.name.lower(),
            },
        )
        if is_done:
            self._forget()
            self._choice = choice
            self._book()
        return is_done

    async def _ask(self, method, path, body=b""):
        """Call the head of the chain beside the stream."""
        head = self._choice.head
        loop = asyncio.get_running_loop()
        deadline = loop.time() + REPORT_SECONDS
        return await self._scene.pool.call(
            head.incarnation, head.address, method, path, body, deadline
        )

    def alert(self):
        """Look up at once: a target of the chain may be gone."""
        if self._is_reading:
            self._connection.interrupt()

    def _forget(self):
        """Give back the room of the present chain."""
        scene = self._scene
        scene.ledger.release(self._booking)
        scene.passages.remove(self, self._identities())

    def _identities(self):
        return [target.identity for target, _ in self._choice.stages]

    def _book(self):
        choice = self._choice
        self._booking = self._scene.ledger.book(choice.tokens, choice.shares)
        self._scene.passages.add(self, self._identities())

    def _keep(self, answer):
        head = self._choice.head
        self._scene.pool.release(head.incarnation, self._connection, answer)

    def _deadline(self, seconds):
        now = asyncio.get_running_loop().time()
        return min(self._call.deadline, now + seconds)
