"""Pace of a target, as its answers and the notices of peers set it."""

import math

import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import LayerRange
from apricotseam.fleet import Pace
from apricotseam.fleet import PaceNotice
from apricotseam.fleet import TargetRecord

USUAL_MS = 100.0
OBJECTIVE = 0.5
BORN_MS = 7


def begin(now):
    """Begin to pace a process that starts or answers again."""
    return lambda pace: pace.begin(now)


def start(seconds, now):
    """Let a first event come at a time, some seconds after its send."""
    return lambda pace: pace.record_start(seconds, OBJECTIVE, now)


def fail(now):
    """Let a request fail before its first event."""
    return lambda pace: pace.record_failure(OBJECTIVE, now)


def hear(allowance_ms, was_lowered, age, now, born_ms=BORN_MS):
    """Let a peer tell of a change."""
    notice = PaceNotice(born_ms, allowance_ms, was_lowered, age)
    return lambda pace: pace.apply(notice, now)


# Guards against a pace that rises without answers, falls at once to nothing,
# or never ends. Description, what happens, allowance afterwards.
CASES = [
    ("a known process is not paced", [], math.inf),
    ("a new process gets one prompt", [begin(1)], 100),
    ("answers in time double it", [begin(1), start(0.2, 1.5)], 200),
    (
        "answers of one round count once",
        [begin(1), start(0.2, 1.5), start(0.2, 1.6)],
        200,
    ),
    (
        "it ends at the objective",
        [begin(1), start(0.2, 1.5), start(0.2, 2), start(0.2, 3)],
        math.inf,
    ),
    (
        "an answer to a request before the start shows nothing",
        [begin(1), start(0.4, 1.2)],
        100,
    ),
    (
        "a late answer halves it",
        [begin(1), start(0.2, 1.5), start(0.2, 2), start(0.6, 2.7)],
        200,
    ),
    (
        "late answers of one objective's time halve it once",
        [begin(1), start(0.2, 1.5), start(0.2, 2), fail(2.6), fail(2.9)],
        200,
    ),
    ("it stays at one prompt", [begin(1), fail(2), fail(3), fail(4)], 100),
    ("late answers begin it", [start(0.6, 1)], 250),
    ("a failure alone does not begin it", [fail(1)], math.inf),
    ("it begins anew", [begin(1), start(0.2, 1.5), begin(3)], 100),
    ("a peer's answers raise it", [begin(1), hear(200, False, 0.1, 2)], 200),
    ("a peer ends it", [begin(1), hear(math.inf, False, 0.1, 2)], math.inf),
    ("a peer lowers it", [hear(150, True, 0.3, 2)], 150),
    ("a peer lowered it long ago", [hear(150, True, 1.0, 2)], math.inf),
    (
        "the lowest counts for a second",
        [hear(150, True, 0.1, 2), hear(400, False, 0.0, 2.5)],
        150,
    ),
    (
        "then the highest",
        [hear(150, True, 0.1, 2), hear(400, False, 0.0, 3.1)],
        400,
    ),
    (
        "a rise before the return says nothing",
        [begin(1), hear(400, False, 0.5, 1.2)],
        100,
    ),
    (
        "another process is meant",
        [hear(150, True, 0.1, 2, born_ms=BORN_MS - 1)],
        math.inf,
    ),
]


@pytest.mark.parametrize(
    ("steps", "expected_ms"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_allowance(steps, expected_ms):
    pace = Pace(BORN_MS)
    pace.usual_ms = USUAL_MS
    for step in steps:
        step(pace)
    assert pace.allowance_ms == expected_ms
    assert pace.is_limited == (expected_ms < math.inf)


# Guards against targets that are left idle, and against trials of all hosts
# at once. Work under way, time of the last send, time, whether one may start.
STARTS = [
    (0.0, None, 1.0, True),
    (50.0, None, 1.0, False),
    (100.0, None, 1.9, False),
    (100.0, None, 2.0, True),
    (100.0, 1.5, 2.0, False),
    (100.0, 1.5, 2.5, True),
    (150.0, None, 9.0, False),
]


@pytest.mark.parametrize(("under_way", "sent_at", "now", "expected"), STARTS)
def test_a_paced_target_gets_trials(under_way, sent_at, now, expected):
    pace = Pace()
    pace.usual_ms = USUAL_MS
    pace.begin(1.0)
    if sent_at is not None:
        pace.record_send(sent_at)
    assert pace.may_start(under_way, now) is expected


def test_a_new_process_of_an_identity_has_its_own_pace():
    """Guards against a pace that outlives the process that caused it."""
    found = []
    fleet = Fleet()
    fleet.on_new = found.append
    for born_ms in (1, 1, 2):
        record = TargetRecord(
            identity="t",
            service="s",
            address="a:1",
            zone="z",
            layers=LayerRange(0, 2),
            born_ms=born_ms,
        )
        fleet.update(record)
        fleet.get("t").pace.record_start(0.6, OBJECTIVE, 1.0)
    assert [target.record.born_ms for target in found] == [1, 2]
    assert found[0].pace is not found[1].pace
    # An entry that was lost and is written again is no new process.
    fleet.remove("t", 2.0)
    fleet.update(found[1].record)
    assert len(found) == 2
