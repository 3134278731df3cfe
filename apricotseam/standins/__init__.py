"""Small stand-ins of the platform's parts, with real sockets."""

from apricotseam.standins._engine import EngineStandIn
from apricotseam.standins._enginerecords import EngineOptions
from apricotseam.standins._faults import FaultOrder
from apricotseam.standins._faults import Faults
from apricotseam.standins._hostlist import HostListStandIn
from apricotseam.standins._keyvalue import KeyValueStandIn
from apricotseam.standins._model import reference_answer
from apricotseam.standins._server import StandIn
from apricotseam.standins._service import ServiceStandIn
from apricotseam.standins._users_configuration import CUSTOMER
from apricotseam.standins._users_configuration import HOST
from apricotseam.standins._users_configuration import KEY
from apricotseam.standins._users_configuration import LAYERS
from apricotseam.standins._users_configuration import users_configuration
from apricotseam.standins._users_configuration import users_headers
from apricotseam.standins._users_configuration import users_route
from apricotseam.standins._users_store import UsersStore
from apricotseam.standins._users_target import UsersTarget
from apricotseam.standins._weights import WeightStoreStandIn

__all__ = [
    "CUSTOMER",
    "EngineOptions",
    "EngineStandIn",
    "FaultOrder",
    "Faults",
    "HOST",
    "HostListStandIn",
    "KEY",
    "KeyValueStandIn",
    "LAYERS",
    "ServiceStandIn",
    "StandIn",
    "UsersStore",
    "UsersTarget",
    "WeightStoreStandIn",
    "reference_answer",
    "users_configuration",
    "users_headers",
    "users_route",
]
