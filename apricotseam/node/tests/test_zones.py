"""Usage totals of zones, between delegates and on to their hosts."""

import pytest

from apricotseam.chains import Ledger
from apricotseam.chains import Usage
from apricotseam.fleet import Fleet
from apricotseam.fleet import PaceNotice
from apricotseam.fleet import TargetRecord
from apricotseam.node._limit_notices import LimitNotice
from apricotseam.node._restarts import Restarts
from apricotseam.node._trait_notices import TraitNotice
from apricotseam.node._zone_reports import LeavingNotice
from apricotseam.node._zones import ZoneState
from apricotseam.node._zones import ZoneUsageExchange
from apricotseam.sharing import DemandCount


class FakeHosts:
    """Fake view of the fleet that records the messages sent."""

    def __init__(self, is_delegate):
        self.is_delegate = is_delegate
        self.other_zone_delegates = ["b:1", "b:2"]
        self.load_recipients = ["a:2", "a:3"]
        self.transport = self
        self.sent = []
        self.handler = None

    def handle(self, message_type, handler):
        """Record the handler."""
        self.handler = handler

    def send_all(self, addresses, message):
        """Record a message for each address."""
        self.sent.extend((address, message) for address in addresses)


class FakeNotices:
    """Notices of this zone, and those that came from other zones."""

    def __init__(self, known):
        self._known = known
        self.noticed = {}

    def known(self, is_large=False):
        """Return the notices of this zone."""
        return self._known

    def apply(self, notices):
        """Record the notices of another zone."""
        self.noticed.update(notices)


class FakeUsageExchange:
    """Exchange within a zone with one suspect and one leaving target."""

    def __init__(self, uses_reports):
        self.uses_reports = uses_reports
        self.noticed = []
        self.noticed_leaving = {}
        self.noticed_demand = {}
        self.limit_notices = FakeNotices(
            {"limited-here": LimitNotice(1, 2.5, 0.5)}
        )
        self.trait_notices = FakeNotices({"part/here": TraitNotice([], 0.5)})
        fleet = Fleet()
        self.restarts = Restarts(fleet, lambda: 0.0)
        fleet.on_restart = self.restarts.record
        for born_ms in (4, 5):
            fleet.update(
                TargetRecord(
                    identity="restarted-here",
                    service="s",
                    address="10.0.0.1:1",
                    zone="a",
                    born_ms=born_ms,
                )
            )
        self.pace_notices = FakeNotices(
            {"paced-here": PaceNotice(1, 40.0, False, 0.5)}
        )

    def leaving_targets(self):
        """Return the leaving target."""
        return {"leaving-here": LeavingNotice(1, 0.5)}

    def notice_leaving(self, leaving):
        """Record leaving targets of another zone."""
        self.noticed_leaving.update(leaving)

    def suspects(self):
        """Return the suspect target."""
        return ["silent-here"]

    def zone_demand(self):
        """Return the demand of the zone."""
        return {"here": DemandCount(1.0)}

    def notice_demand(self, zone, counts):
        """Record the demand of another zone."""
        self.noticed_demand[zone] = counts

    def notice_other_zone(self, zone, suspects):
        """Record suspects of another zone."""
        self.noticed.extend(suspects)


def make_state(zone, sender, number, units):
    """Return a message about a used, a suspect and a leaving target."""
    usages = {"t": Usage(units, 1)}
    leaving = {"leaving-there": LeavingNotice(2, 1.5)}
    return ZoneState(
        zone,
        sender,
        number,
        usages,
        ["silent-there"],
        leaving,
        traits={"part/there": TraitNotice([], 1.5)},
        demand={"there": DemandCount(2.0)},
        paces={"paced-there": PaceNotice(2, 80.0, True, 0.2)},
    )


# Description, whether this host knows the other zones by the reports of its
# zone's delegates, fields of the messages that it gets, units in use on the
# target afterwards.
CASES = [
    ("delegate", False, [("b", "x", 1, 50.0)], 50.0),
    ("known by reports", True, [("b", "x", 1, 50.0)], 0.0),
    ("message from this host's zone", False, [("a", "x", 1, 50.0)], 0.0),
    (
        "message that arrives late",
        False,
        [("b", "x", 2, 50.0), ("b", "x", 1, 90.0)],
        50.0,
    ),
    (
        "new delegate starts its numbers at 1",
        False,
        [("b", "x", 9, 50.0), ("b", "y", 1, 20.0)],
        20.0,
    ),
    (
        "messages of two zones",
        False,
        [("b", "x", 1, 50.0), ("c", "z", 1, 7.0)],
        57.0,
    ),
]


@pytest.mark.parametrize(
    ("uses_reports", "messages", "expected_units"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_totals_of_other_zones(uses_reports, messages, expected_units):
    hosts = FakeHosts(True)
    ledger = Ledger()
    exchange = FakeUsageExchange(uses_reports)
    ZoneUsageExchange(hosts, ledger, "me", "a", lambda: 0.0, exchange)
    for fields in messages:
        hosts.handler("b:1", make_state(*fields))
    assert ledger.used_units("t") == expected_units
    assert not hosts.sent


def test_total_of_a_zone_excludes_other_zones():
    ledger = Ledger()
    ledger.book(10.0, [("t", 2)])
    hosts = FakeHosts(True)
    usage_exchange = FakeUsageExchange(False)
    exchange = ZoneUsageExchange(
        hosts, ledger, "me", "a", lambda: 0.0, usage_exchange
    )
    hosts.handler("b:1", make_state("b", "x", 1, 50.0))
    hosts.sent.clear()
    exchange._send()
    address, message = hosts.sent[0]
    assert message.usages == {"t": Usage(20, 1)}
    assert message.suspects == ["silent-here"]
    assert message.leaving == {"leaving-here": LeavingNotice(1, 0.5)}
    assert usage_exchange.noticed == ["silent-there"]
    leaving = {"leaving-there": LeavingNotice(2, 1.5)}
    assert usage_exchange.noticed_leaving == leaving
    assert message.limits == {"limited-here": LimitNotice(1, 2.5, 0.5)}
    assert message.restarts == {"restarted-here": 5}
    assert message.traits == {"part/here": TraitNotice([], 0.5)}
    traits = {"part/there": TraitNotice([], 1.5)}
    assert usage_exchange.trait_notices.noticed == traits
    assert message.demand == {"here": DemandCount(1.0)}
    assert usage_exchange.noticed_demand == {"b": {"there": DemandCount(2.0)}}
    assert message.paces == {"paced-here": PaceNotice(1, 40.0, False, 0.5)}
    paces = {"paced-there": PaceNotice(2, 80.0, True, 0.2)}
    assert usage_exchange.pace_notices.noticed == paces
    assert ledger.used_units("t") == 70.0
