"""HTTP stand-ins for engines, services and other external systems.

They listen on real sockets and can be told to fail in defined ways.
"""

from apricotseam.standins._engine import EngineStandIn
from apricotseam.standins._enginerecords import EngineOptions
from apricotseam.standins._faults import FaultOrder
from apricotseam.standins._faults import Faults
from apricotseam.standins._hostlist import HostListStandIn
from apricotseam.standins._keyvalue import KeyValueStandIn
from apricotseam.standins._model import reference_answer
from apricotseam.standins._server import StandIn
from apricotseam.standins._service import ServiceStandIn
from apricotseam.standins._weights import WeightStoreStandIn

__all__ = [
    "EngineOptions",
    "EngineStandIn",
    "FaultOrder",
    "Faults",
    "HostListStandIn",
    "KeyValueStandIn",
    "ServiceStandIn",
    "StandIn",
    "WeightStoreStandIn",
    "reference_answer",
]
