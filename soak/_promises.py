"""The promises that a run is checked against."""

import collections
import re

from apricotseam.platform.standins import LAYERS
from soak._records import Ending
from soak._records import Kind
from soak._records import Violation

# Statuses that say that the request has not run.
NOT_RUN = (408, 421, 429, 503)
RETRY_LATER = (429, 503)
EVENTS = 6
RETRY_RATIO = 0.2
RETRY_SLACK = 100
# Time after the last fault in which everything works again.
RECOVERY_SECONDS = 6.0
# A reset may be seen before the kill that caused it is noted.
KILL_NOTICE_SECONDS = 0.2
_STAGE = re.compile(r"[^=,]+=(\d+)-(\d+)")


def broken_promises(records):
    """Return each `Violation` that a run's records show.

    Parameters
    ----------
    records : Records
        What callers and back ends saw.
    """
    runs = collections.defaultdict(list)
    for run in records.runs:
        runs[run.request_id].append(run)
    found = []
    for attempt in records.attempts:
        for check in _CHECKS:
            text = check(attempt, runs[attempt.request_id])
            if text:
                name = check.__name__.lstrip("_")
                found.append(Violation(name, attempt.request_id, text))
    found.extend(_lost(records, runs))
    found.extend(_unknown(records, runs))
    found.extend(_budget(records, runs))
    found.extend(_recovery(records))
    found.extend(
        Violation("no_own_end", "", f"host {number} ended with {code}")
        for number, code in records.exits
    )
    return found


def _at_most_once(attempt, runs):
    if attempt.kind is Kind.ONCE and len(runs) > 1:
        return f"ran {len(runs)} times"
    return ""


def _refusals_are_true(attempt, runs):
    is_bound = attempt.kind is Kind.ONCE
    if is_bound and attempt.status in NOT_RUN and runs:
        return f"status {attempt.status}, but it ran"
    return ""


def _refusals_name_a_time(attempt, runs):
    is_whole = attempt.ending is Ending.WHOLE
    if is_whole and attempt.status in RETRY_LATER and not attempt.retry_after:
        return "no Retry-After"
    return ""


def _answers_are_whole(attempt, runs):
    if attempt.ending is not Ending.WHOLE or attempt.status != 200:
        return ""
    if not attempt.is_signed:
        return "a success without a signature"
    if attempt.answered_id != attempt.request_id:
        return f"answer of {attempt.answered_id}"
    expected = _stream() if attempt.kind.is_stream else attempt.body
    if attempt.answer != expected:
        return f"other bytes: {attempt.answer[:80]!r}"
    return ""


def _pieces_are_in_order(attempt, runs):
    if not attempt.kind.is_stream or attempt.status != 200:
        return ""
    if not _stream().startswith(attempt.answer):
        return f"other events: {attempt.answer[:200]!r}"
    return ""


def _nothing_hangs(attempt, runs):
    return "no end" if attempt.ending is Ending.HUNG else ""


def _chains_hold_each_layer_once(attempt, runs):
    for run in runs:
        if not run.chain:
            continue
        ranges = [tuple(map(int, m)) for m in _STAGE.findall(run.chain)]
        firsts = [first for first, _ in ranges]
        lasts = [last for _, last in ranges]
        if firsts != [0, *lasts[:-1]] or lasts[-1] != LAYERS:
            return f"chain {run.chain}"
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


def _lost(records, runs):
    """Return requests that ran and got no answer though the host lived."""
    return [
        Violation("answers_come", a.request_id, f"nothing of host {a.host}")
        for a in records.attempts
        if a.ending is Ending.LOST
        and runs[a.request_id]
        and not any(_ends(kill, a) for kill in records.kills)
    ]


def _ends(kill, attempt):
    """Return whether a kill may have ended an attempt."""
    until = attempt.ended_at + KILL_NOTICE_SECONDS
    return kill.host == attempt.host and attempt.sent_at <= kill.at <= until


def _unknown(records, runs):
    """Return runs of requests that nobody sent."""
    sent = {attempt.request_id for attempt in records.attempts}
    return [
        Violation("only_what_was_sent", request_id, "was never sent")
        for request_id in runs
        if request_id not in sent
    ]


def _budget(records, runs):
    """Return a violation if more was repeated than is allowed."""
    repeats = sum(max(0, len(each) - 1) for each in runs.values())
    allowed = RETRY_RATIO * len(records.attempts) + RETRY_SLACK
    if repeats <= allowed:
        return []
    return [Violation("budget", "", f"{repeats} repeats, {allowed} allowed")]


def _recovery(records):
    """Return what is not served some time after the last fault."""
    since = records.healed_at + RECOVERY_SECONDS
    late = [a for a in records.attempts if a.sent_at >= since]
    found = [
        Violation(
            "recovery", a.request_id, f"{a.path} {a.status} {a.ending.value}"
        )
        for a in late
        if a.status != 200 or a.ending is not Ending.WHOLE
    ]
    if not any(a.path == records.newest_path for a in late):
        found.append(Violation("recovery", "", "newest route not asked for"))
    return found


def _stream():
    return b"".join(
        f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1)
    )
