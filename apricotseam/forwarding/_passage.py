"""One send of a stream along a chain, from its booking to its end."""

import asyncio
import logging

from apricotseam.errors import InvalidInputError
from apricotseam.http1 import EventSplitter
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

# Silence before the first event and between events after which a stream
# goes on elsewhere; callers give up after two seconds.
FIRST_EVENT_SECONDS = 0.9
NEXT_EVENT_SECONDS = 0.5
# The same where a target of the chain is known to be out of contact.
SUSPECT_SECONDS = 0.25
# The same after the head was asked and is at work.
RESCUED_SECONDS = 1.2
REPORT_SECONDS = 0.25
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
        # A stall is looked into once.
        self._was_rescued = False

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
            self._scene.ledger.release(self._booking)
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
                self._deadline(NEXT_EVENT_SECONDS), MAX_BODY_BYTES
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
        """Return the answer's head; a chain that stalls is changed once."""
        while True:
            deadline = self._deadline(FIRST_EVENT_SECONDS)
            try:
                return await self._sender.head(
                    self._call, self._connection, deadline
                )
            except TransportTimeoutError:
                if not await self._rescue():
                    raise

    async def _relay(self, answer):
        """Pass events on until the answer's end."""
        exchange = self._call.exchange
        splitter = EventSplitter()
        seconds = FIRST_EVENT_SECONDS
        while data := await self._read(seconds):
            for event in splitter.feed(data):
                await self._pass_on(answer, event)
            seconds = NEXT_EVENT_SECONDS
        if splitter.has_rest:
            raise MalformedAnswerError(
                f"{self._connection.address} ended within an event",
                "repeat the request if it may be resumed",
            )
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
        exchange.end()

    async def _read(self, seconds):
        while True:
            if self._was_rescued:
                seconds = RESCUED_SECONDS
            elif self._has_suspect():
                seconds = SUSPECT_SECONDS
            try:
                return await self._connection.read(self._deadline(seconds))
            except TransportTimeoutError:
                if not await self._rescue():
                    raise

    async def _pass_on(self, answer, event):
        call = self._call
        if event.number is not None:
            last = call.last_event
            if last is not None and event.number <= last:
                return
            call.last_event = event.number
        exchange = call.exchange
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
            now = asyncio.get_running_loop().time()
            kind = call.route.repeat.value
            seconds = now - call.request.received_at
            self._scene.metrics.first_byte.labels(kind).observe(seconds)
        await exchange.write(event.data)

    async def _rescue(self):
        """Find out why the chain is silent; return whether it goes on.

        The head of the chain says which target it waits for. If another
        one can take that part, the head is ordered to go on over it.
        """
        call = self._call
        choice = self._choice
        if self._was_rescued or not choice.chain or call.seconds_left() <= 0:
            return False
        self._was_rescued = True
        try:
            report = await self._ask(b"GET", REPORT_PATH)
            found = decode_report(report[1])
        except (TransportError, InvalidInputError) as error:
            _LOG.info(
                "stall_unexplained",
                extra={"request": call.request_id, "error": str(error)},
            )
            return False
        addresses = [
            s.address for s in found.stalled if s.request_id == call.request_id
        ]
        if not addresses:
            # The head is at work: the chain is slow, not broken.
            return True
        self._suspect(addresses)
        return await self._reroute()

    def _suspect(self, addresses):
        now = asyncio.get_running_loop().time()
        for address in addresses:
            target = self._scene.fleet.at(address)
            if target is not None:
                target.health.lose_contact(now)
                self._call.tried.add(target.identity)
                self._call.note(target.identity, "stalled")

    async def _reroute(self):
        """Order the head to go on over another chain."""
        call = self._call
        now = asyncio.get_running_loop().time()
        choice = self._scene.chooser.rechoose(call, self._choice, now)
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
            self._scene.ledger.release(self._booking)
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

    def _has_suspect(self):
        now = asyncio.get_running_loop().time()
        stages = self._choice.stages
        return any(t.health.is_suspect(now) for t, _ in stages)

    def _book(self):
        choice = self._choice
        now = asyncio.get_running_loop().time()
        answer_tokens = choice.tokens - (self._call.facts.prompt_tokens or 0)
        seconds = answer_tokens * choice.token_ms / 1000.0
        self._booking = self._scene.ledger.book(
            choice.tokens, choice.shares, now + seconds
        )

    def _keep(self, answer):
        head = self._choice.head
        self._scene.pool.release(head.incarnation, self._connection, answer)

    def _deadline(self, seconds):
        now = asyncio.get_running_loop().time()
        return min(self._call.deadline, now + seconds)
