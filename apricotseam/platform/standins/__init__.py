"""In-process stand-ins for the platform, used by tests and soak runs."""

from apricotseam.platform.standins._callers import address_query_path
from apricotseam.platform.standins._callers import caller_headers
from apricotseam.platform.standins._callers import decode_addresses
from apricotseam.platform.standins._configuration import CUSTOMER
from apricotseam.platform.standins._configuration import ENGINE_SERVICE
from apricotseam.platform.standins._configuration import HOST
from apricotseam.platform.standins._configuration import KEY
from apricotseam.platform.standins._configuration import LAYERS
from apricotseam.platform.standins._configuration import PLAIN_SERVICE
from apricotseam.platform.standins._configuration import sample_configuration
from apricotseam.platform.standins._configuration import sample_route
from apricotseam.platform.standins._store import StoreStandIn
from apricotseam.platform.standins._target import TargetStandIn

__all__ = [
    "CUSTOMER",
    "HOST",
    "KEY",
    "LAYERS",
    "StoreStandIn",
    "TargetStandIn",
    "address_query_path",
    "decode_addresses",
    "sample_configuration",
    "caller_headers",
    "ENGINE_SERVICE",
    "PLAIN_SERVICE",
    "sample_route",
]
