"""One send of a request to a target, shared by all kinds of requests."""

import asyncio

from apricotseam.http1 import MalformedAnswerError
from apricotseam.platform import decode_answer
from apricotseam.platform import forwarded_headers
from apricotseam.platform import Forwarding

CONNECT_SECONDS = 0.2
# An idle connection older than this may die with the next request on it.
SAFE_IDLE_SECONDS = 0.25


class Sender:
    """Sends requests to targets over kept connections.

    Parameters
    ----------
    scene : Scene
        What requests read.
    """

    def __init__(self, scene):
        self._scene = scene

    async def open(self, call, target):
        """Return a connection to a target.

        Raises
        ------
        ConnectError
            If there is none; nothing was sent.
        """
        loop = asyncio.get_running_loop()
        max_idle = None if call.route.is_repeatable else SAFE_IDLE_SECONDS
        deadline = min(call.deadline, loop.time() + CONNECT_SECONDS)
        return await self._scene.pool.acquire(
            target.incarnation, target.address, deadline, max_idle
        )

    def send(self, call, connection, choice, last_event=None):
        """Send the request of a call."""
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

    async def head(self, call, connection, deadline):
        """Return the answer's head and its facts.

        Raises
        ------
        TransportError
            If no answer to this request came.
        """
        answer = await connection.head(deadline)
        facts = decode_answer(answer)
        if facts.request_id not in (None, call.request_id):
            raise MalformedAnswerError(
                f"{connection.address} answered another request",
                "repeat the request if it is idempotent",
            )
        return answer, facts
