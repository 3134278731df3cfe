"""What targets say about themselves, per process and beside the store."""

import logging

import msgspec
import pytest

from apricotseam.fleet._fleet import MAX_REMEMBERED_PROCESSES
from apricotseam.fleet import AnnouncementSource
from apricotseam.fleet import Fleet
from apricotseam.fleet import MAX_REST_SECONDS
from apricotseam.fleet import TargetRecord
from apricotseam.positions import Position

RECORD = TargetRecord(
    identity="i-1", service="s", address="10.0.0.1:80", zone="a", born_ms=1
)
OWN = AnnouncementSource.OWN_ANSWER


def replace_fields(**fields):
    """Return a copy of the record with some fields replaced."""
    return msgspec.structs.replace(RECORD, **fields)


def remove_and_return(fleet):
    """Remove the entry, and list the same process again."""
    fleet.remove("i-1", 5.0)
    fleet.update(replace_fields(position=Position(9)))


# Description, what happens after the target said that it leaves, whether
# the target of the name that is then listed takes requests.
AFTERWARDS = [
    ("nothing", lambda fleet: None, False),
    (
        "older word",
        lambda f: f.update(replace_fields(position=Position(0))),
        False,
    ),
    (
        "newer entry",
        lambda f: f.update(replace_fields(position=Position(9))),
        False,
    ),
    ("entry lost and written again", remove_and_return, False),
    (
        "new start, same name",
        lambda f: f.update(replace_fields(born_ms=2)),
        True,
    ),
]


@pytest.mark.parametrize(
    ("happen", "expected"),
    [case[1:] for case in AFTERWARDS],
    ids=[case[0] for case in AFTERWARDS],
)
def test_leaving_holds_for_one_process(happen, expected):
    fleet = Fleet()
    fleet.update(RECORD)
    assert fleet.record_leaving(RECORD.incarnation, OWN, 1.0)
    happen(fleet)
    assert fleet.get("i-1").accepts_requests is expected
    assert len(fleet.of_service("s")) == expected


def test_new_target_at_the_same_address_starts_clean():
    fleet = Fleet()
    fleet.update(RECORD)
    fleet.record_leaving(RECORD.incarnation, OWN, 1.0)
    fleet.record_rest(RECORD.incarnation, 60.0, 1.0)
    fleet.update(replace_fields(identity="i-2", position=Position(3)))
    assert fleet.get("i-2").may_send(1.0)


def test_word_of_an_earlier_process_does_not_touch_the_next():
    """Guards against an answer that is read after the process was replaced."""
    fleet = Fleet()
    fleet.update(replace_fields(born_ms=2))
    fleet.record_leaving(("i-1", 1), OWN, 1.0)
    fleet.record_rest(("i-1", 1), 60.0, 1.0)
    assert fleet.get("i-1").may_send(1.0)


def test_word_that_comes_before_the_entry_is_kept():
    fleet = Fleet()
    source = AnnouncementSource.PEER
    fleet.record_leaving(RECORD.incarnation, source, 10.0, 2.0)
    fleet.update(RECORD)
    announcements = fleet.get("i-1").announcements
    assert not fleet.get("i-1").accepts_requests
    assert announcements.leaving_since == 8.0
    assert announcements.leaving_source is source


def test_drain_callback_is_called_once_whatever_the_source():
    drained = []
    fleet = Fleet(on_drain=drained.append)
    fleet.update(RECORD)
    changes = fleet.changes
    for source in AnnouncementSource:
        fleet.record_leaving(RECORD.incarnation, source, 1.0)
    fleet.update(replace_fields(is_draining=True, position=Position(2)))
    assert [t.identity for t in drained] == ["i-1"]
    assert (
        drained[0].announcements.leaving_source
        is AnnouncementSource.OWN_ANSWER
    )
    assert fleet.changes > changes


def test_leaving_target_whose_entry_vanishes_is_not_kept():
    fleet = Fleet()
    fleet.update(RECORD)
    fleet.record_leaving(RECORD.incarnation, OWN, 1.0)
    fleet.remove("i-1", 1.0, may_return=True)
    assert fleet.get("i-1") is None


# Description, pairs of a time and the seconds of a rest that begins then,
# time, whether the target rests at that time.
RESTS = [
    ("none", [], 0.0, False),
    ("before its end", [(0.0, 2.0)], 1.99, True),
    ("at its end", [(0.0, 2.0)], 2.0, False),
    ("later and shorter", [(0.0, 5.0), (1.0, 0.1)], 4.9, True),
    ("later and longer", [(0.0, 1.0), (0.5, 2.0)], 2.4, True),
    ("zero", [(0.0, 0.0)], 0.0, False),
    ("beyond the cap", [(0.0, 1e30)], MAX_REST_SECONDS - 1, True),
    ("infinite, after the cap", [(0.0, 1e400)], MAX_REST_SECONDS, False),
]


@pytest.mark.parametrize(
    ("rests", "at", "expected"),
    [case[1:] for case in RESTS],
    ids=[case[0] for case in RESTS],
)
def test_rest_ends_at_its_deadline(rests, at, expected):
    fleet = Fleet()
    fleet.update(RECORD)
    for now, seconds in rests:
        fleet.record_rest(RECORD.incarnation, seconds, now)
    fleet.update(replace_fields(position=Position(9)))
    target = fleet.get("i-1")
    assert target.is_resting(at) is expected
    assert target.may_send(at) is not expected
    assert target.accepts_requests


def test_a_rest_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    fleet = Fleet()
    fleet.update(RECORD)
    for now in (0.0, 0.1, 0.2, 3.0):
        fleet.record_rest(RECORD.incarnation, 2.0, now)
    lines = [r for r in caplog.records if r.msg == "target_resting"]
    assert [line.seconds for line in lines] == [2.0, 2.0]
    assert {line.source for line in lines} == {"own answer"}


# Source, age in seconds, the line.
SOURCES = [
    (AnnouncementSource.OWN_ANSWER, 0.0, ("own answer", 0.0)),
    (AnnouncementSource.PEER, 1.25, ("peer", 1.25)),
    (AnnouncementSource.STORE, 0.0, ("store", 0.0)),
]


@pytest.mark.parametrize(("source", "age", "expected"), SOURCES)
def test_leaving_is_logged_with_its_source_and_age(
    source, age, expected, caplog
):
    caplog.set_level(logging.INFO)
    fleet = Fleet()
    fleet.update(RECORD)
    if source is AnnouncementSource.STORE:
        fleet.update(replace_fields(is_draining=True, position=Position(2)))
    else:
        for _ in range(2):
            fleet.record_leaving(RECORD.incarnation, source, 10.0, age)
    lines = [r for r in caplog.records if r.msg == "target_leaving"]
    assert [(r.source, r.age_seconds) for r in lines] == [expected]


def test_memory_of_processes_is_bounded():
    fleet = Fleet()
    fleet.update(RECORD)
    fleet.record_leaving(RECORD.incarnation, OWN, 0.0)
    for number in range(2 * MAX_REMEMBERED_PROCESSES):
        fleet.record_leaving((f"x{number}", 1), AnnouncementSource.PEER, 1.0)
    assert len(fleet._announcements) == MAX_REMEMBERED_PROCESSES
    # A target that is listed knows its own word all the same.
    assert not fleet.get("i-1").accepts_requests


PEER = AnnouncementSource.PEER

# Description, statements as rate, source and time of the answer, the limit
# that is known then.
LIMITS = [
    ("named", [(2.5, OWN, 1.0)], 2.5),
    ("changed", [(2.5, OWN, 1.0), (4.0, OWN, 2.0)], 4.0),
    ("ended", [(2.5, OWN, 1.0), (None, OWN, 2.0)], None),
    ("named again", [(2.5, OWN, 1.0), (None, OWN, 2.0), (1.0, OWN, 3)], 1.0),
    ("heard of by a peer", [(2.5, PEER, 1.0)], 2.5),
    ("peer's older word", [(3.0, OWN, 2.0), (2.5, PEER, 1.0)], 3.0),
    ("peer's older end", [(2.5, OWN, 2.0), (None, PEER, 1.0)], 2.5),
    ("peer's newer end", [(2.5, OWN, 1.0), (None, PEER, 2.0)], None),
    ("zero", [(0.0, OWN, 1.0)], 0.0),
]


@pytest.mark.parametrize(
    ("statements", "expected"),
    [case[1:] for case in LIMITS],
    ids=[case[0] for case in LIMITS],
)
def test_limit_is_that_of_the_latest_answer(statements, expected):
    fleet = Fleet()
    fleet.update(RECORD)
    for rate, source, heard_at in statements:
        fleet.record_limit(RECORD.incarnation, rate, source, heard_at)
    assert fleet.get("i-1").announcements.requests_per_second == expected


def test_limit_holds_for_one_process():
    fleet = Fleet()
    fleet.update(RECORD)
    fleet.record_limit(RECORD.incarnation, 2.5, OWN, 1.0)
    remove_and_return(fleet)
    assert fleet.get("i-1").announcements.requests_per_second == 2.5
    fleet.update(replace_fields(born_ms=2))
    assert fleet.get("i-1").announcements.requests_per_second is None
