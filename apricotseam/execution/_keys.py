"""Runs requests that carry an idempotency key, once the key is claimed."""

import secrets
import threading

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import RefusedError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.execution._endings import ending_of_error
from apricotseam.execution._endings import ending_of_response
from apricotseam.execution._endings import READ_STATE_REMEDY
from apricotseam.execution._endings import response_of_reply
from apricotseam.execution._keyformat import parse_key
from apricotseam.execution._keyformat import TIMED_KEY_SECONDS
from apricotseam.execution._messages import RunAnswer
from apricotseam.execution._messages import RunQuestion
from apricotseam.execution._records import Claim
from apricotseam.execution._records import Ending
from apricotseam.execution._records import Reply
from apricotseam.execution._records import RunRecords
from apricotseam.execution._records import State
from apricotseam.execution._records import Verdict
from apricotseam.execution._shards import Entry
from apricotseam.execution._shards import Holder
from apricotseam.execution._tickets import ASK_ATTEMPTS
from apricotseam.execution._tickets import ATTEMPT_BYTES
from apricotseam.execution._tickets import LONG_POLL_SECONDS
from apricotseam.execution._tickets import MAX_WAIT_SECONDS
from apricotseam.execution._tickets import POLL_PERIOD_SECONDS
from apricotseam.execution._tickets import SteadyClock

# Length of the prefix of the request's digest that a claim stores.
DIGEST_BYTES = 8
RETRY_AFTER_SECONDS = 5.0
USE_TICKET_REMEDY = (
    "if no copy of this request was sent before, get a ticket from"
    " GET /v1/addresses and send the request with it instead of the key"
)


class IdempotencyKeyRunner:
    """Runs requests whose key this host claims, or asks the key's holder.

    Parameters
    ----------
    link : PeerLink
        Sends and receives messages between hosts.
    claims : ShardClaims
        Claims keys.
    clock : Clock
        Source of time.
    waiter : Waiter
        Waits on threads and on the control loop.
    records : RunRecords, optional
        Table of the attempts that this host reserved.
    """

    def __init__(self, link, claims, clock, waiter, records=None):
        self._link = link
        self._claims = claims
        self._clock = clock
        self._waiter = waiter
        self._steady_clock = SteadyClock(clock)
        self._records = records or RunRecords()
        self._lock = threading.Lock()
        link.handle(RunQuestion, self._answer, RunAnswer)

    def run_once(self, request, run):
        """Run a request that carries a key, unless a copy claimed the key."""
        wall = self._clock.wall()
        key = parse_key(request.scope, request.customer, request.key, wall)
        if key.is_expired(wall):
            raise OutcomeUnknownError(
                "the idempotency key has expired; this copy was not run,"
                " and it is unknown whether an earlier copy ran",
                READ_STATE_REMEDY,
            )
        attempt = secrets.token_urlsafe(ATTEMPT_BYTES)
        claim = self._build_claim(request, key, attempt)
        reservation = self._reserve(claim)
        if reservation.verdict is not Verdict.GRANTED:
            return response_of_reply(reservation)
        holder = self._claim(request, key, claim)
        if holder.attempt == attempt:
            return self._run(claim, run)
        self._discard(claim)
        return response_of_reply(self._wait_for(holder, claim, key))

    def _build_claim(self, request, key, attempt):
        return Claim(
            identifier=f"{key.identifier.hex()}/{attempt}",
            attempt=attempt,
            customer=f"{request.scope}/{request.customer}",
            digest=request.digest,
            expires=self._steady_clock.now() + TIMED_KEY_SECONDS,
        )

    def _claim(self, request, key, claim):
        holder = Holder(
            address=self._link.address,
            incarnation=self._link.incarnation,
            attempt=claim.attempt,
            digest=bytes.fromhex(claim.digest)[:DIGEST_BYTES],
            expires=key.expires,
        )
        try:
            return self._claims.claim(Entry(key.shard, key.identifier, holder))
        except (AnswerLostError, ServiceUnavailableError) as error:
            self._end(claim, _not_run_ending())
            found = f"the key could not be claimed: {error.found}"
            raise _claim_failure(found, request.is_repeat) from None

    def _run(self, claim, run):
        with self._lock:
            may_run = self._records.start(claim.identifier, claim.attempt)
        if not may_run:
            raise OutcomeUnknownError(
                "the record of this attempt has expired", READ_STATE_REMEDY
            )
        try:
            response = run()
        except BaseException as error:
            self._end(claim, ending_of_error(error))
            raise
        self._end(claim, ending_of_response(response))
        return response

    def _reserve(self, claim):
        with self._lock:
            return self._records.claim(
                claim, self._steady_clock.now(), State.PENDING
            )

    def _end(self, claim, ending):
        with self._lock:
            self._records.end(claim.identifier, claim.attempt, ending)

    def _discard(self, claim):
        with self._lock:
            self._records.discard(claim.identifier, claim.attempt)

    def _wait_for(self, holder, claim, key):
        if holder.digest != bytes.fromhex(claim.digest)[:DIGEST_BYTES]:
            return Reply(verdict=Verdict.CONFLICT)
        question = RunQuestion(
            incarnation=holder.incarnation,
            claim=Claim(
                identifier=f"{key.identifier.hex()}/{holder.attempt}",
                attempt=claim.attempt,
                customer=claim.customer,
                digest=claim.digest,
                expires=claim.expires,
            ),
        )
        deadline = self._clock.monotonic() + MAX_WAIT_SECONDS
        while True:
            reply = self._ask(holder.address, question)
            if reply.verdict is not Verdict.RUNNING:
                return reply
            if self._clock.monotonic() >= deadline:
                return reply
            self._waiter.wait(POLL_PERIOD_SECONDS)

    def _ask(self, address, question):
        if address == self._link.address:
            return self._look_up(question)
        for _ in range(ASK_ATTEMPTS):
            try:
                return self._link.ask(address, question).reply
            except ApricotseamError:
                continue
        return Reply(verdict=Verdict.GONE)

    def _look_up(self, question):
        if question.incarnation != self._link.incarnation:
            return Reply(verdict=Verdict.GONE)
        with self._lock:
            return self._records.look_up(
                question.claim, self._steady_clock.now()
            )

    async def _answer(self, sender, question):
        """Answer a host after the run, or after `LONG_POLL_SECONDS`."""
        deadline = self._clock.monotonic() + LONG_POLL_SECONDS
        while True:
            reply = self._look_up(question)
            if reply.verdict is not Verdict.RUNNING:
                return RunAnswer(reply=reply)
            if self._clock.monotonic() >= deadline:
                return RunAnswer(reply=reply)
            await self._waiter.wait_async(POLL_PERIOD_SECONDS)


def _claim_failure(found, is_repeat):
    """Return the error of a copy that did not run because its claim failed."""
    if is_repeat:
        return OutcomeUnknownError(
            f"{found}; an earlier copy may have run",
            "send the request again with the same key",
            retry_after=RETRY_AFTER_SECONDS,
        )
    return RefusedError(
        found, USE_TICKET_REMEDY, retry_after=RETRY_AFTER_SECONDS
    )


def _not_run_ending():
    return Ending(
        state=State.NOT_RUN,
        code=RefusedError.code,
        found="the attempt that claimed this key was abandoned before it ran",
        remedy="send the request again with a new key",
    )
