"""Number of hosts that one host exchanges messages with regularly."""

import pytest

from apricotseam.coordination import Hosts
from apricotseam.membership import Member
from apricotseam.peers._channels import MAX_CHANNELS

# Number of hosts and of availability zones.
FLEETS = [(6, 3), (25, 3), (30, 5), (86, 4), (195, 5), (300, 5)]


class Transport:
    """Accepts handlers and sends nothing."""

    def handle(self, record_type, handler, *answer_types):
        """Accept a handler."""


def make_member(number, zones):
    """Return the record of a host."""
    return Member(
        name=f"host-{number:04d}",
        peers_address=f"10.0.{number // 250}.{number % 250}:7340",
        callers_address=f"10.0.{number // 250}.{number % 250}:8227",
        operators_address="",
        availability_zone=f"zone-{number % zones}",
        incarnation=1,
    )


def make_hosts(number, members):
    """Return the `Hosts` of one member that knows all others."""
    hosts = Hosts(members[number], Transport(), lambda: None, lambda: 0.0)
    for member in members:
        hosts._membership._records.merge(member, 0.0)
    hosts._publish()
    return hosts


@pytest.mark.parametrize(("count", "zones"), FLEETS)
def test_regular_contacts_fit_in_the_connections_of_a_host(count, zones):
    """The first host of a zone, its delegate and reader, has most of them."""
    members = [make_member(number, zones) for number in range(count)]
    for number in (0, count - 1):
        hosts = make_hosts(number, members)
        contacts = {*hosts.partners, *hosts.load_recipients}
        if hosts.is_large:
            contacts |= set(hosts.other_zone_delegates)
        assert len(contacts) <= MAX_CHANNELS
