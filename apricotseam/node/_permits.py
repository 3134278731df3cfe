"""Asks the owners of targets' limits for permits, and issues permits."""

import asyncio
import logging

from apricotseam.coordination import PermitAnswer
from apricotseam.coordination import PermitIssuer
from apricotseam.coordination import PermitRequest
from apricotseam.forwarding import SendPermits
from apricotseam.forwarding import Trials
from apricotseam.peers import PeerAnswerLostError
from apricotseam.peers import PeerUnreachableError

_LOG = logging.getLogger(__name__)

# An owner that does not answer within this time is asked again later.
ASK_TIMEOUT_SECONDS = 0.15
NO_ANSWER_WAIT_SECONDS = 0.3


class PermitExchange(SendPermits, Trials):
    """Permits of this host, from the owner of each limit.

    Trials of a trait are permits of a target process by its name that states
    the lowest limit.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    request_queue : RequestQueue
        Requests that wait for capacity; one is woken when a permit is due.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, hosts, request_queue, now):
        self._hosts = hosts
        self._request_queue = request_queue
        self._now = now
        self._issuer = PermitIssuer(hosts.own_address, now())
        # Table of hosts that the issuer knows.
        self._table = None
        hosts.transport.handle(PermitRequest, self._answer, PermitAnswer)

    async def acquire(self, target):
        """Return whether one request may be sent to a target now."""
        request = PermitRequest(
            target.identity,
            target.record.born_ms,
            target.announcements.requests_per_second,
        )
        answer = await self._ask(request)
        if answer.is_granted:
            return True
        due_at = self._now() + answer.wait_seconds
        if due_at > target.announcements.permit_due_at:
            target.announcements.permit_due_at = due_at
            loop = asyncio.get_running_loop()
            loop.call_at(due_at, self._request_queue.wake_next)
        return False

    async def acquire_trial(self, trait):
        """Return whether one request with a trait may be sent now."""
        answer = await self._ask(PermitRequest(trait, 0, 0.0))
        return answer.is_granted

    async def _ask(self, request):
        """Return the `PermitAnswer` of the owner; a refusal without one."""
        self._update_members()
        owner = self._issuer.owner(request.target, request.born_ms)
        if owner == self._hosts.own_address:
            return self._issuer.answer(request, self._now())
        answer = None
        if owner is not None:
            answer = await self._ask_peer(owner, request)
        if isinstance(answer, PermitAnswer):
            return answer
        return PermitAnswer(False, NO_ANSWER_WAIT_SECONDS)

    async def _ask_peer(self, owner, request):
        try:
            return await self._hosts.transport.ask_async(
                owner, request, ASK_TIMEOUT_SECONDS
            )
        except (PeerAnswerLostError, PeerUnreachableError) as error:
            _LOG.info(
                "permit_unavailable",
                extra={
                    "target": request.target,
                    "peer": owner,
                    "error": str(error),
                },
            )
            return None

    def _answer(self, sender, request):
        self._update_members()
        return self._issuer.answer(request, self._now())

    def _update_members(self):
        """Pass on a change of the hosts before a permit is decided."""
        table = self._hosts.table
        if table is self._table:
            return
        self._table = table
        members = [member.peers_address for member in table.live()]
        self._issuer.set_members(members, len(table), self._now())
