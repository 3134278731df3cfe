"""Coordination of hosts: copies of the store's items, membership, election."""

from apricotseam.coordination._election import Election
from apricotseam.coordination._hosts import Hosts
from apricotseam.coordination._hosts import is_large_fleet
from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import decode_host_record
from apricotseam.coordination._messages import HostRecord
from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._messages import PackedChanges
from apricotseam.coordination._messages import PackedPush
from apricotseam.coordination._messages import Push
from apricotseam.coordination._mirror import EraChange
from apricotseam.coordination._mirror import Mirror
from apricotseam.coordination._peer_changes import PeerChanges
from apricotseam.coordination._permits import PermitAnswer
from apricotseam.coordination._permits import PermitIssuer
from apricotseam.coordination._permits import PermitRequest
from apricotseam.coordination._registration import Registration
from apricotseam.coordination._suspension import SuspensionDetector
from apricotseam.coordination._synchronizer import MirrorSynchronizer

__all__ = [
    "Changes",
    "Election",
    "EraChange",
    "HostRecord",
    "Hosts",
    "Mirror",
    "MirrorItem",
    "MirrorSynchronizer",
    "PackedChanges",
    "PackedPush",
    "PeerChanges",
    "PermitAnswer",
    "PermitIssuer",
    "PermitRequest",
    "Push",
    "Registration",
    "SuspensionDetector",
    "decode_host_record",
    "is_large_fleet",
]
