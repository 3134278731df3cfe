"""Which addresses callers are told."""

import types

import pytest

from apricotseam.membership import Member
from apricotseam.membership import MemberTable
from apricotseam.node._listeners import choose_addresses
from apricotseam.node._usage import FORGOTTEN_SECONDS
from apricotseam.node._usage import HostState
from apricotseam.node._usage import SILENT_SECONDS
from apricotseam.node._usage import UsageSpread

# Availability zones of the hosts, those silent, those told to zone ``a``.
CASES = [
    ("own zone", "aab", [], [0, 1]),
    ("too few in it", "abb", [], [0, 1, 2]),
    ("one is silent", "aaab", [1], [0, 2]),
    ("too few are left", "aab", [1], [0, 2]),
    ("all are silent", "aab", [0, 1, 2], [0, 1]),
]


def make_member(number, zone):
    """Return a live member."""
    return Member(
        name=f"h{number}",
        peers_address=f"h{number}:1",
        callers_address=f"h{number}:2",
        operators_address="",
        availability_zone=zone,
        incarnation=1,
    )


@pytest.mark.parametrize(
    ("zones", "silent", "told"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_addresses(zones, silent, told):
    table = MemberTable([make_member(n, z) for n, z in enumerate(zones)])
    found = choose_addresses(table, "a", {f"h{n}:1" for n in silent})
    assert found == [f"h{n}:2" for n in told]


class Parts:
    """Stands for all parts that a message on usage is given to."""

    def __getattr__(self, name):
        return Parts()

    def __call__(self, *arguments):
        """Take anything."""
        return None


def test_a_host_that_is_not_heard_any_more_is_silent():
    now = [0.0]
    hosts = types.SimpleNamespace(is_large=False, transport=Parts())
    spread = UsageSpread(hosts, Parts(), "me", "a", lambda: now[0])
    state = HostState("h", "a", 1, {}, [], {}, [], {})
    found = []
    spread._receive("h1:1", state)
    for seconds in (0.0, SILENT_SECONDS + 0.1, FORGOTTEN_SECONDS + 0.1):
        now[0] = seconds
        found.append(spread.silent_peers())
    assert found == [set(), {"h1:1"}, set()]
