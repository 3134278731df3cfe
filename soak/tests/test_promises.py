"""Each check finds what it is for, and nothing in a proper run."""

import pytest

from soak._promises import EVENTS
from soak._promises import RECOVERY_SECONDS
from soak._records import Attempt
from soak._records import Ending
from soak._records import Kill
from soak._records import Kind
from soak._records import Records
from soak._records import Run
from soak import broken_promises

STREAM = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, EVENTS + 1)
)
NEWEST = "/read/v9/x"
WHOLE_CHAIN = "a:1=0-2,b:1=2-4"


def an_attempt(kind=Kind.READ, **changes):
    """Return an attempt that was answered well."""
    body = b"body"
    fields = {
        "request_id": "q1",
        "kind": kind,
        "path": f"{kind.value}1",
        "host": 0,
        "sent_at": 1.0,
        "ended_at": 1.1,
        "body": body,
        "status": 200,
        "answer": STREAM if kind.is_stream else body,
        "ending": Ending.WHOLE,
        "is_signed": True,
        "answered_id": "q1",
        **changes,
    }
    return Attempt(**fields)


def records_of(attempt, runs=(), kills=(), exits=()):
    """Return records of a run whose recovery was seen."""
    late = RECOVERY_SECONDS + 3.0
    served = an_attempt(
        request_id="q2", answered_id="q2", path=NEWEST, sent_at=late
    )
    return Records(
        attempts=[attempt, served],
        runs=list(runs),
        kills=list(kills),
        exits=list(exits),
        healed_at=2.0,
        newest_path=NEWEST,
    )


RUN = Run("q1", "p0")
LOST = {"ending": Ending.LOST, "status": 0, "answer": b""}

# Records, promises that they break.
CASES = [
    ("proper read", records_of(an_attempt(), [RUN]), []),
    (
        "proper stream",
        records_of(an_attempt(Kind.CHAT), [Run("q1", "e0", WHOLE_CHAIN)]),
        [],
    ),
    (
        "two runs",
        records_of(an_attempt(Kind.ONCE), [RUN, RUN]),
        ["at_most_once"],
    ),
    ("repeated read", records_of(an_attempt(), [RUN, RUN]), []),
    (
        "false refusal",
        records_of(an_attempt(Kind.ONCE, status=503, retry_after="1"), [RUN]),
        ["refusals_are_true"],
    ),
    (
        "refusal without a time",
        records_of(an_attempt(status=503)),
        ["refusals_name_a_time"],
    ),
    (
        "unsigned",
        records_of(an_attempt(is_signed=False)),
        ["answers_are_whole"],
    ),
    (
        "another's answer",
        records_of(an_attempt(answered_id="q7")),
        ["answers_are_whole"],
    ),
    (
        "stream without its end",
        records_of(an_attempt(Kind.FEED, answer=STREAM[:40])),
        ["answers_are_whole"],
    ),
    (
        "cut stream",
        records_of(
            an_attempt(Kind.FEED, answer=STREAM[:18], ending=Ending.CUT)
        ),
        [],
    ),
    (
        "piece left out",
        records_of(
            an_attempt(Kind.FEED, answer=STREAM[18:], ending=Ending.CUT)
        ),
        ["pieces_are_in_order"],
    ),
    (
        "no end",
        records_of(an_attempt(ending=Ending.HUNG)),
        ["nothing_hangs"],
    ),
    (
        "layer left out",
        records_of(an_attempt(Kind.CHAT), [Run("q1", "e0", "a:1=0-2")]),
        ["chains_hold_each_layer_once"],
    ),
    ("lost", records_of(an_attempt(**LOST), [RUN]), ["answers_come"]),
    ("not passed on", records_of(an_attempt(**LOST)), []),
    (
        "host killed",
        records_of(an_attempt(**LOST), [RUN], kills=[Kill(0, 1.05)]),
        [],
    ),
    (
        "another host killed",
        records_of(an_attempt(**LOST), [RUN], kills=[Kill(1, 1.05)]),
        ["answers_come"],
    ),
    (
        "never sent",
        records_of(an_attempt(), [Run("q9", "p0")]),
        ["only_what_was_sent"],
    ),
    (
        "too many repeats",
        records_of(an_attempt(), [RUN] * 200),
        ["budget"],
    ),
    (
        "not served after recovery",
        records_of(an_attempt(status=502, sent_at=20.0)),
        ["recovery"],
    ),
    ("own end", records_of(an_attempt(), exits=[(1, 1)]), ["no_own_end"]),
]


@pytest.mark.parametrize(
    ("records", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_checks(records, expected):
    found = [violation.promise for violation in broken_promises(records)]
    assert found == expected
