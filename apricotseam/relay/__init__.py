"""Requests that pass through another host because this one is cut off."""

from apricotseam.relay._hop import declined_cause
from apricotseam.relay._hop import DECLINED_HEADER
from apricotseam.relay._hop import MAX_HOP_BYTES
from apricotseam.relay._hop import relayed_headers
from apricotseam.relay._hop import RelayHop
from apricotseam.relay._hop import take_hop
from apricotseam.relay._hosts import RelayHost
from apricotseam.relay._hosts import RelayHosts

__all__ = [
    "DECLINED_HEADER",
    "MAX_HOP_BYTES",
    "RelayHop",
    "RelayHost",
    "RelayHosts",
    "declined_cause",
    "relayed_headers",
    "take_hop",
]
