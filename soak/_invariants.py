"""The invariants against which the records of a run are checked."""

import collections
import re

from apricotseam.platform.standins import LAYERS
from soak._callers import DEADLINE_SECONDS
from soak._records import AttemptOutcome
from soak._records import RequestKind
from soak._records import Violation

# Statuses that state that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
RETRY_LATER_STATUSES = (429, 503)
EVENTS_PER_STREAM = 6
# Defaults of the host settings `retry_ratio` and `retry_slack`: retries are
# limited to this share of the requests plus a fixed number.
RETRY_RATIO = 0.2
RETRY_SLACK = 100
# Time after the last fault from which every request has to succeed.
RECOVERY_SECONDS = 6.0
# A caller may see a reset before the kill that caused it is recorded.
KILL_RECORD_DELAY_SECONDS = 0.2
# An accepted request may fail once it has used this share of its time.
LATE_SHARE = 0.7
# Stage of a chain, ``address=first-last``; its layers end before ``last``.
_STAGE = re.compile(r"[^=,]+=(\d+)-(\d+)")


def find_violations(records):
    """Return the violations of invariants in the records of a run.

    Parameters
    ----------
    records : RunRecords
        What callers and targets observed.

    Returns
    -------
    list of Violation
    """
    executions = collections.defaultdict(list)
    for execution in records.executions:
        executions[execution.request_id].append(execution)
    violations = []
    for attempt in records.attempts:
        for check in _CHECKS:
            detail = check(attempt, executions[attempt.request_id])
            if detail:
                name = check.__name__.lstrip("_")
                violations.append(Violation(name, attempt.request_id, detail))
    violations.extend(_unanswered_requests(records, executions))
    violations.extend(_lost_sound_requests(records))
    violations.extend(_refused_in_overload(records, executions))
    violations.extend(_unsent_requests(records, executions))
    violations.extend(_excess_retries(records, executions))
    violations.extend(_recovery_failures(records))
    violations.extend(
        Violation("no_own_end", "", f"host {number} exited with code {code}")
        for number, code in records.unexpected_exits
    )
    return violations


# The names of the checks below, without the underscore, are the names of the
# invariants. Each takes an attempt and the executions of its request, and
# returns a description of the violation, or an empty string.


def _at_most_once(attempt, executions):
    """Check that a once-only request is executed at most once."""
    if attempt.kind is RequestKind.ONCE and len(executions) > 1:
        return f"executed {len(executions)} times"
    return ""


def _refusals_are_true(attempt, executions):
    """Check that no once-only request is refused although executed."""
    is_once = attempt.kind is RequestKind.ONCE
    if is_once and attempt.status in NOT_EXECUTED_STATUSES and executions:
        return f"status {attempt.status}, but the request was executed"
    return ""


def _refusals_name_a_time(attempt, executions):
    """Check that a refusal to be retried later has Retry-After."""
    is_whole = attempt.outcome is AttemptOutcome.WHOLE
    if (
        is_whole
        and attempt.status in RETRY_LATER_STATUSES
        and not attempt.retry_after
    ):
        return "no Retry-After header"
    return ""


def _answers_are_whole(attempt, executions):
    """Check that a success is signed, complete and for this request."""
    if attempt.outcome is not AttemptOutcome.WHOLE or attempt.status != 200:
        return ""
    if not attempt.is_signed:
        return "response with status 200 has no signature"
    if attempt.response_request_id != attempt.request_id:
        return f"response to request {attempt.response_request_id}"
    expected = _expected_stream() if attempt.kind.is_stream else attempt.body
    if attempt.response_body != expected:
        return f"unexpected body {attempt.response_body[:80]!r}"
    return ""


def _pieces_are_in_order(attempt, executions):
    """Check that a stream has no missing or reordered event."""
    if not attempt.kind.is_stream or attempt.status != 200:
        return ""
    if not _expected_stream().startswith(attempt.response_body):
        return f"unexpected events {attempt.response_body[:200]!r}"
    return ""


def _nothing_hangs(attempt, executions):
    """Check that a response ends by its deadline plus a grace period."""
    return (
        "response did not end in time"
        if attempt.outcome is AttemptOutcome.HUNG
        else ""
    )


def _chains_hold_each_layer_once(attempt, executions):
    """Check that each chain covers every layer exactly once, in order."""
    for execution in executions:
        if not execution.chain:
            continue
        ranges = [tuple(map(int, m)) for m in _STAGE.findall(execution.chain)]
        firsts = [first for first, _ in ranges]
        lasts = [last for _, last in ranges]
        if firsts != [0, *lasts[:-1]] or lasts[-1] != LAYERS:
            return f"chain {execution.chain}"
    return ""


_CHECKS = (
    _at_most_once,
    _refusals_are_true,
    _refusals_name_a_time,
    _answers_are_whole,
    _pieces_are_in_order,
    _nothing_hangs,
    _chains_hold_each_layer_once,
)


def _unanswered_requests(records, executions):
    """Return a violation for each executed request without a response.

    Requests to a host that was killed meanwhile are left out.
    """
    return [
        Violation(
            "answers_come",
            a.request_id,
            f"no response from host {a.host_number}",
        )
        for a in records.attempts
        if a.outcome is AttemptOutcome.LOST
        and executions[a.request_id]
        and not any(_may_have_ended(kill, a) for kill in records.kills)
    ]


def _lost_sound_requests(records):
    """Return a violation for each request lost while all was sound.

    Targets that fall silent for a moment, new configurations and reloads
    are no reason to end an answer, unless the request is nearly too late.
    """
    late_seconds = LATE_SHARE * DEADLINE_SECONDS
    return [
        Violation("sound_phase", a.request_id, f"{a.status} {a.outcome.value}")
        for a in records.attempts
        if 0.0 < a.ended_at <= records.sound_until
        and a.ended_at - a.sent_at < late_seconds
        and _is_lost(a)
    ]


def _refused_in_overload(records, executions):
    """Return a violation for each request that was refused, but executed.

    While an overload is the only fault, this holds for requests of all
    kinds. Otherwise an idempotent request may be refused after a target
    that executed it has failed.
    """
    return [
        Violation(
            "refused_do_not_run",
            a.request_id,
            f"status {a.status}, but the request was executed",
        )
        for a in records.attempts
        if a.sent_at >= records.overloaded_from
        and 0.0 < a.ended_at <= records.overloaded_until
        and a.status in NOT_EXECUTED_STATUSES
        and executions[a.request_id]
    ]


def _is_lost(attempt):
    """Return whether an attempt failed, other than by a refusal."""
    is_failure = attempt.status >= 500 and attempt.status != 503
    return is_failure or attempt.outcome is not AttemptOutcome.WHOLE


def _may_have_ended(kill, attempt):
    """Return whether a kill of its host may have ended an attempt."""
    until = attempt.ended_at + KILL_RECORD_DELAY_SECONDS
    return (
        kill.host_number == attempt.host_number
        and attempt.sent_at <= kill.at <= until
    )


def _unsent_requests(records, executions):
    """Return a violation for each executed request that no caller sent."""
    sent = {attempt.request_id for attempt in records.attempts}
    return [
        Violation("only_what_was_sent", request_id, "was never sent")
        for request_id in executions
        if request_id not in sent
    ]


def _excess_retries(records, executions):
    """Return one violation if retries exceed the budget, otherwise none."""
    retries = sum(max(0, len(each) - 1) for each in executions.values())
    allowed = RETRY_RATIO * len(records.attempts) + RETRY_SLACK
    if retries <= allowed:
        return []
    return [Violation("budget", "", f"{retries} retries, {allowed} allowed")]


def _recovery_failures(records):
    """Return a violation for each request that fails after recovery.

    There is one more if no such request went to the newest route, as it
    would be unknown then whether the newest configuration is in force.
    """
    since = records.faults_ended_at + RECOVERY_SECONDS
    late = [a for a in records.attempts if a.sent_at >= since]
    violations = [
        Violation(
            "recovery", a.request_id, f"{a.path} {a.status} {a.outcome.value}"
        )
        for a in late
        if a.status != 200 or a.outcome is not AttemptOutcome.WHOLE
    ]
    if not any(a.path == records.newest_route_path for a in late):
        violations.append(
            Violation("recovery", "", "no request for the newest route")
        )
    return violations


def _expected_stream():
    """Return the body of a complete stream."""
    return b"".join(
        f"id: {n}\ndata: t{n}\n\n".encode()
        for n in range(1, EVENTS_PER_STREAM + 1)
    )
