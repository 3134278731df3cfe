"""Bounded table of runs: what was granted, and how it ended."""

import enum

import msgspec

MAX_RECORDS = 20_000
MAX_ANSWER_BYTES = 8 << 20
MAX_ONE_ANSWER_BYTES = 64 << 10
CUSTOMER_SHARE = 4
RUN_SECONDS = 15.0
KEPT_SECONDS = 60.0
SWEEP_PERIOD_SECONDS = 1.0


class State(enum.Enum):
    """State of one run."""

    PENDING = "pending"
    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """What a host that asks for a run is told.

    ``GRANTED`` is the only one that lets it run the request.
    """

    GRANTED = "granted"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    FULL = "full"
    CONFLICT = "conflict"
    GONE = "gone"


class Ending(msgspec.Struct, frozen=True, kw_only=True):
    """How a run ended, as every copy of the request is told.

    With an empty ``code`` it is the target's answer, else an error.
    """

    state: State
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    code: str = ""
    found: str = ""
    remedy: str = ""


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A verdict, with the ending if it is known."""

    verdict: Verdict
    ending: Ending | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A question for one run by one attempt of one host.

    ``expires`` is the time past which no run is granted, in seconds of the
    clock that the table is asked with.
    """

    identifier: str
    attempt: str
    customer: str
    digest: str
    expires: float


class _Record:
    __slots__ = (
        "attempt",
        "customer",
        "digest",
        "ending",
        "forget_at",
        "run_deadline",
        "state",
    )

    def __init__(self, claim, state, run_deadline, forget_at):
        self.attempt = claim.attempt
        self.customer = claim.customer
        self.digest = claim.digest
        self.state = state
        self.run_deadline = run_deadline
        self.forget_at = forget_at
        self.ending = None


class RunRecords:
    """Grants each identifier at most once and keeps how its run ended.

    A record is never dropped before ``expires`` of its claim and `kept`
    seconds more, so the lack of one within that time proves that there
    was no grant. The caller holds a lock.

    Parameters
    ----------
    max_records : int
        Bound on records; past it new claims are refused.
    max_answer_bytes : int
        Bound on the bytes of all kept answers.
    run : float
        Seconds that a run may take before it counts as lost.
    kept : float
        Seconds that a record is kept past the expiry of its claim.
    """

    def __init__(
        self,
        max_records=MAX_RECORDS,
        max_answer_bytes=MAX_ANSWER_BYTES,
        run=RUN_SECONDS,
        kept=KEPT_SECONDS,
    ):
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._run = run
        self._kept = kept
        self._records = {}
        self._by_customer = {}
        self._answer_bytes = 0
        self._sweep_at = 0.0

    @property
    def count(self):
        """Number of records."""
        return len(self._records)

    @property
    def answer_bytes(self):
        """Bytes of all kept answers."""
        return self._answer_bytes

    def claim(self, claim, now, state=State.RUNNING):
        """Grant a claim if its identifier was never granted.

        The same attempt that asks again while it runs is granted again,
        since only one thread of one host carries an attempt.

        Returns
        -------
        Reply
        """
        self._sweep(now)
        record = self._records.get(claim.identifier)
        if record is not None:
            return self._known(record, claim, now)
        if now >= claim.expires + self._kept:
            return Reply(verdict=Verdict.UNKNOWN)
        if now >= claim.expires:
            return Reply(verdict=Verdict.EXPIRED)
        if not self._has_room(claim.customer):
            return Reply(verdict=Verdict.FULL)
        self._add(claim, now, state)
        return Reply(verdict=Verdict.GRANTED)

    def look_up(self, claim, now):
        """Return what is known of a claim without a grant."""
        record = self._records.get(claim.identifier)
        if record is None:
            return Reply(verdict=Verdict.UNKNOWN)
        reply = self._known(record, claim, now)
        if reply.verdict is Verdict.GRANTED:
            return Reply(verdict=Verdict.RUNNING)
        return reply

    def start(self, identifier, attempt):
        """Mark a pending attempt as running; return whether it may run."""
        record = self._records.get(identifier)
        if record is None or record.attempt != attempt:
            return False
        if record.state is not State.PENDING:
            return False
        record.state = State.RUNNING
        return True

    def end(self, identifier, attempt, ending):
        """Keep how an attempt ended; the first definite ending stays."""
        record = self._records.get(identifier)
        if record is None or record.attempt != attempt:
            return
        if record.state in (State.ANSWERED, State.NOT_RUN):
            return
        record.state = ending.state
        size = len(ending.body)
        room = self._max_answer_bytes - self._answer_bytes
        if size > min(room, MAX_ONE_ANSWER_BYTES):
            return
        self._answer_bytes += size
        record.ending = ending

    def forget(self, identifier, attempt):
        """Drop the record of an attempt that was never to run."""
        record = self._records.get(identifier)
        if record is not None and record.attempt == attempt:
            self._drop(identifier, record)

    def expire(self, now):
        """Drop records past their deadline."""
        for identifier, record in list(self._records.items()):
            if now >= record.forget_at:
                self._drop(identifier, record)

    def _known(self, record, claim, now):
        if record.digest != claim.digest:
            return Reply(verdict=Verdict.CONFLICT)
        if record.state in (State.PENDING, State.RUNNING):
            if now >= record.run_deadline:
                return Reply(verdict=Verdict.UNKNOWN)
            if record.attempt == claim.attempt:
                return Reply(verdict=Verdict.GRANTED)
            return Reply(verdict=Verdict.RUNNING)
        if record.ending is None:
            return Reply(verdict=Verdict.UNKNOWN)
        return Reply(verdict=Verdict.ENDED, ending=record.ending)

    def _sweep(self, now):
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_PERIOD_SECONDS
            self.expire(now)

    def _has_room(self, customer):
        if len(self._records) >= self._max_records:
            return False
        share = max(1, self._max_records // CUSTOMER_SHARE)
        return self._by_customer.get(customer, 0) < share

    def _add(self, claim, now, state):
        run_deadline = now + self._run
        forget_at = max(claim.expires, run_deadline) + self._kept
        self._records[claim.identifier] = _Record(
            claim, state, run_deadline, forget_at
        )
        held = self._by_customer.get(claim.customer, 0)
        self._by_customer[claim.customer] = held + 1

    def _drop(self, identifier, record):
        del self._records[identifier]
        if record.ending is not None:
            self._answer_bytes -= len(record.ending.body)
        left = self._by_customer[record.customer] - 1
        if left:
            self._by_customer[record.customer] = left
        else:
            del self._by_customer[record.customer]
