"""Choice of the host addresses that callers get."""

import types

import pytest

from apricotseam.membership import Member
from apricotseam.membership import MemberTable
from apricotseam.node._listeners import choose_addresses
from apricotseam.node._usage import SILENT_AFTER_SECONDS
from apricotseam.node._usage import UsageExchange
from apricotseam.node._zone_reports import FORGET_AFTER_SECONDS
from apricotseam.node._zone_reports import HostState

# Description, availability zone of each host (one letter each), numbers of
# the silent hosts, numbers of the hosts returned to a caller in zone ``a``.
CASES = [
    ("two hosts in the caller's zone", "aab", [], [0, 1]),
    ("one host in the caller's zone", "abb", [], [0, 1, 2]),
    ("silent host is left out", "aaab", [1], [0, 2]),
    ("only one host in the zone is not silent", "aab", [1], [0, 2]),
    ("all hosts are silent", "aab", [0, 1, 2], [0, 1]),
]


def make_member(number, zone, is_cut_off=False):
    """Return a live member."""
    return Member(
        lost_services=("s",) if is_cut_off else (),
        name=f"h{number}",
        peers_address=f"h{number}:1",
        callers_address=f"h{number}:2",
        operators_address="",
        availability_zone=zone,
        incarnation=1,
    )


@pytest.mark.parametrize(
    ("zones", "silent", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_addresses(zones, silent, expected):
    table = MemberTable([make_member(n, z) for n, z in enumerate(zones)])
    found = choose_addresses(table, "a", {f"h{n}:1" for n in silent})
    assert found == [f"h{n}:2" for n in expected]


# Description, zones, numbers of the hosts that are cut off, and of those that
# are returned.
CUT_OFF = [
    ("one of the zone", "aaab", [1], [0, 2]),
    ("all of the zone", "aabb", [0, 1], [2, 3]),
    ("all hosts", "aab", [0, 1, 2], [0, 1]),
]


# Guards against callers that are sent to hosts which reach no target.
@pytest.mark.parametrize(
    ("zones", "cut_off", "expected"),
    [case[1:] for case in CUT_OFF],
    ids=[case[0] for case in CUT_OFF],
)
def test_hosts_that_are_cut_off_are_left_out(zones, cut_off, expected):
    table = MemberTable(
        [make_member(n, z, n in cut_off) for n, z in enumerate(zones)]
    )
    found = choose_addresses(table, "a")
    assert found == [f"h{n}:2" for n in expected]


class AnyComponent:
    """Stub for any component that receives parts of a usage message."""

    def __getattr__(self, name):
        return AnyComponent()

    def __call__(self, *arguments):
        """Accept any call."""
        return None


def test_a_host_that_is_not_heard_any_more_is_silent():
    now = [0.0]
    hosts = types.SimpleNamespace(is_large=False, transport=AnyComponent())
    exchange = UsageExchange(hosts, AnyComponent(), "me", "a", lambda: now[0])
    state = HostState("h", "a", 1, {}, [], {}, [], {})
    found = []
    exchange._receive("h1:1", state)
    for seconds in (
        0.0,
        SILENT_AFTER_SECONDS + 0.1,
        FORGET_AFTER_SECONDS + 0.1,
    ):
        now[0] = seconds
        found.append(exchange.silent_peers())
    assert found == [set(), {"h1:1"}, set()]
