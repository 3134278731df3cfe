"""Interfaces to services of the platform, and HTTP clients for them."""

from apricotseam.external._engine import CacheEvent
from apricotseam.external._engine import EngineReport
from apricotseam.external._engine import HttpModelEngine
from apricotseam.external._engine import ModelEngine
from apricotseam.external._engine import Order
from apricotseam.external._engine import Step
from apricotseam.external._engine import StepResult
from apricotseam.external._engine import StreamPosition
from apricotseam.external._etcd import EtcdService
from apricotseam.external._hostlist import HostList
from apricotseam.external._hostlist import HttpHostList
from apricotseam.external._hostlist import LEAVING
from apricotseam.external._hostlist import ListedHost
from apricotseam.external._hostlist import LIVE
from apricotseam.external._keyvalue import KeyValueService
from apricotseam.external._keyvalue import VersionedValue
from apricotseam.external._weights import HttpWeightStore
from apricotseam.external._weights import LoadRoom
from apricotseam.external._weights import WeightStore

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
    "VersionedValue",
    "WeightStore",
]
