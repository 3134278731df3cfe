"""Choice of the host that a request passes through."""

import random
import types

import pytest

from apricotseam.membership import Member
from apricotseam.membership import MemberTable
from apricotseam.relay import RelayHosts

OWN = "10.0.0.0:1"


def make_member(number, zone, **fields):
    """Return a live member that takes requests of others."""
    settings = {"relay_address": f"10.0.0.{number}:3", **fields}
    return Member(
        name=f"h{number}",
        peers_address=f"10.0.0.{number}:1",
        callers_address=f"10.0.0.{number}:2",
        operators_address="",
        availability_zone=zone,
        incarnation=1,
        **settings,
    )


def make_hosts(members, silent=(), now=lambda: 0.0):
    """Return the `RelayHosts` of host 0 in zone ``a``."""
    table = MemberTable([make_member(0, "a"), *members], OWN)
    hosts = types.SimpleNamespace(table=table, own_address=OWN)
    silent_peers = {f"10.0.0.{number}:1" for number in silent}
    return RelayHosts(hosts, "a", lambda: silent_peers, now, random.Random(1))


# Description, zone and fields of the hosts 1, 2, ..., numbers of the silent
# ones, name of the chosen host.
CHOICES = [
    ("own zone", [("a", {}), ("b", {})], [], "h1"),
    ("cut off", [("a", {"lost_services": ("s",)}), ("b", {})], [], "h2"),
    ("other service", [("a", {"lost_services": ("t",)})], [], "h1"),
    ("leaving", [("a", {"is_leaving": True}), ("b", {})], [], "h2"),
    ("suspect", [("a", {"health": 1}), ("b", {})], [], "h2"),
    ("earlier version", [("a", {"relay_address": ""}), ("b", {})], [], "h2"),
    ("silent", [("a", {}), ("b", {})], [1], "h2"),
    ("nobody", [("a", {"lost_services": ("s",)})], [], None),
]


@pytest.mark.parametrize(
    ("others", "silent", "expected"),
    [case[1:] for case in CHOICES],
    ids=[case[0] for case in CHOICES],
)
def test_only_able_hosts_are_asked_those_of_the_own_zone_first(
    others, silent, expected
):
    members = [
        make_member(number, zone, **fields)
        for number, (zone, fields) in enumerate(others, 1)
    ]
    found = make_hosts(members, silent).choose("s")
    assert (found.name if found else None) == expected


def test_requests_are_spread_over_hosts_and_zones():
    members = [make_member(n, "a" if n < 3 else "b") for n in range(1, 6)]
    hosts = make_hosts(members)
    taken = {member.name: 0 for member in members}
    for _ in range(50):
        host = hosts.choose("s")
        hosts.begin(host)
        taken[host.name] += 1
    assert max(taken.values()) - min(taken.values()) <= 9
    assert taken["h1"] > taken["h3"] > 0


def test_another_zone_is_tried_after_a_host_has_declined():
    members = [make_member(1, "a"), make_member(2, "a"), make_member(3, "b")]
    hosts = make_hosts(members)
    first = hosts.choose("s")
    assert first.zone == "a"
    assert hosts.choose("s", [first]).zone == "b"


def test_host_that_failed_is_avoided_for_a_while():
    now = [0.0]
    hosts = make_hosts([make_member(1, "a")], now=lambda: now[0])
    hosts.avoid(hosts.choose("s"))
    assert hosts.choose("s") is None
    now[0] = 1.1
    assert hosts.choose("s").name == "h1"


@pytest.mark.parametrize(
    ("ip", "expected"), [("10.0.0.1", True), ("10.0.0.9", False), ("", False)]
)
def test_only_addresses_of_hosts_are_known(ip, expected):
    assert make_hosts([make_member(1, "b")]).is_known(ip) is expected


# Description, fields of the host now, whether it is silent, whether it failed.
FAILURES = [
    ("live", {}, [], False),
    ("cut off itself", {"lost_services": ("s",)}, [], False),
    ("dead", {"health": 2}, [], True),
    ("silent", {}, [1], True),
]


@pytest.mark.parametrize(
    ("fields", "silent", "expected"),
    [case[1:] for case in FAILURES],
    ids=[case[0] for case in FAILURES],
)
def test_host_under_way_is_looked_up_among_the_failed(
    fields, silent, expected
):
    host = make_hosts([make_member(1, "a")]).choose("s")
    hosts = make_hosts([make_member(1, "a", **fields)], silent)
    assert hosts.has_failed(host) is expected
