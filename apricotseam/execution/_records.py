"""Bounded table of granted runs and how they ended."""

import enum

import msgspec

MAX_RECORDS = 20_000
# Total over all stored answers, and limit on each of them.
MAX_ANSWER_BYTES = 8 << 20
MAX_ONE_ANSWER_BYTES = 64 << 10
# One customer may have one in this many records.
CUSTOMER_SHARE_DIVISOR = 4
MAX_RUN_SECONDS = 15.0
RETENTION_SECONDS = 60.0
SWEEP_PERIOD_SECONDS = 1.0


class State(enum.Enum):
    """State of one run.

    A ``PENDING`` run is reserved but has not started. An ``ANSWERED`` run
    ended with a response or a definite failure. ``UNKNOWN`` means that the
    request may have run.
    """

    PENDING = "pending"
    RUNNING = "running"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Verdict(enum.Enum):
    """Answer to a claim of a run.

    The request may be run only after ``GRANTED``. ``FULL`` means that there
    is no room for another record, ``CONFLICT`` that the identifier was used
    for a different request, and ``GONE`` that the host or process with the
    record is not available.
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
    """Result of a run, which is returned for every copy of the request.

    If ``code`` is empty, it is the answer of the target; otherwise it is an
    error with that code.
    """

    state: State
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    code: str = ""
    found: str = ""
    remedy: str = ""


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A verdict, and the ending of the run if it is known."""

    verdict: Verdict
    ending: Ending | None = None


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """A claim of the right to run a request, by one attempt of one host.

    ``identifier`` is the nonce of a ticket, which all copies of the request
    share, or a key together with an attempt at its request. No run is
    granted after ``expires``, in seconds of the clock that
    `RunRecords.claim` is called with.
    """

    identifier: str
    attempt: str
    customer: str
    digest: str
    expires: float


class _Record:
    """State of one granted identifier.

    After ``run_deadline`` a run without an ending is considered lost; after
    ``retention_deadline`` the record is dropped.
    """

    __slots__ = (
        "attempt",
        "customer",
        "digest",
        "ending",
        "retention_deadline",
        "run_deadline",
        "state",
    )

    def __init__(self, claim, state, run_deadline, retention_deadline):
        self.attempt = claim.attempt
        self.customer = claim.customer
        self.digest = claim.digest
        self.state = state
        self.run_deadline = run_deadline
        self.retention_deadline = retention_deadline
        self.ending = None


class RunRecords:
    """Grants each identifier at most once and stores how its run ended.

    A record is stored until `retention_seconds` after its claim expired,
    or longer. If there is no record before that time, no run was granted.
    The class is not thread-safe; the caller must hold a lock.

    Parameters
    ----------
    max_records : int
        Maximum number of records; further claims are refused.
    max_answer_bytes : int
        Maximum total bytes of all stored answers.
    max_run_seconds : float
        Seconds after which a run without an ending is considered lost.
    retention_seconds : float
        Seconds for which a record is stored after its claim expired.
    """

    def __init__(
        self,
        max_records=MAX_RECORDS,
        max_answer_bytes=MAX_ANSWER_BYTES,
        max_run_seconds=MAX_RUN_SECONDS,
        retention_seconds=RETENTION_SECONDS,
    ):
        self._max_records = max_records
        self._max_answer_bytes = max_answer_bytes
        self._max_run_seconds = max_run_seconds
        self._retention_seconds = retention_seconds
        self._records = {}
        self._count_by_customer = {}
        self._answer_bytes = 0
        self._next_sweep = 0.0

    @property
    def count(self):
        """Number of records."""
        return len(self._records)

    @property
    def answer_bytes(self):
        """Total bytes of all stored answers."""
        return self._answer_bytes

    def claim(self, claim, now, state=State.RUNNING):
        """Grant a claim if no attempt was granted its identifier before.

        An attempt that claims again while it runs is granted again: only
        one thread of one host uses an attempt, so it can only be repeating
        a question whose answer was lost.

        Parameters
        ----------
        claim : Claim
            The claim.
        now : float
            Time in seconds of the clock of `Claim.expires`.
        state : State
            State of a new record.

        Returns
        -------
        Reply
        """
        self._sweep(now)
        record = self._records.get(claim.identifier)
        if record is not None:
            return self._reply_for(record, claim, now)
        if now >= claim.expires + self._retention_seconds:
            return Reply(verdict=Verdict.UNKNOWN)
        if now >= claim.expires:
            return Reply(verdict=Verdict.EXPIRED)
        if not self._has_room(claim.customer):
            return Reply(verdict=Verdict.FULL)
        self._add(claim, now, state)
        return Reply(verdict=Verdict.GRANTED)

    def look_up(self, claim, now):
        """Return the `Reply` to a claim without granting it."""
        record = self._records.get(claim.identifier)
        if record is None:
            return Reply(verdict=Verdict.UNKNOWN)
        reply = self._reply_for(record, claim, now)
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
        """Record the ending of an attempt.

        A definite ending is not replaced by a later one. An answer that
        exceeds the bounds on stored bytes is not stored.
        """
        record = self._records.get(identifier)
        if record is None or record.attempt != attempt:
            return
        if record.state in (State.ANSWERED, State.NOT_RUN):
            return
        record.state = ending.state
        size = len(ending.body)
        free_bytes = self._max_answer_bytes - self._answer_bytes
        if size > min(free_bytes, MAX_ONE_ANSWER_BYTES):
            return
        self._answer_bytes += size
        record.ending = ending

    def discard(self, identifier, attempt):
        """Drop the record of an attempt that will not run."""
        record = self._records.get(identifier)
        if record is not None and record.attempt == attempt:
            self._drop(identifier, record)

    def expire(self, now):
        """Drop records past their retention deadline."""
        for identifier, record in list(self._records.items()):
            if now >= record.retention_deadline:
                self._drop(identifier, record)

    def _reply_for(self, record, claim, now):
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
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_PERIOD_SECONDS
            self.expire(now)

    def _has_room(self, customer):
        if len(self._records) >= self._max_records:
            return False
        share = max(1, self._max_records // CUSTOMER_SHARE_DIVISOR)
        return self._count_by_customer.get(customer, 0) < share

    def _add(self, claim, now, state):
        run_deadline = now + self._max_run_seconds
        retention_deadline = (
            max(claim.expires, run_deadline) + self._retention_seconds
        )
        self._records[claim.identifier] = _Record(
            claim, state, run_deadline, retention_deadline
        )
        customer_count = self._count_by_customer.get(claim.customer, 0)
        self._count_by_customer[claim.customer] = customer_count + 1

    def _drop(self, identifier, record):
        del self._records[identifier]
        if record.ending is not None:
            self._answer_bytes -= len(record.ending.body)
        remaining = self._count_by_customer[record.customer] - 1
        if remaining:
            self._count_by_customer[record.customer] = remaining
        else:
            del self._count_by_customer[record.customer]
