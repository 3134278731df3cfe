"""Pace of a target, as its answers and the notices of peers set it."""

import math

import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import Pace
from apricotseam.fleet import PaceNotice
from apricotseam.fleet import TargetRecord

USUAL_MS = 100.0
OBJECTIVE = 0.5
BORN_MS = 7
NEW = [("begin", 1)]
# Two rounds of answers in time after the begin.
RISEN = [*NEW, ("start", 0.2, OBJECTIVE, 1.5), ("start", 0.2, OBJECTIVE, 2)]


def late(now):
    """Return a first event 0.6 s after its send."""
    return ("start", 0.6, OBJECTIVE, now)


def hear(allowance_ms, was_lowered, age, now, born_ms=BORN_MS):
    """Return a notice of a peer."""
    notice = PaceNotice(born_ms, allowance_ms, was_lowered, age)
    return ("hear", notice, now)


def replay(steps):
    """Return a pace after some steps."""
    pace = Pace(BORN_MS)
    pace.usual_ms = pace.least_ms = USUAL_MS
    methods = {
        "begin": pace.begin,
        "start": pace.record_start,
        "fail": pace.record_failure,
        "hear": pace.apply,
        "send": pace.record_send,
    }
    for name, *arguments in steps:
        methods[name](*arguments)
    return pace


# Guards against a pace that rises without answers, falls at once to nothing,
# or never ends. Description, what happens, allowance afterwards.
CASES = [
    ("not new", [], math.inf),
    ("new", NEW, 100),
    ("one round", RISEN[:2], 200),
    ("same round again", [*RISEN[:2], ("start", 0.2, 0.5, 1.6)], 200),
    ("two rounds", RISEN, 400),
    ("end", [*RISEN, ("start", 0.2, OBJECTIVE, 3)], math.inf),
    ("sent before the begin", [*NEW, ("start", 0.4, OBJECTIVE, 1.2)], 100),
    ("late", [*RISEN, late(2.7)], 200),
    ("late, sent before the last change", [*RISEN, late(2.5)], 400),
    ("failed", [*RISEN, ("fail", OBJECTIVE, 2.6)], 200),
    ("once in 0.5 s", [*RISEN, late(2.7), ("fail", OBJECTIVE, 3.1)], 200),
    ("twice", [*RISEN, late(2.7), ("fail", OBJECTIVE, 3.3)], 100),
    ("least", [*NEW, ("fail", OBJECTIVE, 2), ("fail", OBJECTIVE, 3)], 100),
    ("late, not new", [late(1)], 250),
    ("failed, not new", [("fail", OBJECTIVE, 1)], math.inf),
    ("begin again", [*RISEN, ("begin", 3)], 100),
    ("raised by peer", [*NEW, hear(200, False, 0.1, 2)], 200),
    ("ended by peer", [*NEW, hear(math.inf, False, 0.1, 2)], math.inf),
    ("lowered by peer", [hear(150, True, 0.3, 2)], 150),
    ("lowered long ago", [hear(150, True, 1.0, 2)], math.inf),
    ("low", [hear(150, True, 0.1, 2), hear(400, False, 0.0, 2.5)], 150),
    ("high", [hear(150, True, 0.1, 2), hear(400, False, 0.0, 3.1)], 400),
    ("raised before the begin", [*NEW, hear(400, False, 0.5, 1.2)], 100),
    ("former process", [hear(150, True, 0.1, 2, BORN_MS - 1)], math.inf),
]


@pytest.mark.parametrize(
    ("steps", "expected_ms"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_allowance(steps, expected_ms):
    pace = replay(steps)
    assert pace.allowance_ms == expected_ms
    assert pace.is_limited == (expected_ms < math.inf)


# Guards against targets that are left idle, and against trials of all hosts
# at once. Work under way, steps after the begin, time, whether one may start.
STARTS = [
    (0.0, [], 1.0, True),
    (50.0, [], 1.0, False),
    (100.0, [], 1.9, False),
    (100.0, [], 2.0, True),
    (100.0, [("send", 1.5)], 2.0, False),
    (100.0, [("send", 1.5)], 2.5, True),
    (150.0, [], 9.0, False),
]


@pytest.mark.parametrize(("under_way", "steps", "now", "expected"), STARTS)
def test_a_paced_target_gets_trials(under_way, steps, now, expected):
    assert replay([*NEW, *steps]).may_start(under_way, now) is expected


def test_a_new_process_of_an_identity_has_its_own_pace():
    """Guards against a pace that outlives the process that caused it."""
    found = []
    fleet = Fleet()
    fleet.on_new = found.append
    for born_ms in (1, 1, 2, 2):
        fields = {"service": "s", "address": "a:1", "zone": "z"}
        fleet.update(TargetRecord(identity="t", born_ms=born_ms, **fields))
    assert [target.record.born_ms for target in found] == [1, 2]
    assert found[0].pace is not found[1].pace
    # An entry that was lost and is written again is no new process.
    fleet.remove("t", 2.0)
    fleet.update(found[1].record)
    assert fleet.get("t") is not None and len(found) == 2
