"""One attempt to run a streaming request on a chain of targets."""

import asyncio

from apricotseam.forwarding._answer_end import check_answer_end
from apricotseam.forwarding._event_writer import EventWriter
from apricotseam.forwarding._head_control import HeadControl
from apricotseam.forwarding._relay import RelayRunner
from apricotseam.forwarding._replacement import ReplacementReserver
from apricotseam.forwarding._second_attempt import SecondAttempt
from apricotseam.forwarding._target_ends import AttemptTimes
from apricotseam.http1 import EventSplitter
from apricotseam.http1 import InterruptedReadError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.quarantine import SURVIVAL_SECONDS

# Silence after which a second attempt is started, if a chain has capacity,
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
ERROR_BODY_TIMEOUT_SECONDS = 0.5
# A running stream is rerouted away from a target whose reported slowdown is at
# least this factor.
REROUTE_SLOW_FACTOR = 2.5
MAX_REROUTES = 3
MAX_BODY_BYTES = 1 << 20
# Statuses of targets that have too much work.
BUSY_STATUSES = (429, 503)


class ReplacedError(TransportError):
    """Another attempt has answered while this one was silent."""

    code = "replaced"


class LinksLostError(TransportError):
    """This host has lost its links to the targets; another one goes on."""

    code = "links_lost"


class StreamAttempt:
    """An attempt to run a call on a chain, including its reroutes.

    While its chain is silent, a second attempt may be started beside it.
    Whichever sends the next event first continues the answer; the other one
    is closed.

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
    record_result : callable
        Coroutine function that takes an attempt and a method of it, awaits
        the method and records a failure. It returns None if the method
        succeeded, else the HTTP status that results.
    """

    def __init__(self, context, sender, call, choice, record_result):
        self._context = context
        self._sender = sender
        self._replacements = ReplacementReserver(context)
        self._head_control = HeadControl(context, call)
        self._writer = EventWriter(context, call)
        self._relays = RelayRunner(context)
        self._record_result = record_result
        self._call = call
        self._choice = choice
        self._booking = None
        self._connection = None
        self._answer = None
        self._first_data = None
        self._splitter = EventSplitter()
        # Loop times of the last event, and at which the chain is checked if
        # no event has arrived until then.
        self._progress_at = 0.0
        self._check_at = 0.0
        self._typical_gap = EVENT_CHECK_SECONDS / TYPICAL_GAP_FACTOR
        self._has_events = False
        # Loop times at which this attempt was sent and of its first event.
        self._sent_at = asyncio.get_running_loop().time()
        self._writing_since = None
        # Loop time since which the present chain owes its first event; None
        # before the request was sent.
        self._awaited_since = None
        # Whether the target has written for `SURVIVAL_SECONDS`.
        self._has_survived = False
        self._is_reading = False
        # Whether the first event on the present chain has come.
        self._is_begun = False
        self._reroutes = 0
        # `SecondAttempt` that was started because of a silence, or None.
        self._second = None
        self._is_replaced = False

    @property
    def call(self):
        """The `Call` that is run."""
        return self._call

    @property
    def choice(self):
        """The chain that runs the call; it differs after a reroute."""
        return (
            self._second.attempt.choice if self._is_replaced else self._choice
        )

    @property
    def times(self):
        """The `AttemptTimes` of what runs the call."""
        if self._is_replaced:
            return self._second.attempt.times
        return AttemptTimes(
            self._sent_at, self._writing_since, self._answer is not None
        )

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
        self.book_capacity()
        return await self._run_until_replaced(self._run())

    async def prepare(self):
        """Send the call and read the first data of its answer.

        Returns
        -------
        tuple of ResponseHead and ResponseMetadata and bytes, or None
            An answer that is not a stream; None if data was received, which
            `continue_run` will forward.

        Raises
        ------
        TransportError
            If no data was received.
        """
        is_prepared = False
        try:
            failure = await self._start(lambda read: read(self._call.deadline))
            if failure is None:
                self._first_data = await self._connection.read(
                    self._call.deadline
                )
                self._record_start()
                is_prepared = True
            return failure
        except TransportError as error:
            self._record_failure(error)
            raise
        finally:
            if not is_prepared:
                self.close()

    async def continue_run(self):
        """Forward the answer of a prepared attempt; see `run`."""
        return await self._run_until_replaced(self._relay(self._first_data))

    def book_capacity(self):
        """Book the capacity that the chain uses until `close`."""
        choice = self._choice
        self._booking = self._context.ledger.book(
            choice.tokens, choice.shares, choice.start_work
        )
        self._context.paces.record_send(self._call, choice)
        self._context.active_streams.add(self, self._identities())

    def close(self):
        """Release the capacity and close the connection."""
        self._release_capacity()
        # An error that is kept also keeps this attempt.
        self._splitter.discard()
        if self._connection is not None:
            self._connection.close()

    async def _run_until_replaced(self, running):
        """Await a coroutine that forwards; the second attempt takes over."""
        error = None
        failure = None
        try:
            failure = await running
        except TransportError as caught:
            error = caught
            self._record_failure(caught)
        except BaseException:
            self._drop_second()
            raise
        finally:
            self.close()
        is_incomplete = error is not None or failure is not None
        if is_incomplete and await self._is_second_ready():
            self._is_replaced = True
            return await self._second.attempt.continue_run()
        self._drop_second()
        if error is not None:
            raise error
        return failure

    async def _run(self):
        failure = await self._start(self._read_with_checks)
        if failure is None:
            await self._relay(await self._read_data())
        return failure

    async def _start(self, read_patiently):
        """Send the call and read the head of its answer.

        Parameters
        ----------
        read_patiently : callable
            Coroutine function that runs a read, which takes a deadline.

        Returns
        -------
        tuple of ResponseHead and ResponseMetadata and bytes, or None
            An answer that is not a stream.
        """
        call = self._call
        choice = self._choice
        self._connection = await self._sender.open(call, choice)
        connection = self._connection
        self._sender.send(call, connection, choice, call.last_event)
        call.runs += 1
        self._sent_at = asyncio.get_running_loop().time()
        self._awaited_since = self._sent_at
        self._start_waiting(self._sent_at)
        answer, metadata = await read_patiently(
            lambda deadline: self._sender.read_head(
                call, connection, deadline, choice.head
            )
        )
        self._record_progress()
        if answer.status != 200 or metadata.was_not_run:
            body = await connection.read_all(
                self._deadline(ERROR_BODY_TIMEOUT_SECONDS), MAX_BODY_BYTES
            )
            self._return_connection(answer)
            if not metadata.was_not_run or answer.status in BUSY_STATUSES:
                at_fault = choice.target_at(metadata.failed_target)
                self._context.paces.record_failure(
                    call, at_fault or choice.head
                )
            self._awaited_since = None
            return answer, metadata, body
        if metadata.is_encoded or not metadata.is_signed:
            raise MalformedAnswerError(
                f"{connection.address} sent an encoded or unsigned answer",
                "repeat the request if it can be resumed",
            )
        self._answer = answer
        return None

    async def _relay(self, data):
        """Forward events until the answer ends.

        Parameters
        ----------
        data : bytes
            The first data of the body.
        """
        answer = self._answer
        exchange = self._call.exchange
        splitter = self._splitter
        self._writer.begin()
        while data:
            events = splitter.feed(data)
            self._connection.keep(splitter.held_bytes)
            if events:
                self._record_progress()
                self._record_start()
            for event in events:
                await self._forward_event(answer, event)
            if events:
                # The caller may have taken its time to accept them.
                self._start_waiting(asyncio.get_running_loop().time())
            data = await self._read_data()
        if splitter.has_incomplete_event:
            raise MalformedAnswerError(
                f"{self._connection.address} ended the stream within an event",
                "repeat the request if it can be resumed",
            )
        await self._check_end(answer)
        self._writer.start(answer)
        exchange.end()
        self._return_connection(answer)

    async def _check_end(self, answer):
        """Check that a stream which has ended is complete.

        Raises
        ------
        TransportError
            If it isn't.
        """
        has_events = self._has_events or self._call.last_event is not None
        if not answer.has_framing and not has_events:
            raise MalformedAnswerError(
                f"{self._connection.address} closed the stream before its"
                " first event",
                "repeat the request if it can be resumed",
            )
        await check_answer_end(
            self._context.prober, self._call, answer, self._choice.head
        )

    async def _read_data(self):
        return await self._read_with_checks(self._connection.read)

    async def _read_with_checks(self, read):
        """Read, checking the chain whenever no event arrives for too long.

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
        while True:
            self._is_reading = True
            try:
                return await read(min(self._call.deadline, self._check_at))
            except (TransportTimeoutError, InterruptedReadError):
                if self._call.seconds_left() <= 0:
                    raise
                await self._handle_silence()
                self._check_at = loop.time() + REPEAT_CHECK_SECONDS
            finally:
                self._is_reading = False

    def _record_progress(self):
        """Record that the head or an event has arrived.

        Other bytes are no progress: a stalled target may send some.
        """
        self._drop_second()
        now = asyncio.get_running_loop().time()
        for target, _ in self._choice.stages:
            target.health.record_contact(now)
        self._record_gap(now - self._progress_at)
        self._start_waiting(now)

    def _record_start(self):
        """Release the time that was booked until the answer's begin."""
        if self._is_begun:
            return
        self._is_begun = True
        now = asyncio.get_running_loop().time()
        # Requests that the ledger wakes use the new pace.
        self._context.paces.record_start(
            self._call, self._choice, now - self._awaited_since
        )
        self._context.ledger.record_start(self._booking)
        if self._choice.start_ms:
            self._context.metrics.record_start(
                self._choice.start_ms, now - self._sent_at
            )

    def _record_failure(self, error):
        """Record that the answer ended before its first event."""
        if self._is_begun or self._awaited_since is None:
            return
        if isinstance(error, (LinksLostError, ReplacedError)):
            return
        self._context.paces.record_failure(self._call, self._choice.head)

    def _record_wait(self):
        """Record a wait for the first event that ended in vain."""
        if self._is_begun or self._awaited_since is None:
            return
        seconds = asyncio.get_running_loop().time() - self._awaited_since
        self._awaited_since = None
        if seconds > self._call.route.objective_seconds:
            self._context.paces.record_start(self._call, self._choice, seconds)

    def _start_waiting(self, now):
        self._progress_at = now
        self._check_at = now + self._first_timeout()

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
        if not self._writer.accept(event):
            return
        self._has_events = True
        self._record_written()
        await self._writer.write(answer, event)

    def _record_written(self):
        """Record an event, and whether the target has written for long."""
        now = asyncio.get_running_loop().time()
        if self._writing_since is None:
            self._writing_since = now
        if self._has_survived or now < self._writing_since + SURVIVAL_SECONDS:
            return
        self._has_survived = True
        self._context.target_ends.record_survival(
            self._call, self._writing_since
        )

    async def _handle_silence(self):
        """Check a silent chain; reroute it or start a second attempt.

        Raises
        ------
        ReplacedError
            If a second attempt has received data.
        """
        if self._second is not None and self._second.is_starting:
            return
        if await self._is_second_ready():
            raise ReplacedError(
                f"{self._connection.address} was silent while another target"
                " answered",
                "read the answer of the other one",
            )
        choice = self._choice
        now = asyncio.get_running_loop().time()
        silent_seconds = now - self._progress_at
        targets = [target for target, _ in choice.stages]
        unresponsive = await self._context.prober.find_unresponsive(targets)
        is_long = silent_seconds >= REPEAT_CHECK_SECONDS
        if is_long:
            self._check_links()
        to_avoid = [t for t in targets[1:] if self._should_avoid(t)]
        if is_long and choice.path and not unresponsive:
            unresponsive = await self._head_control.stalled_targets(choice)
        is_head_silent = choice.head in unresponsive
        if not is_head_silent and (unresponsive or to_avoid):
            if await self._reroute([*unresponsive, *to_avoid]):
                return
        if unresponsive:
            self._start_second(unresponsive)
        elif silent_seconds >= MAX_SILENCE_SECONDS:
            self._start_second([choice.head])

    def _check_links(self):
        """Give up a silent chain if another host can go on in its place.

        Raises
        ------
        LinksLostError
            If it can, since this host reaches no target.
        """
        service = self._call.service.name
        is_lost = self._context.prober.reach.is_lost(service)
        if is_lost and self._relays.may_help(self._call):
            raise LinksLostError(
                f"{self._connection.address} is silent, as all targets are",
                "continue through another host",
            )

    def _start_second(self, targets):
        """Start a second attempt without some targets, if possible."""
        call = self._call
        silent = frozenset(target.incarnation for target in targets)
        choice = self._replacements.reserve(call, silent)
        if choice is None:
            return
        for identity, _ in silent:
            call.record_outcome(identity, "silent")
        self._context.target_ends.record_broken(call, targets, self.times)
        attempt = StreamAttempt(
            self._context, self._sender, call, choice, self._record_result
        )
        self._second = SecondAttempt(
            attempt, silent, self._record_result, self.check_chain
        )

    async def _is_second_ready(self):
        """Wait for the second attempt; return whether it received data."""
        if self._second is None:
            return False
        if await self._second.is_ready():
            return True
        self._second = None
        return False

    def _drop_second(self):
        """Close the second attempt, since this one has gone on."""
        if self._second is not None:
            self._second.drop()
            self._second = None

    def _should_avoid(self, target):
        """Return whether a running stream should move off a target."""
        now = asyncio.get_running_loop().time()
        if not target.accepts_requests:
            return True
        return target.health.slowness(now) >= REROUTE_SLOW_FACTOR

    async def _reroute(self, avoided):
        """Continue on a chain without some targets; return whether it does.

        Parameters
        ----------
        avoided : list of Target
            Targets that the chain must not use.
        """
        now = asyncio.get_running_loop().time()
        if self._reroutes >= MAX_REROUTES:
            return False
        choice = self._context.target_selector.choose_tail(
            self._call, self._choice, now, avoided
        )
        if choice is None:
            return False
        self._reroutes += 1
        is_done = await self._head_control.reroute(choice)
        if is_done:
            self._release_capacity()
            self._choice = choice
            self._is_begun = False
            self._awaited_since = now
            self.book_capacity()
        return is_done

    def check_chain(self):
        """Interrupt the current read so that the chain is checked now."""
        if self._is_reading:
            self._connection.interrupt()

    def _release_capacity(self):
        """Release the capacity that is booked on the current chain."""
        context = self._context
        if self._booking is not None:
            self._record_wait()
        context.ledger.release(self._booking)
        self._booking = None
        context.active_streams.remove(self, self._identities())

    def _identities(self):
        return [target.identity for target, _ in self._choice.stages]

    def _return_connection(self, answer):
        head = self._choice.head
        self._context.pool.release(head.incarnation, self._connection, answer)
        self._connection = None

    def _deadline(self, seconds):
        now = asyncio.get_running_loop().time()
        return min(self._call.deadline, now + seconds)
