"""Sums of availability zones, from delegate to delegate and on."""

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import Usage
from apricotseam.node._zones import ZoneSpread
from apricotseam.node._zones import ZoneState


class FakeHosts:
    """A view of a fleet that notes what is sent."""

    def __init__(self, is_delegate):
        self.is_delegate = is_delegate
        self.foreign_delegates = ["b:1", "b:2"]
        self.audience = ["a:2", "a:3"]
        self.transport = self
        self.sent = []
        self.handler = None

    def handle(self, message_type, handler):
        """Take the handler."""
        self.handler = handler

    def send_all(self, addresses, message):
        """Note a message for each address."""
        self.sent.extend((address, message) for address in addresses)


def told(zone, sender, number, units):
    """Return a message on one target."""
    return ZoneState(zone, sender, number, {"t": Usage(units, 1)})


# Whether this host is a delegate, messages, units that count at last,
# addresses that the messages are passed on to.
CASES = [
    ("delegate", True, [("b", "x", 1, 50.0)], 50.0, ["a:2", "a:3"]),
    ("other host", False, [("b", "x", 1, 50.0)], 50.0, []),
    ("own zone", True, [("a", "x", 1, 50.0)], 0.0, []),
    (
        "late message",
        False,
        [("b", "x", 2, 50.0), ("b", "x", 1, 90.0)],
        50.0,
        [],
    ),
    (
        "another delegate",
        False,
        [("b", "x", 9, 50.0), ("b", "y", 1, 20.0)],
        20.0,
        [],
    ),
    ("two zones", False, [("b", "x", 1, 50.0), ("c", "z", 1, 7.0)], 57.0, []),
]


@pytest.mark.parametrize(
    ("is_delegate", "messages", "units", "passed_on"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_sums_of_other_zones(is_delegate, messages, units, passed_on):
    hosts = FakeHosts(is_delegate)
    ledger = Ledger()
    ZoneSpread(hosts, ledger, "me", "a", lambda: 0.0)
    for fields in messages:
        hosts.handler("b:1", told(*fields))
    assert ledger.used_units("t") == units
    assert [address for address, _ in hosts.sent] == passed_on


def test_a_sum_holds_no_sums_of_others():
    ledger = Ledger()
    ledger.book(10.0, [("t", 2)])
    hosts = FakeHosts(True)
    spread = ZoneSpread(hosts, ledger, "me", "a", lambda: 0.0)
    hosts.handler("b:1", told("b", "x", 1, 50.0))
    hosts.sent.clear()
    spread._send()
    address, message = hosts.sent[0]
    assert message.usages == {"t": Usage(20, 1)}
    assert ledger.used_units("t") == 70.0
