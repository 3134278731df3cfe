"""In-process stand-ins for the platform, used by tests and soak runs."""

from apricotseam.platform.standins._callers import address_query_path
from apricotseam.platform.standins._callers import caller_headers
from apricotseam.platform.standins._callers import decode_addresses
from apricotseam.platform.standins._callers import prompt_changes
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
from apricotseam.platform.standins._target_side import decode_forwarded_request
from apricotseam.platform.standins._target_side import decode_order
from apricotseam.platform.standins._target_side import encode_report
from apricotseam.platform.standins._target_side import generation_headers
from apricotseam.platform.standins._target_side import limit_headers
from apricotseam.platform.standins._target_side import not_run_headers
from apricotseam.platform.standins._target_side import signed_headers

__all__ = [
    "CUSTOMER",
    "HOST",
    "KEY",
    "LAYERS",
    "StoreStandIn",
    "TargetStandIn",
    "address_query_path",
    "prompt_changes",
    "decode_addresses",
    "decode_forwarded_request",
    "decode_order",
    "encode_report",
    "generation_headers",
    "limit_headers",
    "not_run_headers",
    "signed_headers",
    "sample_configuration",
    "caller_headers",
    "ENGINE_SERVICE",
    "PLAIN_SERVICE",
    "sample_route",
]
