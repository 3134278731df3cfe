"""Sends requests to targets, for plain and streaming requests alike."""

import asyncio

from apricotseam.forwarding._errors import OutdatedChoiceError
from apricotseam.http1 import MalformedAnswerError
from apricotseam.platform import decode_response_metadata
from apricotseam.platform import forwarded_headers
from apricotseam.platform import Forwarding

CONNECT_TIMEOUT_SECONDS = 0.2
# A connection idle for longer may be closed by the target just as the next
# request is sent, which only a repeatable request can survive.
SAFE_IDLE_SECONDS = 0.25


class Sender:
    """Sends requests to targets over pooled connections.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context

    async def open(self, call, choice):
        """Return a connection to the head of a `Choice`.

        The request is to be sent on it at once, without waiting.

        Raises
        ------
        ConnectError
            If no connection can be opened; nothing was sent.
        OutdatedChoiceError
            If a target of the choice takes no requests any more; nothing
            was sent.
        """
        target = choice.head
        loop = asyncio.get_running_loop()
        if target.is_limited and not await self._context.permits.acquire(
            target
        ):
            raise OutdatedChoiceError(
                f"target {target.identity} accepts no more requests now",
                "choose other targets",
            )
        max_idle = None if call.route.is_repeatable else SAFE_IDLE_SECONDS
        deadline = min(call.deadline, loop.time() + CONNECT_TIMEOUT_SECONDS)
        # A target may write an answer to the request once more; on a
        # connection of an earlier attempt it would pass for the new answer.
        connection = await self._context.pool.acquire(
            target.incarnation,
            target.address,
            deadline,
            max_idle,
            call.connections,
        )
        if self._context.quarantine_gate.stops(call):
            connection.close()
            raise OutdatedChoiceError(
                f"request {call.request_id} has a trait under which targets"
                " ended",
                "do not send it",
            )
        for stage_target, _ in choice.stages:
            if not stage_target.may_send(loop.time()):
                connection.close()
                raise OutdatedChoiceError(
                    f"target {stage_target.identity} stopped taking requests"
                    " before this one was sent",
                    "choose other targets",
                )
        return connection

    def send(self, call, connection, choice, last_event=None):
        """Send the request of a call to the head of a `Choice`."""
        call.sends += 1
        call.connections.add(connection)
        if choice.head.is_limited:
            attempt = "first" if call.attempts <= 1 else "further"
            self._context.metrics.limited_sends.labels(attempt).inc()
        forwarding = Forwarding(
            seconds_left=call.seconds_left(),
            target=choice.head.identity,
            customer=call.customer,
            chain=choice.chain,
            last_event=last_event,
        )
        request = call.request
        connection.send(
            request.method,
            request.target,
            forwarded_headers(request, forwarding),
            request.body,
        )

    async def read_head(self, call, connection, deadline, target):
        """Return the head of the answer and its `ResponseMetadata`.

        Parameters
        ----------
        call : Call
            The request that was sent.
        connection : Connection
            Connection on which it was sent.
        deadline : float
            Loop time in seconds.
        target : Target
            The target that answers; what it says about itself is recorded.

        Raises
        ------
        TransportError
            If no answer to this request was received.
        """
        answer = await connection.head(deadline)
        now = asyncio.get_running_loop().time()
        target.health.record_contact(now)
        if connection.calls == 1:
            self._context.prober.reach.record_connection(call.service.name)
        self._context.announcements.record(target.incarnation, answer)
        metadata = decode_response_metadata(answer)
        if metadata.request_id != call.request_id:
            # Without an identifier it may be a late answer to an earlier
            # call on this connection.
            raise MalformedAnswerError(
                f"{connection.address} sent an answer that does not name"
                " this request",
                "repeat the request if it is idempotent",
            )
        return answer, metadata
