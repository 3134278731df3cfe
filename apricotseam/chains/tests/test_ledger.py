"""Bookings of this host and of its peers."""

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
