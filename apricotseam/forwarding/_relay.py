"""Passes requests on to other hosts while this one is cut off."""

import asyncio

from apricotseam.forwarding._answering import deliver
from apricotseam.forwarding._answering import fail
from apricotseam.forwarding._answering import NOT_RUN_STATUSES
from apricotseam.forwarding._event_writer import EventWriter
from apricotseam.http1 import ConnectError
from apricotseam.http1 import EventSplitter
from apricotseam.http1 import MalformedAnswerError
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.platform import decode_response_metadata
from apricotseam.relay import declined_cause
from apricotseam.relay import relayed_headers
from apricotseam.relay import RelayHop
from apricotseam.routes import RepeatPolicy

# Hosts that are asked for one request at most.
MAX_HOSTS = 3
CONNECT_TIMEOUT_SECONDS = 0.2
# A connection idle for longer may be closed by the other host just as the
# next request is sent.
MAX_IDLE_SECONDS = 0.25
# Interval at which a host that sends nothing is looked up among those that
# may have failed. One that is only slow has its own means against silence.
CHECK_PERIOD_SECONDS = 0.3
# A target has to be silent to this host alone for so long, in which the other
# hosts would have found it silent as well if it were.
ALONE_AFTER_SECONDS = 1.2
# Share of the targets of a service that makes it worth another way.
MIN_LACKING_SHARE = 0.1
MAX_ANSWER_BYTES = 8 << 20


class RelayRunner:
    """Lets another host run a call, and passes its answer to the caller.

    The other host decides anew on route and customer, and makes all attempts
    at targets. It never passes the call on a second time.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests of this host.
    """

    def __init__(self, context):
        self._context = context

    def may_help(self, call):
        """Return whether another host may be able to run a call."""
        context = self._context
        if call.is_relayed or context.relay_pool is None:
            return False
        if not self._may_run(call):
            return False
        reach = context.prober.reach
        return reach.is_lost(call.service.name) or self._lacks_targets(call)

    def _may_run(self, call):
        """Return whether a call has time and leave for another run."""
        if call.seconds_left() <= 0:
            return False
        return not call.runs or call.may_run_again

    def _lacks_targets(self, call):
        """Return whether targets of a call are silent to this host alone."""
        context = self._context
        now = asyncio.get_running_loop().time()
        targets = context.fleet.of_service(call.service.name)
        lacking = [
            target
            for target in targets
            if target.health.is_silent
            and target.health.silent_seconds(now) >= ALONE_AFTER_SECONDS
            and not context.peer_views.is_shared(target.identity)
        ]
        return len(lacking) > MIN_LACKING_SHARE * len(targets)

    async def run_if_better(self, call):
        """Answer a call that this host can't send, if another one may.

        It looks at its own links first. See `run` for what it returns.
        """
        reach = self._context.prober.reach
        await reach.check_before_refusal(call.service.name)
        if not self.may_help(call):
            return None
        return await self.run(call)

    async def run(self, call):
        """Answer a call through other hosts.

        Returns
        -------
        int or str or None
            HTTP status, or ``cut`` if the answer broke off. None if no other
            host took the call, which then has not run there.
        """
        tried = []
        while len(tried) < MAX_HOSTS:
            if not self._may_send(call):
                break
            host = self._context.relay_hosts.choose(call.service.name, tried)
            if host is None:
                break
            tried.append(host)
            status = await self._attempt(call, host)
            if status is not None:
                return status
        return None

    def _may_send(self, call):
        """Return whether the call may be sent to another host now.

        It needs the retry budget if it was sent to a target before.
        """
        if not self._may_run(call):
            return False
        if not (call.sends or call.runs):
            return True
        now = asyncio.get_running_loop().time()
        budget = self._context.retry_budget
        return budget.try_acquire(call.service.name, now)

    async def _attempt(self, call, host):
        """Send a call through one host; see `run`."""
        hosts = self._context.relay_hosts
        attempt = _RelayAttempt(self._context, call, host)
        hosts.begin(host)
        try:
            status = await attempt.run()
        except ConnectError:
            hosts.avoid(host)
            attempt.record("no_connection")
            return None
        except TransportError as error:
            hosts.avoid(host)
            attempt.record(error.code)
            call.is_relaying = False
            return self._handle_broken_answer(call, error)
        finally:
            hosts.end(host)
            attempt.close()
        call.is_relaying = False
        if status is None:
            hosts.avoid(host)
        return status

    def _handle_broken_answer(self, call, error):
        """Return the status of a call that may have run, None to go on."""
        call.runs += 1
        if call.may_run_again and call.seconds_left() > 0:
            return None
        if call.exchange.is_started:
            call.exchange.abort_response()
            return "cut"
        is_timeout = isinstance(error, TransportTimeoutError)
        return fail(call, 504 if is_timeout else 502)


class _RelayAttempt:
    """One attempt to run a call through one host.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests of this host.
    call : Call
        The request.
    host : RelayHost
        The host.
    """

    def __init__(self, context, call, host):
        self._context = context
        self._call = call
        self._host = host
        self._writer = EventWriter(context, call)
        self._splitter = EventSplitter()
        self._connection = None

    def record(self, outcome):
        """Record how the attempt ended, for log and metrics."""
        self._call.record_outcome(f"host {self._host.name}", outcome)
        self._context.metrics.relayed.labels(outcome).inc()

    def close(self):
        """Close the connection, so that the other host stops its work."""
        self._splitter.discard()
        if self._connection is not None:
            self._connection.close()

    async def run(self):
        """Send the call and pass the answer on.

        Returns
        -------
        int or str or None
            HTTP status of the complete answer, ``cut`` if a stream that has
            begun cannot go on; None if the host declined.

        Raises
        ------
        TransportError
            If the answer was not received completely.
        """
        call = self._call
        connection = await self._open()
        call.is_relaying = True
        self._send(connection)
        answer = await self._read(connection.head)
        cause = declined_cause(answer)
        if cause is not None:
            self.record(f"declined_{cause}")
            return None
        self._check_request(answer)
        call.relayed_to = self._host.name
        is_stream = call.route.repeat is RepeatPolicy.STREAM
        status = answer.status
        if is_stream and status == 200:
            await self._relay_events(connection, answer)
        else:
            body = await connection.read_all(call.deadline, MAX_ANSWER_BYTES)
            status = self._deliver(answer, body)
        self._release(connection, answer)
        self.record(str(answer.status))
        return status

    def _check_request(self, answer):
        """Check that an answer is one to this request.

        One that promises that the request has not run has to name it.

        Raises
        ------
        MalformedAnswerError
            If it isn't.
        """
        request_id = self._call.request_id
        if not answer.has_framing:
            # A host always states the end of an answer, but the connection
            # also ends if its process does.
            raise MalformedAnswerError(
                f"{self._host.address} sent an answer without a length",
                "repeat the request if it is idempotent",
            )
        answered = decode_response_metadata(answer).request_id
        if answered is None and answer.status not in NOT_RUN_STATUSES:
            return
        if (answered or "") != request_id:
            raise MalformedAnswerError(
                f"{self._host.address} sent an answer that does not name"
                " this request",
                "repeat the request if it is idempotent",
            )

    async def _open(self):
        loop = asyncio.get_running_loop()
        deadline = min(
            self._call.deadline, loop.time() + CONNECT_TIMEOUT_SECONDS
        )
        self._connection = await self._context.relay_pool.acquire(
            self._host.address, self._host.address, deadline, MAX_IDLE_SECONDS
        )
        return self._connection

    def _send(self, connection):
        call = self._call
        hop = RelayHop(
            host=self._context.host,
            seconds_left=call.seconds_left(),
            service=call.service.name,
            position=int(call.table.position),
            runs=call.runs,
            last_event=call.last_event,
        )
        request = call.request
        connection.send(
            request.method,
            request.target,
            relayed_headers(request, hop),
            request.body,
        )

    async def _read(self, read):
        """Read, and give the host up if it has failed meanwhile.

        Parameters
        ----------
        read : callable
            Coroutine function that takes a deadline in loop time.

        Raises
        ------
        TransportError
            If nothing was read.
        """
        call = self._call
        loop = asyncio.get_running_loop()
        while True:
            check_at = loop.time() + CHECK_PERIOD_SECONDS
            try:
                return await read(min(call.deadline, check_at))
            except TransportTimeoutError:
                has_failed = self._context.relay_hosts.has_failed(self._host)
                if has_failed or call.seconds_left() <= 0:
                    raise

    async def _relay_events(self, connection, answer):
        """Pass events on as they arrive, each once and in order."""
        splitter = self._splitter
        self._writer.begin()
        while data := await self._read(connection.read):
            events = splitter.feed(data)
            connection.keep(splitter.held_bytes)
            for event in events:
                if self._writer.accept(event):
                    await self._writer.write(answer, event)
        if splitter.has_incomplete_event:
            raise MalformedAnswerError(
                f"{self._host.address} ended the stream within an event",
                "repeat the request if it can be resumed",
            )
        self._writer.start(answer)
        self._call.exchange.end()

    def _deliver(self, answer, body):
        """Pass a whole answer on; return its status.

        A stream that has begun breaks off instead.
        """
        exchange = self._call.exchange
        if exchange.is_started:
            exchange.abort_response()
            return "cut"
        return deliver(self._call, answer, body)

    def _release(self, connection, answer):
        self._connection = None
        self._context.relay_pool.release(
            self._host.address, connection, answer
        )
