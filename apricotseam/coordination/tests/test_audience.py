"""Which hosts hear of a host's load."""

import pytest

from apricotseam.coordination import Hosts
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.membership import MemberTable


class SilentTransport:
    """Takes handlers and sends nothing."""

    def handle(self, record_type, handler):
        """Take a handler."""

    def send(self, address, record):
        """Drop a message."""


def make_member(number, zones):
    """Return a member of one of some availability zones."""
    return Member(
        name=f"h{number}",
        peers_address=f"10.0.0.{number}:1",
        callers_address=f"10.0.0.{number}:2",
        operators_address="",
        availability_zone=f"z{number % zones}",
        incarnation=1,
    )


# Hosts, availability zones, the least and the most that hear of one.
FLEETS = [(1, 1, 0, 0), (8, 3, 7, 7), (25, 3, 24, 24), (90, 3, 29, 45)]


@pytest.mark.parametrize(("hosts", "zones", "least", "most"), FLEETS)
def test_audience(hosts, zones, least, most):
    members = [make_member(number, zones) for number in range(hosts)]
    own = Hosts(members[0], SilentTransport(), Facts, lambda: 0.0)
    own.table = MemberTable(members, members[0].peers_address)
    audience = own.audience
    assert least <= len(audience) <= most
    assert members[0].peers_address not in audience
    near = {
        m.peers_address for m in members[1:] if m.availability_zone == "z0"
    }
    assert near <= set(audience)
