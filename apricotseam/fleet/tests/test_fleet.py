"""Restarts, expired entries, reused addresses and slowness reports."""

import msgspec
import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import Health
from apricotseam.fleet import TargetRecord
from apricotseam.positions import Position

RECORD = TargetRecord(
    identity="i-1", service="s", address="10.0.0.1:80", zone="a", born_ms=1
)


def replace_fields(**fields):
    """Return a copy of the record with some fields replaced."""
    return msgspec.structs.replace(RECORD, **fields)


def make_fleet():
    """Return a fleet with one target, and the lists its callbacks fill."""
    ended, drained = [], []
    fleet = Fleet(ended.append, drained.append)
    fleet.update(RECORD)
    return fleet, ended, drained


def test_restart_with_the_same_identity_is_another_target():
    fleet, ended, _ = make_fleet()
    old = fleet.get("i-1")
    old.health.mark_unreachable(0.0)
    fleet.update(replace_fields(born_ms=2))
    new = fleet.get("i-1")
    assert new is not old and ended == [old]
    assert not new.health.is_silent and not old.accepts_requests


def test_drain_callback_is_called_once():
    fleet, _, drained = make_fleet()
    fleet.update(replace_fields(is_draining=True, position=Position(2)))
    fleet.update(replace_fields(is_draining=True, position=Position(3)))
    assert [t.identity for t in drained] == ["i-1"]
    assert fleet.of_service("s") == []


# Whether the target may return, whether it is draining, seconds
# from the removal of its entry until `expire`, whether it is still present.
REMOVALS = [
    (False, False, 0.0, False),
    (True, False, 1.7, True),
    (True, False, 1.8, False),
    (True, True, 0.0, False),
]


@pytest.mark.parametrize(
    ("may_return", "is_draining", "seconds", "expected"), REMOVALS
)
def test_removal_of_an_entry(may_return, is_draining, seconds, expected):
    fleet, _, _ = make_fleet()
    fleet.update(replace_fields(is_draining=is_draining, position=Position(2)))
    fleet.remove("i-1", 100.0, may_return)
    fleet.expire(100.0 + seconds)
    assert (fleet.get("i-1") is not None) is expected


# Time for which a target that has left serves on, as the users' pages state.
DRAIN_SECONDS = 2.0
# Time in which a host learns of a removal.
NEWS_SECONDS = 0.15


def test_a_removal_is_due_before_the_target_exits():
    """Guards against DRAIN: targets that are used until they exit."""
    fleet, _, _ = make_fleet()
    due = []
    fleet.on_removal_due = due.append
    fleet.remove("i-1", 100.0, may_return=True)
    assert len(due) == 1
    assert due[0] + NEWS_SECONDS < 100.0 + DRAIN_SECONDS
    fleet.expire(due[0])
    assert fleet.get("i-1") is None


def test_target_that_registers_again_is_kept():
    fleet, ended, _ = make_fleet()
    fleet.remove("i-1", 100.0, True)
    fleet.update(replace_fields(position=Position(9)))
    fleet.expire(110.0)
    assert fleet.get("i-1") is not None and ended == []


def test_reused_address_belongs_to_the_new_target():
    fleet, _, _ = make_fleet()
    fleet.update(
        replace_fields(identity="i-2", service="t", position=Position(5))
    )
    fleet.remove("i-1", 0.0)
    assert fleet.at("10.0.0.1:80").identity == "i-2"


def test_target_whose_address_was_taken_over_gets_no_work():
    fleet, ended, _ = make_fleet()
    fleet.update(replace_fields(identity="i-2", position=Position(5)))
    assert [t.identity for t in fleet.of_service("s")] == ["i-2"]
    assert [t.identity for t in ended] == ["i-1"]
    # The old entry is listed again before it expires in the store.
    fleet.update(replace_fields(identity="i-1", position=Position(3)))
    assert [t.identity for t in fleet.of_service("s")] == ["i-2"]


def test_target_is_silent_until_marked_reachable():
    health = Health()
    health.mark_unreachable(0.0)
    assert health.is_suspect(1e9)
    health.mark_reachable(1.0)
    assert not health.is_suspect(0.0)


# Seconds of silence, whether connections are rejected, whether the target
# counts as lost.
SILENCES = [
    ("silent for a moment", 1.5, False, False),
    ("silent for longer", 1.6, False, True),
    ("refuses connections", 0.1, True, True),
]


@pytest.mark.parametrize(
    ("seconds", "is_rejected", "expected"),
    [case[1:] for case in SILENCES],
    ids=[case[0] for case in SILENCES],
)
def test_target_is_lost_by_rejection_or_long_silence(
    seconds, is_rejected, expected
):
    health = Health()
    health.mark_unreachable(0.0)
    health.record_contact_failure(0.0, is_rejected)
    assert not health.refuses_connections
    assert health.is_lost(seconds) is expected
    health.mark_reachable(seconds)
    assert not health.is_lost(seconds)


# Failed contacts, each a time and whether the connection was rejected; the
# time that this host has observed, and whether it ends in a rejection.
CONTACTS = [
    ("first contact only", [], 0.0, False),
    ("silent to a later one", [(0.4, False), (1.6, False)], 1.6, False),
    ("rejected later", [(0.4, False), (1.0, True)], 1.0, True),
    ("silent after a rejection", [(0.4, True), (1.0, False)], 1.0, False),
]


@pytest.mark.parametrize(
    ("contacts", "observed_seconds", "is_rejected"),
    [case[1:] for case in CONTACTS],
    ids=[case[0] for case in CONTACTS],
)
def test_silence_is_observed_up_to_the_last_contact(
    contacts, observed_seconds, is_rejected
):
    health = Health()
    health.mark_unreachable(10.0)
    for seconds, was_rejected in contacts:
        health.record_contact_failure(10.0 + seconds, was_rejected)
    assert health.observed_silence_seconds() == pytest.approx(observed_seconds)
    assert health.rejects_connections is is_rejected
    health.mark_reachable(12.0)
    assert health.observed_silence_seconds() == 0.0
    assert not health.rejects_connections


def test_peer_report_does_not_replace_that_of_the_target():
    health = Health()
    health.record_slowness(12.0, 0.0)
    health.record_peer_slowness(2.0, 0.5)
    assert health.slowness(1.0) == 12.0
    assert health.slowness(10.0) == 1.0
    health.record_peer_slowness(2.0, 10.0)
    assert health.slowness(10.5) == 2.0
    assert not health.is_self_reported_slow(10.5)
