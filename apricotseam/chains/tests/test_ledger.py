"""Bookings of this host and of its peers."""

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage


def test_own_and_peers_bookings_add_up():
    ledger = Ledger()
    booking = ledger.book(100.0, [("a", 10), ("b", 5)])
    ledger.take_peer(PeerUsage("h2", 1, {"a": Usage(500.0, 2)}), 0.0)
    assert ledger.used_units("a") == 1500.0
    assert ledger.running("a") == 3
    ledger.release(booking)
    ledger.release(booking)
    assert ledger.used_units("a") == 500.0
    assert ledger.used_units("b") == 0.0


def test_older_message_of_a_peer_is_dropped():
    ledger = Ledger()
    ledger.take_peer(PeerUsage("h2", 2, {"a": Usage(7.0, 1)}), 0.0)
    ledger.take_peer(PeerUsage("h2", 1, {"a": Usage(9.0, 1)}), 0.1)
    assert ledger.used_units("a") == 7.0


def test_silent_peer_is_forgotten():
    ledger = Ledger()
    ledger.take_peer(PeerUsage("h2", 1, {"a": Usage(7.0, 1)}), 0.0)
    ledger.expire(3.9)
    assert ledger.running("a") == 1
    ledger.expire(4.0)
    assert ledger.running("a") == 0


def test_room_that_comes_free_is_told():
    told = []
    ledger = Ledger(told.append)
    ledger.release(ledger.book(1.0, [("a", 1)]))
    ledger.take_peer(PeerUsage("h2", 1, {}), 0.0)
    assert told == [True, False]


# Peers that there should be, peers heard, units that count.
FLEETS = [
    ("just started", 9, [], 200.0),
    ("some heard", 9, ["h1", "h2"], 160.0),
    ("all heard", 2, ["h1", "h2"], 20.0),
    ("more than expected", 1, ["h1", "h2"], 20.0),
]


@pytest.mark.parametrize(
    ("expected", "heard", "units"),
    [case[1:] for case in FLEETS],
    ids=[case[0] for case in FLEETS],
)
def test_peers_that_were_not_heard_count_as_this_host(expected, heard, units):
    """Hosts that start together would else all choose the same chain."""
    ledger = Ledger(expected_peers=lambda: expected)
    ledger.take_peer(PeerUsage("zone b", 1, {}, True), 0.0)
    for name in heard:
        ledger.take_peer(PeerUsage(name, 1, {}), 0.0)
    ledger.book(10.0, [("a", 2)])
    assert ledger.used_units("a") == units
