"""One attempt to run a streaming request on a chain of targets."""

import asyncio
import logging

from apricotseam.errors import InvalidInputError
from apricotseam.forwarding._replacement import ReplacementReserver
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

# Silence after which a stream moves to another chain, if one has capacity,
# although the targets respond to probes. It is below the two seconds after
# which callers give up.
MAX_SILENCE_SECONDS = 1.3
# Silence after which the targets of the chain are probed: before the first
# event, between events, and between repeated checks.
FIRST_CHECK_SECONDS = 0.3
EVENT_CHECK_SECONDS = 0.07
REPEAT_CHECK_SECONDS = 0.4
# Between events, the check is delayed to this multiple of the stream's
# typical gap if that is longer.
TYPICAL_GAP_FACTOR = 3.0
# Weight of the newest gap in the moving average.
GAP_WEIGHT = 0.2
HEAD_CALL_TIMEOUT_SECONDS = 0.25
ERROR_BODY_TIMEOUT_SECONDS = 0.5
# A running stream is rerouted away from a target whose reported slowdown is at
# least this factor.
REROUTE_SLOW_FACTOR = 2.5
MAX_REROUTES = 3
MAX_BODY_BYTES = 1 << 20


class StreamAttempt:
    """An attempt to run a call on a chain, including its reroutes.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    sender : Sender
        Sends the request to the head of the chain.
    call : Call
        The request.
    choice : Choice
        The chain to start with.
    """

    def __init__(self, context, sender, call, choice):
        self._context = context
        self._sender = sender
        self._replacements = ReplacementReserver(context)
        self._call = call
        self._choice = choice
        self._booking = None
        self._connection = None
        self._last_read_at = 0.0
        self._typical_gap = EVENT_CHECK_SECONDS / TYPICAL_GAP_FACTOR
        self._has_events = False
        self._is_reading = False
        self._reroutes = 0

    @property
    def choice(self):
        """The current chain; it differs from the first after a reroute."""
        return self._choice

    async def run(self):
        """Send the call and forward its events to the caller.

        Returns
        -------
        tuple of ResponseHead and ResponseMetadata and bytes, or None
            An answer that is not a stream; None if the stream completed.

        Raises
        ------
        TransportError
            If the answer was not received completely.
        """
        self._book_capacity()
        try:
            failure = await self._run()
            self._connection = None
            return failure
        finally:
            self._release_capacity()
            if self._connection is not None:
                self._connection.close()

    async def _run(self):
        call = self._call
        choice = self._choice
        self._connection = await self._sender.open(call, choice)
        connection = self._connection
        self._sender.send(call, connection, choice, call.last_event)
        call.runs += 1
        answer, metadata = await self._read_head()
        if answer.status != 200 or metadata.was_not_run:
            body = await connection.read_all(
                self._deadline(ERROR_BODY_TIMEOUT_SECONDS), MAX_BODY_BYTES
            )
            self._return_connection(answer)
            return answer, metadata, body
        if metadata.is_encoded or not metadata.is_signed:
            raise MalformedAnswerError(
                f"{connection.address} sent an encoded or unsigned answer",
                "repeat the request if it can be resumed",
            )
        await self._relay(answer)
        self._return_connection(answer)
        return None

    async def _read_head(self):
        """Return the head of the answer and its `ResponseMetadata`."""
        connection = self._connection
        return await self._read_with_checks(
            lambda deadline: self._sender.read_head(
                self._call, connection, deadline, self._choice.head
            )
        )

    async def _relay(self, answer):
        """Forward events until the answer ends."""
        exchange = self._call.exchange
        splitter = EventSplitter()
        while data := await self._read_with_checks(self._connection.read):
            for event in splitter.feed(data):
                await self._forward_event(answer, event)
        if splitter.has_incomplete_event:
            raise MalformedAnswerError(
                f"{self._connection.address} ended the stream within an event",
                "repeat the request if it can be resumed",
            )
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
        exchange.end()

    async def _read_with_checks(self, read):
        """Read, checking the chain whenever the read times out.

        Parameters
        ----------
        read : callable
            Coroutine function that takes a deadline in loop time.

        Returns
        -------
        object
            What ``read`` returned.

        Raises
        ------
        TransportError
            If the attempt should be given up.
        """
        loop = asyncio.get_running_loop()
        self._last_read_at = loop.time()
        timeout = self._first_timeout()
        while True:
            self._is_reading = True
            try:
                data = await read(self._deadline(timeout))
            except (TransportTimeoutError, InterruptedReadError):
                if not await self._handle_silence():
                    raise
                timeout = REPEAT_CHECK_SECONDS
                continue
            finally:
                self._is_reading = False
            self._record_gap(loop.time() - self._last_read_at)
            return data

    def _first_timeout(self):
        if not self._has_events:
            return FIRST_CHECK_SECONDS
        return max(EVENT_CHECK_SECONDS, TYPICAL_GAP_FACTOR * self._typical_gap)

    def _record_gap(self, seconds):
        call = self._call
        if self._has_events:
            change = seconds - self._typical_gap
            self._typical_gap += GAP_WEIGHT * change
            call.longest_gap = max(call.longest_gap, seconds)

    async def _forward_event(self, answer, event):
        call = self._call
        if event.number is not None:
            last = call.last_event
            if last is not None and event.number <= last:
                return
            call.last_event = event.number
        self._has_events = True
        exchange = call.exchange
        if not exchange.is_started:
            exchange.start(200, returned_headers(answer), answer.reason)
            now = asyncio.get_running_loop().time()
            call.first_event_at = now
            kind = call.route.repeat.value
            seconds = now - call.request.received_at
            self._context.metrics.first_byte.labels(kind).observe(seconds)
        await exchange.write(event.data)

    async def _handle_silence(self):
        """Check a silent chain; return whether to keep reading from it."""
        call = self._call
        choice = self._choice
        now = asyncio.get_running_loop().time()
        silent_seconds = now - self._last_read_at
        if call.seconds_left() <= 0:
            return False
        targets = [target for target, _ in choice.stages]
        unresponsive = await self._context.prober.find_unresponsive(targets)
        to_avoid = [t for t in targets[1:] if self._should_avoid(t)]
        is_long = silent_seconds >= REPEAT_CHECK_SECONDS
        if is_long and choice.path and not unresponsive:
            unresponsive = await self._stalled_targets()
        if choice.head not in unresponsive and (unresponsive or to_avoid):
            if await self._reroute([*unresponsive, *to_avoid]):
                return True
        if unresponsive:
            return not self._leave_for_replacement(unresponsive)
        is_slow = silent_seconds >= MAX_SILENCE_SECONDS
        return not (is_slow and self._leave_for_replacement([choice.head]))

    def _leave_for_replacement(self, targets):
        """Reserve another attempt; return whether this one can be left."""
        call = self._call
        identities = [target.identity for target in targets]
        if not self._replacements.reserve(call, identities):
            return False
        for identity in identities:
            call.record_outcome(identity, "silent")
        return True

    def _should_avoid(self, target):
        """Return whether a running stream should move off a target."""
        now = asyncio.get_running_loop().time()
        if not target.accepts_requests:
            return True
        return target.health.slowness(now) >= REROUTE_SLOW_FACTOR

    async def _stalled_targets(self):
        """Return the targets that, by its report, the head waits for.

        If the head does not report, it is itself returned.
        """
        call = self._call
        try:
            _, body = await self._call_head(b"GET", REPORT_PATH)
            report = decode_report(body)
        except (TransportError, InvalidInputError) as error:
            _LOG.info(
                "stall_unexplained",
                extra={"request": call.request_id, "error": str(error)},
            )
            return [self._choice.head]
        targets = []
        for stalled in report.stalled:
            target = self._context.fleet.at(stalled.address)
            if stalled.request_id == call.request_id and target is not None:
                target.health.record_failure()
                targets.append(target)
        return targets

    async def _reroute(self, avoided):
        """Order the head to continue on a chain without some targets.

        Returns
        -------
        bool
            Whether the head continues on the new chain.
        """
        call = self._call
        now = asyncio.get_running_loop().time()
        if self._reroutes >= MAX_REROUTES:
            return False
        choice = self._context.target_selector.choose_tail(
            call, self._choice, now, avoided
        )
        if choice is None:
            return False
        self._reroutes += 1
        order = Reroute(request_id=call.request_id, chain=choice.path)
        try:
            answer, _ = await self._call_head(
                b"POST", ORDER_PATH, order.encode()
            )
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
            self._release_capacity()
            self._choice = choice
            self._book_capacity()
        return is_done

    async def _call_head(self, method, path, body=b""):
        """Send a control request to the head, on another connection.

        Returns
        -------
        tuple of ResponseHead and bytes
            Head and body of the answer.
        """
        head = self._choice.head
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HEAD_CALL_TIMEOUT_SECONDS
        return await self._context.pool.call(
            head.incarnation, head.address, method, path, body, deadline
        )

    def check_chain(self):
        """Interrupt the current read so that the chain is checked now."""
        if self._is_reading:
            self._connection.interrupt()

    def _release_capacity(self):
        """Release the capacity that is booked on the current chain."""
        context = self._context
        context.ledger.release(self._booking)
        context.active_streams.remove(self, self._identities())

    def _identities(self):
        return [target.identity for target, _ in self._choice.stages]

    def _book_capacity(self):
        choice = self._choice
        self._booking = self._context.ledger.book(choice.tokens, choice.shares)
        self._context.active_streams.add(self, self._identities())

    def _return_connection(self, answer):
        head = self._choice.head
        self._context.pool.release(head.incarnation, self._connection, answer)

    def _deadline(self, seconds):
        now = asyncio.get_running_loop().time()
        return min(self._call.deadline, now + seconds)
