"""Accounting of the bookings of this host and the usage by its peers."""

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage


def test_own_and_peers_bookings_add_up():
    ledger = Ledger()
    booking = ledger.book(100.0, [("a", 10), ("b", 5)])
    ledger.update_peer(PeerUsage("h2", 1, {"a": Usage(500.0, 2)}), 0.0)
    assert ledger.used_units("a") == 1500.0
    assert ledger.running("a") == 3
    ledger.release(booking)
    ledger.release(booking)
    assert ledger.used_units("a") == 500.0
    assert ledger.used_units("b") == 0.0


def test_older_message_of_a_peer_is_dropped():
    ledger = Ledger()
    ledger.update_peer(PeerUsage("h2", 2, {"a": Usage(7.0, 1)}), 0.0)
    ledger.update_peer(PeerUsage("h2", 1, {"a": Usage(9.0, 1)}), 0.1)
    assert ledger.used_units("a") == 7.0


def test_silent_peer_is_forgotten():
    ledger = Ledger()
    ledger.update_peer(PeerUsage("h2", 1, {"a": Usage(7.0, 1)}), 0.0)
    ledger.expire(3.9)
    assert ledger.running("a") == 1
    ledger.expire(4.0)
    assert ledger.running("a") == 0


def test_release_and_peer_usage_are_notified():
    notifications = []
    ledger = Ledger(notifications.append)
    ledger.release(ledger.book(1.0, [("a", 1)]))
    ledger.update_peer(PeerUsage("h2", 1, {}), 0.0)
    assert notifications == [True, False]


# Description, number of expected peers, hosts that have sent their usage, and
# the resulting usage in units.
PEER_CASES = [
    ("no peer has reported", 9, [], 200.0),
    ("some peers have reported", 9, ["h1", "h2"], 160.0),
    ("all peers have reported", 2, ["h1", "h2"], 20.0),
    ("more peers than expected", 1, ["h1", "h2"], 20.0),
]


@pytest.mark.parametrize(
    ("expected", "reporting_hosts", "units"),
    [case[1:] for case in PEER_CASES],
    ids=[case[0] for case in PEER_CASES],
)
def test_peers_without_a_report_count_as_this_host(
    expected, reporting_hosts, units
):
    """Otherwise, hosts that start together all choose the same chain."""
    ledger = Ledger(expected_peers=lambda: expected)
    ledger.update_peer(PeerUsage("zone b", 1, {}, hosts=0), 0.0)
    for name in reporting_hosts:
        ledger.update_peer(PeerUsage(name, 1, {}), 0.0)
    ledger.book(10.0, [("a", 2)])
    assert ledger.used_units("a") == units
