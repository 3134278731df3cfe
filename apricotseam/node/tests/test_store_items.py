"""Entries of hosts and targets in the store, also such as cannot be used."""

import types

import msgspec
import pytest

from apricotseam.coordination import HostRecord
from apricotseam.coordination import MirrorItem
from apricotseam.fleet import Fleet
from apricotseam.node._store_items import HOSTS_PREFIX
from apricotseam.node._store_items import StoreItemHandler
from apricotseam.platform import CONFIGURATION_KEY
from apricotseam.platform.standins import TargetStandIn
from apricotseam.platform import TARGETS_PREFIX
from apricotseam.positions import Position

# Number of registered hosts, spread over three availability zones; number of
# peers that should report their usage to a host of the first zone. Above 25
# hosts only peers of the same zone report.
CASES = [(0, 0), (1, 0), (8, 7), (25, 24), (26, 8), (90, 29)]


@pytest.mark.parametrize(("hosts", "peers"), CASES)
def test_peers_that_should_tell_their_usage(hosts, peers):
    handler = StoreItemHandler(None, lambda: False, lambda: 0.0)
    for number in range(hosts):
        record = HostRecord(
            peers_address=f"h{number}:1",
            callers_address=f"h{number}:2",
            zone=f"z{number % 3}",
            started_ms=1,
        )
        value = msgspec.json.encode(record)
        key = f"{HOSTS_PREFIX}h{number}"
        handler.apply(MirrorItem(key, value, Position(number + 1)))
    assert handler.count_peers("z0") == peers


# Guards against an entry of another program that stops the updates of others.
@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"{}", b'{"x":' + b"[" * 100_000], ids=range(4)
)
def test_unusable_entry_removes_its_target_only(value):
    fleet = Fleet()
    context = types.SimpleNamespace(fleet=fleet, table=None)
    handler = StoreItemHandler(context, lambda: False, lambda: 0.0)
    for number, identity in enumerate(["p1", "p2"]):
        entry = TargetStandIn(identity, f"10.0.0.1:{80 + number}").entry()
        key = TARGETS_PREFIX + identity
        handler.apply(MirrorItem(key, entry, Position(number + 1)))
    kept = fleet.get("p2")
    handler.apply(MirrorItem(TARGETS_PREFIX + "p1", value, Position(3)))
    assert list(fleet) == [kept]
    assert kept.accepts_requests


# Services that the configuration names before and after an entry of another
# program, with the address of a target of "plain"; whose target is used there.
ENTRIES = [
    (["plain"], ["plain"], "p1"),
    (["plain"], ["plain", "later"], "odd"),
    (["plain", "later"], ["plain", "later"], "odd"),
]


@pytest.mark.parametrize(("before", "after", "used"), ENTRIES)
def test_entry_of_an_unknown_service_takes_no_address(before, after, used):
    """Guards against sound targets that an odd entry takes out of use."""
    fleet = Fleet()
    context = types.SimpleNamespace(fleet=fleet, table=None)
    handler = StoreItemHandler(context, lambda: False, lambda: 0.0)
    target = TargetStandIn("p1", "10.0.0.1:80")
    odd = target.entry().replace(b'"plain"', b'"later"')
    values = [
        (CONFIGURATION_KEY, services_document(1, before)),
        (TARGETS_PREFIX + "p1", target.entry()),
        (TARGETS_PREFIX + "odd", odd),
        (CONFIGURATION_KEY, services_document(2, after)),
    ]
    for number, (key, value) in enumerate(values):
        handler.apply(MirrorItem(key, value, Position(number + 1)))
    assert [t.identity for t in fleet] == [used]


def services_document(version, services):
    """Return a configuration that names services."""
    return msgspec.json.encode(
        {"Version": version, "Services": [{"Name": n} for n in services]}
    )
