"""Membership of entry hosts."""

from apricotseam.membership._addresses import order_addresses
from apricotseam.membership._member import Health
from apricotseam.membership._member import Member
from apricotseam.membership._member import MemberState
from apricotseam.membership._member import MemberTable
from apricotseam.membership._membership import Membership
from apricotseam.membership._ring import ring_position
from apricotseam.membership._service import MembershipChild

__all__ = [
    "Health",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "MembershipChild",
    "order_addresses",
    "ring_position",
]
