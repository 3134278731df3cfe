"""Interfaces to the platform: key-value service, host list, engines."""

from apricotseam.platform._engine import CacheEvent
from apricotseam.platform._engine import EngineReport
from apricotseam.platform._engine import HttpModelEngine
from apricotseam.platform._engine import ModelEngine
from apricotseam.platform._engine import Order
from apricotseam.platform._engine import Step
from apricotseam.platform._engine import StepResult
from apricotseam.platform._engine import StreamPosition
from apricotseam.platform._etcd import EtcdService
from apricotseam.platform._hostlist import HostList
from apricotseam.platform._hostlist import HttpHostList
from apricotseam.platform._hostlist import LEAVING
from apricotseam.platform._hostlist import ListedHost
from apricotseam.platform._hostlist import LIVE
from apricotseam.platform._keyvalue import KeyValueService
from apricotseam.platform._keyvalue import Versioned
from apricotseam.platform._weights import HttpWeightStore
from apricotseam.platform._weights import LoadRoom
from apricotseam.platform._weights import WeightStore

__all__ = [
    "CacheEvent",
    "EngineReport",
    "EtcdService",
    "HostList",
    "HttpHostList",
    "HttpModelEngine",
    "HttpWeightStore",
    "KeyValueService",
    "LEAVING",
    "LIVE",
    "ListedHost",
    "LoadRoom",
    "ModelEngine",
    "Order",
    "Step",
    "StepResult",
    "StreamPosition",
    "Versioned",
    "WeightStore",
]
