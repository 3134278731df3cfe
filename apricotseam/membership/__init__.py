"""Gossip-based group membership of the entry hosts."""

from apricotseam.membership._addresses import order_addresses
from apricotseam.membership._member import Facts
from apricotseam.membership._member import Health
from apricotseam.membership._member import Member
from apricotseam.membership._member import MemberState
from apricotseam.membership._member import MemberTable
from apricotseam.membership._membership import Membership
from apricotseam.membership._messages import MESSAGE_TYPES
from apricotseam.membership._ownership import Owners
from apricotseam.membership._ownership import Ownership
from apricotseam.membership._ownership import rendezvous_owner
from apricotseam.membership._ownership import rendezvous_score
from apricotseam.membership._readers import choose_readers
from apricotseam.membership._readers import reader_rank
from apricotseam.membership._ring import ring_position
from apricotseam.membership._service import MembershipChild
from apricotseam.membership._spread import DocumentReplicator

__all__ = [
    "Facts",
    "Health",
    "MESSAGE_TYPES",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "MembershipChild",
    "DocumentReplicator",
    "Owners",
    "Ownership",
    "choose_readers",
    "order_addresses",
    "reader_rank",
    "rendezvous_owner",
    "rendezvous_score",
    "ring_position",
]
