"""Control requests to the head of a chain that runs a stream."""

import asyncio
import logging

from apricotseam.errors import InvalidInputError
from apricotseam.http1 import TransportError
from apricotseam.platform import decode_report
from apricotseam.platform import expected_target_headers
from apricotseam.platform import ORDER_PATH
from apricotseam.platform import OrderOutcome
from apricotseam.platform import REPORT_PATH
from apricotseam.platform import Reroute

_LOG = logging.getLogger(__name__)

HEAD_CALL_TIMEOUT_SECONDS = 0.25


class HeadControl:
    """Asks the head of a chain about a stream, or changes its chain.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    call : Call
        The request whose stream the head runs.
    """

    __slots__ = ("_call", "_context")

    def __init__(self, context, call):
        self._context = context
        self._call = call

    async def stalled_targets(self, choice):
        """Return the targets that, by its report, the head waits for.

        These are targets of the chain; another process that has taken the
        address of one since is not to blame.

        Parameters
        ----------
        choice : Choice
            The chain. If its head does not report, the head is returned.
        """
        call = self._call
        head = choice.head
        try:
            _, body = await self._send(head, b"GET", REPORT_PATH)
            report = decode_report(body)
        except (TransportError, InvalidInputError) as error:
            _LOG.info(
                "stall_unexplained",
                extra={"request": call.request_id, "error": str(error)},
            )
            return [head]
        targets = []
        for stalled in report.stalled:
            target = choice.target_at(stalled.address)
            if stalled.request_id == call.request_id and target is not None:
                target.health.record_failure()
                targets.append(target)
        return targets

    async def reroute(self, choice):
        """Order the head to continue the stream on another chain.

        Parameters
        ----------
        choice : Choice
            The new chain, which has the same head.

        Returns
        -------
        bool
            Whether the head continues on the new chain.
        """
        call = self._call
        order = Reroute(request_id=call.request_id, chain=choice.path)
        try:
            answer, _ = await self._send(
                choice.head, b"POST", ORDER_PATH, order.encode()
            )
        except TransportError as error:
            _LOG.info(
                "reroute_unanswered",
                extra={"request": call.request_id, "error": str(error)},
            )
            return False
        outcome = OrderOutcome.of_status(answer.status)
        _LOG.info(
            "rerouted",
            extra={
                "request": call.request_id,
                "chain": choice.chain,
                "outcome": outcome.name.lower(),
            },
        )
        return outcome in (OrderOutcome.BEGUN, OrderOutcome.HOLDS)

    async def _send(self, head, method, path, body=b""):
        """Send a control request on a connection of its own.

        Returns
        -------
        tuple of ResponseHead and bytes
            Head and body of the answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HEAD_CALL_TIMEOUT_SECONDS
        return await self._context.pool.call(
            head.incarnation,
            head.address,
            method,
            path,
            body,
            deadline,
            headers=expected_target_headers(head.identity),
        )
