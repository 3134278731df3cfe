"""Which hosts receive a host's load, and which are zone delegates."""

import msgspec
import pytest

from apricotseam.coordination._hosts import REPUBLISH_SECONDS
from apricotseam.coordination._pushes import MAX_PUSHED_BYTES
from apricotseam.coordination import HostRecord
from apricotseam.coordination import Hosts
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.membership import MemberTable


class SilentTransport:
    """Transport that accepts handlers and sends nothing."""

    def handle(self, record_type, handler):
        """Ignore a handler."""

    def send(self, address, record):
        """Drop a message."""


def make_member(number, zones):
    """Return a member; zones are assigned in turn by number."""
    return Member(
        name=f"h{number}",
        peers_address=f"10.0.0.{number}:1",
        callers_address=f"10.0.0.{number}:2",
        operators_address="",
        availability_zone=f"z{number % zones}",
        incarnation=1,
    )


# Number of hosts, number of availability zones, least and greatest number of
# hosts that receive the load of one host.
FLEETS = [(1, 1, 0, 0), (8, 3, 7, 7), (25, 3, 24, 24), (90, 3, 29, 29)]


@pytest.mark.parametrize(("hosts", "zones", "least", "most"), FLEETS)
def test_audience(hosts, zones, least, most):
    members = [make_member(number, zones) for number in range(hosts)]
    own = Hosts(members[0], SilentTransport(), Facts, lambda: 0.0)
    own.table = MemberTable(members, members[0].peers_address)
    load_recipients = own.load_recipients
    assert least <= len(load_recipients) <= most
    assert members[0].peers_address not in load_recipients
    same_zone = {
        m.peers_address for m in members[1:] if m.availability_zone == "z0"
    }
    assert same_zone <= set(load_recipients)


# Case, number of hosts, number of availability zones, number of this host,
# whether it is the delegate of its zone, numbers of the delegates of the other
# zones.
DELEGATES = [
    ("small fleet", 8, 2, 0, False, [1, 3]),
    ("first of its zone", 90, 3, 0, True, [1, 10, 11, 14]),
    ("second of its zone", 90, 3, 3, False, [1, 10, 11, 14]),
    ("one zone", 90, 1, 0, True, []),
]


@pytest.mark.parametrize(
    ("hosts", "zones", "number", "is_delegate", "delegates"),
    [case[1:] for case in DELEGATES],
    ids=[case[0] for case in DELEGATES],
)
def test_delegates(hosts, zones, number, is_delegate, delegates):
    members = [make_member(n, zones) for n in range(hosts)]
    own = Hosts(members[number], SilentTransport(), Facts, lambda: 0.0)
    own.table = MemberTable(members, members[number].peers_address)
    assert own.is_delegate == is_delegate
    expected = [members[n].peers_address for n in delegates]
    assert sorted(own.other_zone_delegates) == sorted(expected)


# Case, links of hosts by number, the delegates of their zone, and whether the
# first one may push more than others.
LINKS = [
    ("one speed", {}, ["h0", "h12"], True),
    ("fast ones last", {30: 100.0, 87: 200.0}, ["h87", "h30"], True),
    ("all slow but one", {n: 7.0 for n in range(87)}, ["h87", "h0"], True),
    ("not all known", {30: 100.0, 60: 0.0}, ["h0", "h12"], False),
]


@pytest.mark.parametrize(
    ("links", "delegates", "may_push"),
    [case[1:] for case in LINKS],
    ids=[case[0] for case in LINKS],
)
def test_the_fastest_links_of_a_zone_carry_its_duties(
    links, delegates, may_push
):
    """Guards against CONFIG: a duty that takes the link of a slow host."""
    members = [
        msgspec.structs.replace(
            make_member(number, 3), link_mbps=links.get(number, 50.0)
        )
        for number in range(90)
    ]
    by_name = {member.name: member for member in members}
    limits = []
    for name in (delegates[0], delegates[1], "h3"):
        own = Hosts(by_name[name], SilentTransport(), Facts, lambda: 0.0)
        own.table = MemberTable(members, by_name[name].peers_address)
        expected = [by_name[d].peers_address for d in delegates]
        assert own.zone_delegates == expected
        limits.append(own.max_pushed_bytes)
    assert limits[1:] == [MAX_PUSHED_BYTES, MAX_PUSHED_BYTES]
    if may_push:
        assert limits[0] > MAX_PUSHED_BYTES


def test_only_hosts_that_state_a_link_are_sure_to_pack():
    members = [
        msgspec.structs.replace(make_member(n, 1), link_mbps=7.0 * (n % 2))
        for n in range(6)
    ]
    own = Hosts(members[0], SilentTransport(), Facts, lambda: 0.0)
    own.table = MemberTable(members, members[0].peers_address)
    chosen = own.choose_peers(6, must_pack=True)
    assert sorted(chosen) == [members[n].peers_address for n in (1, 3, 5)]
    assert len(own.choose_peers(6)) == 5


def test_records_are_published_again_once_all_hosts_are_upgraded():
    """Earlier versions pass records on without what they do not know."""
    now = [0.0]
    members = [
        msgspec.structs.replace(make_member(n, 1), link_mbps=7.0)
        for n in range(3)
    ]
    hosts = Hosts(members[0], SilentTransport(), Facts, lambda: now[0])
    sequences = []
    for old in ({1, 2}, {2}, set(), set()):
        hosts.table = MemberTable(
            [
                msgspec.structs.replace(m, link_mbps=0.0 if n in old else 7.0)
                for n, m in enumerate(members)
            ],
            members[0].peers_address,
        )
        hosts._republish_if_due()
        sequences.append(hosts._membership.own.sequence)
        now[0] += REPUBLISH_SECONDS / 2
    for _ in range(2):
        now[0] += REPUBLISH_SECONDS
        hosts._republish_if_due()
        sequences.append(hosts._membership.own.sequence)
    assert sequences == [0, 0, 0, 0, 1, 1]


@pytest.mark.parametrize("hosts", [90, 900])
def test_members_are_not_searched_again_before_the_table_changes(
    hosts, monkeypatch
):
    members = [make_member(number, 3) for number in range(hosts)]
    own = Hosts(members[0], SilentTransport(), Facts, lambda: 0.0)
    own.table = MemberTable(members, members[0].peers_address)
    searches = []
    present = MemberTable.present

    def count_search(table):
        searches.append(table)
        return present(table)

    monkeypatch.setattr(MemberTable, "present", count_search)
    for _ in range(15):
        own.load_recipients.clear()
        assert len(own.zone_delegates) == 2
    assert len(own.load_recipients) == hosts // 3 - 1
    own.unheard_delegates = {own.own_address}
    assert own.own_address not in own.zone_delegates
    assert len(searches) == 1
    own.table = MemberTable(members[:60], members[0].peers_address)
    assert len(own.load_recipients) == 19


# Seconds from the start that a record states until now, and whether the host
# counts as live.
STARTS = [(0.0, True), (8.0, True), (12.0, False), (-8.0, True), (-1e9, False)]


@pytest.mark.parametrize(("age_seconds", "is_live"), STARTS)
def test_listed_host_that_has_just_started(age_seconds, is_live):
    """Guards against hosts that count as live for good by a future start."""
    now_ms = 1_700_000_000_000
    own = make_member(0, 1)
    hosts = Hosts(own, SilentTransport(), Facts, lambda: 0.0)
    record = HostRecord(
        peers_address="10.0.0.1:1",
        callers_address="10.0.0.1:2",
        zone="z0",
        started_ms=int(now_ms - age_seconds * 1000),
    )
    hosts.add_listed({"h1": record}, now_ms)
    found = {m.name for m in hosts.table.live()} - {own.name}
    assert found == ({"h1"} if is_live else set())
