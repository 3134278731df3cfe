"""Each check reports its own violations, and none in a correct run."""

import pytest

from soak._invariants import EVENTS_PER_STREAM
from soak._invariants import RECOVERY_SECONDS
from soak._records import Attempt
from soak._records import AttemptOutcome
from soak._records import Execution
from soak._records import HostKill
from soak._records import RequestKind
from soak._records import RunRecords
from soak import find_violations

STREAM = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode()
    for n in range(1, EVENTS_PER_STREAM + 1)
)
NEWEST_ROUTE_PATH = "/read/v9/x"
WHOLE_CHAIN = "a:1=0-2,b:1=2-4"


def make_attempt(kind=RequestKind.READ, **changes):
    """Return an attempt with a correct response.

    Parameters
    ----------
    kind : RequestKind
        Kind of its request.
    **changes
        Values of fields that differ from those of a correct attempt.
    """
    body = b"body"
    fields = {
        "request_id": "q1",
        "kind": kind,
        "path": f"{kind.value}1",
        "host_number": 0,
        "sent_at": 1.0,
        "ended_at": 1.1,
        "body": body,
        "status": 200,
        "response_body": STREAM if kind.is_stream else body,
        "outcome": AttemptOutcome.WHOLE,
        "is_signed": True,
        "response_request_id": "q1",
        **changes,
    }
    return Attempt(**fields)


def make_records(
    attempt, executions=(), kills=(), unexpected_exits=(), **times
):
    """Return records of an attempt and of a successful later request.

    The later request goes to the newest route after recovery; without it
    every case would violate the invariant ``recovery``.
    """
    late = RECOVERY_SECONDS + 3.0
    served = make_attempt(
        request_id="q2",
        response_request_id="q2",
        path=NEWEST_ROUTE_PATH,
        sent_at=late,
    )
    return RunRecords(
        attempts=[attempt, served],
        executions=list(executions),
        kills=list(kills),
        unexpected_exits=list(unexpected_exits),
        faults_ended_at=2.0,
        newest_route_path=NEWEST_ROUTE_PATH,
        **times,
    )


EXECUTION = Execution("q1", "p0")
CUT = {
    "kind": RequestKind.FEED,
    "response_body": STREAM[:18],
    "outcome": AttemptOutcome.CUT,
}
LOST = {"outcome": AttemptOutcome.LOST, "status": 0, "response_body": b""}

# Description, records, names of the violated invariants.
CASES = [
    (
        "read with a correct response",
        make_records(make_attempt(), [EXECUTION]),
        [],
    ),
    (
        "complete stream along a complete chain",
        make_records(
            make_attempt(RequestKind.CHAT),
            [Execution("q1", "e0", WHOLE_CHAIN)],
        ),
        [],
    ),
    (
        "once-only request executed twice",
        make_records(make_attempt(RequestKind.ONCE), [EXECUTION, EXECUTION]),
        ["at_most_once"],
    ),
    (
        "read executed twice",
        make_records(make_attempt(), [EXECUTION, EXECUTION]),
        [],
    ),
    (
        "once-only request executed and refused",
        make_records(
            make_attempt(RequestKind.ONCE, status=503, retry_after="1"),
            [EXECUTION],
        ),
        ["refusals_are_true"],
    ),
    (
        "refusal without Retry-After",
        make_records(make_attempt(status=503)),
        ["refusals_name_a_time"],
    ),
    (
        "response without signature",
        make_records(make_attempt(is_signed=False)),
        ["answers_are_whole"],
    ),
    (
        "response to another request",
        make_records(make_attempt(response_request_id="q7")),
        ["answers_are_whole"],
    ),
    (
        "stream that ends before its last event",
        make_records(
            make_attempt(RequestKind.FEED, response_body=STREAM[:40])
        ),
        ["answers_are_whole"],
    ),
    (
        "stream cut by a connection failure",
        make_records(
            make_attempt(
                RequestKind.FEED,
                response_body=STREAM[:18],
                outcome=AttemptOutcome.CUT,
            )
        ),
        [],
    ),
    (
        "stream that lacks its first event",
        make_records(
            make_attempt(
                RequestKind.FEED,
                response_body=STREAM[18:],
                outcome=AttemptOutcome.CUT,
            )
        ),
        ["pieces_are_in_order"],
    ),
    (
        "response that does not end in time",
        make_records(make_attempt(outcome=AttemptOutcome.HUNG)),
        ["nothing_hangs"],
    ),
    (
        "refusal of a stream that ran in an overload",
        make_records(
            make_attempt(
                RequestKind.FEED,
                status=503,
                response_body=b"",
                retry_after="1",
            ),
            [EXECUTION],
            overloaded_until=1.5,
        ),
        ["refused_do_not_run"],
    ),
    (
        "chain that lacks the last layers",
        make_records(
            make_attempt(RequestKind.CHAT), [Execution("q1", "e0", "a:1=0-2")]
        ),
        ["chains_hold_each_layer_once"],
    ),
    (
        "executed request without a response",
        make_records(make_attempt(**LOST), [EXECUTION]),
        ["answers_come"],
    ),
    (
        "request neither executed nor answered",
        make_records(make_attempt(**LOST)),
        [],
    ),
    (
        "no response because its host was killed",
        make_records(
            make_attempt(**LOST), [EXECUTION], kills=[HostKill(0, 1.05)]
        ),
        [],
    ),
    (
        "no response although only another host was killed",
        make_records(
            make_attempt(**LOST), [EXECUTION], kills=[HostKill(1, 1.05)]
        ),
        ["answers_come"],
    ),
    (
        "stream cut although all was sound",
        make_records(make_attempt(**CUT), sound_until=1.5),
        ["sound_phase"],
    ),
    (
        "failure although all was sound",
        make_records(make_attempt(status=504), sound_until=1.5),
        ["sound_phase"],
    ),
    (
        "refusal while all was sound",
        make_records(
            make_attempt(status=503, retry_after="1"), sound_until=1.5
        ),
        [],
    ),
    (
        "stream cut once it was nearly too late",
        make_records(make_attempt(**CUT, ended_at=2.45), sound_until=2.5),
        [],
    ),
    (
        "stream cut after a fault",
        make_records(make_attempt(**CUT), sound_until=1.05),
        [],
    ),
    (
        "executed request that was never sent",
        make_records(make_attempt(), [Execution("q9", "p0")]),
        ["only_what_was_sent"],
    ),
    (
        "more retries than the budget allows",
        make_records(make_attempt(), [EXECUTION] * 200),
        ["budget"],
    ),
    (
        "failed request after recovery",
        make_records(make_attempt(status=502, sent_at=20.0)),
        ["recovery"],
    ),
    (
        "host that exited unexpectedly",
        make_records(make_attempt(), unexpected_exits=[(1, 1)]),
        ["no_own_end"],
    ),
]


@pytest.mark.parametrize(
    ("records", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_checks(records, expected):
    found = [violation.invariant for violation in find_violations(records)]
    assert found == expected
