"""Forwards callers' requests to targets, with retries and refusals."""

from apricotseam.forwarding._call import Call
from apricotseam.forwarding._choice import Choice
from apricotseam.forwarding._choice import TargetSelector
from apricotseam.forwarding._gateway import ForwardingContext
from apricotseam.forwarding._gateway import Gateway
from apricotseam.forwarding._gateway import PeerViews
from apricotseam.forwarding._metrics import RequestMetrics
from apricotseam.forwarding._permits import SendPermits
from apricotseam.forwarding._probes import TargetProber
from apricotseam.forwarding._quarantine_gate import Trials
from apricotseam.forwarding._relay_receiver import RelayReceiver
from apricotseam.forwarding._request_queue import RequestQueue
from apricotseam.forwarding._retry_budget import HostRetryBudget
from apricotseam.forwarding._retry_budget import RepeatCount

__all__ = [
    "Call",
    "Choice",
    "TargetSelector",
    "Gateway",
    "TargetProber",
    "PeerViews",
    "RelayReceiver",
    "RepeatCount",
    "RequestMetrics",
    "HostRetryBudget",
    "ForwardingContext",
    "RequestQueue",
    "SendPermits",
    "Trials",
]
