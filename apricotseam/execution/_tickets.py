"""Runs requests that carry a ticket.

The home of a ticket is the host that issued it. Any host may receive the
request; it asks the home for a grant and then runs the request itself.
"""

import secrets
import threading

from apricotseam.errors import ApricotseamError
from apricotseam.execution._endings import ending_of_error
from apricotseam.execution._endings import ending_of_response
from apricotseam.execution._endings import response_of_reply
from apricotseam.execution._messages import EndReport
from apricotseam.execution._messages import GrantQuestion
from apricotseam.execution._messages import RunAnswer
from apricotseam.execution._records import Claim
from apricotseam.execution._records import Reply
from apricotseam.execution._records import RunRecords
from apricotseam.execution._records import Verdict

# Random bytes in the identifier of an attempt.
ATTEMPT_BYTES = 12
ASK_ATTEMPTS = 3
POLL_PERIOD_SECONDS = 0.02
# Time for which an answer is delayed while the run is in progress; less than
# ASK_TIMEOUT_SECONDS, so that the host that asked gets it.
LONG_POLL_SECONDS = 1.0
# Time for which a copy of a request waits for the run in progress; longer
# than MAX_RUN_SECONDS, after which an unfinished run counts as lost.
MAX_WAIT_SECONDS = 16.0


class SteadyClock:
    """Seconds since 1970, unaffected by later changes of the wall clock.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_offset")

    def __init__(self, clock):
        self._clock = clock
        self._offset = clock.wall() - clock.monotonic()

    def now(self):
        """Return the time of this process in seconds since 1970."""
        return self._clock.monotonic() + self._offset


class TicketRunner:
    """Grants runs for this host's tickets; runs requests with any ticket.

    Parameters
    ----------
    link : PeerLink
        Sends and receives messages between hosts.
    signer : TicketSigner
        Signs and reads tickets.
    clock : Clock
        Source of time.
    waiter : Waiter
        Waits on threads and on the control loop.
    records : RunRecords, optional
        Table of the runs that this host granted.
    """

    def __init__(self, link, signer, clock, waiter, records=None):
        self._link = link
        self._signer = signer
        self._clock = clock
        self._waiter = waiter
        self._steady_clock = SteadyClock(clock)
        self._records = records or RunRecords()
        self._lock = threading.Lock()
        link.handle(GrantQuestion, self._answer, RunAnswer)
        link.handle(EndReport, self._record_end)

    def issue(self, scope, customer, seconds):
        """Return the text of a ticket that is valid for `seconds`."""
        return self._signer.issue(
            self._link.address,
            self._link.incarnation,
            scope,
            customer,
            self._steady_clock.now() + seconds,
        )

    def run_once(self, request, run):
        """Run a request with a ticket, unless a copy was granted a run."""
        ticket = self._signer.read(
            request.ticket, request.scope, request.customer
        )
        claim = Claim(
            identifier=ticket.nonce,
            attempt=secrets.token_urlsafe(ATTEMPT_BYTES),
            customer=f"{request.scope}/{request.customer}",
            digest=request.digest,
            expires=ticket.expires,
        )
        reply = self._wait_for_grant(ticket, claim)
        if reply.verdict is not Verdict.GRANTED:
            return response_of_reply(reply)
        return self._run(ticket, claim, run)

    def _run(self, ticket, claim, run):
        try:
            response = run()
        except BaseException as error:
            self._report(ticket, claim, ending_of_error(error))
            raise
        self._report(ticket, claim, ending_of_response(response))
        return response

    def _wait_for_grant(self, ticket, claim):
        deadline = self._clock.monotonic() + MAX_WAIT_SECONDS
        while True:
            reply = self._ask(ticket, claim)
            if reply.verdict is not Verdict.RUNNING:
                return reply
            if self._clock.monotonic() >= deadline:
                return reply
            self._waiter.wait(POLL_PERIOD_SECONDS)

    def _ask(self, ticket, claim):
        question = GrantQuestion(incarnation=ticket.incarnation, claim=claim)
        if ticket.home == self._link.address:
            return self._grant(question)
        for _ in range(ASK_ATTEMPTS):
            try:
                return self._link.ask(ticket.home, question).reply
            except ApricotseamError:
                continue
        return Reply(verdict=Verdict.GONE)

    def _report(self, ticket, claim, ending):
        report = EndReport(
            incarnation=ticket.incarnation,
            identifier=claim.identifier,
            attempt=claim.attempt,
            ending=ending,
        )
        if ticket.home == self._link.address:
            self._record_end(ticket.home, report)
        else:
            self._link.tell(ticket.home, report)

    def _grant(self, question):
        if question.incarnation != self._link.incarnation:
            return Reply(verdict=Verdict.GONE)
        with self._lock:
            return self._records.claim(
                question.claim, self._steady_clock.now()
            )

    async def _answer(self, sender, question):
        """Answer a host after the run, or after `LONG_POLL_SECONDS`."""
        deadline = self._clock.monotonic() + LONG_POLL_SECONDS
        while True:
            reply = self._grant(question)
            if reply.verdict is not Verdict.RUNNING:
                return RunAnswer(reply=reply)
            if self._clock.monotonic() >= deadline:
                return RunAnswer(reply=reply)
            await self._waiter.wait_async(POLL_PERIOD_SECONDS)

    def _record_end(self, sender, report):
        if report.incarnation != self._link.incarnation:
            return
        with self._lock:
            self._records.end(report.identifier, report.attempt, report.ending)
