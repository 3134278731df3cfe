"""Wire formats of the platform around the router, and a client of its store.

Callers, targets and operators of the platform use these formats. The names
of headers, paths, store keys and JSON fields are defined here only. The
package translates between them and the records of the other packages and
makes no routing decisions.
"""

from apricotseam.platform._addresses import AddressQuery
from apricotseam.platform._addresses import decode_address_query
from apricotseam.platform._addresses import encode_addresses
from apricotseam.platform._addresses import MAX_ADDRESSES
from apricotseam.platform._addresses import READINESS_PATH
from apricotseam.platform._announcements import Announcement
from apricotseam.platform._announcements import decode_announcement
from apricotseam.platform._configuration import decode_configuration
from apricotseam.platform._instances import expected_target_headers
from apricotseam.platform._instances import is_answer_of
from apricotseam.platform._keys import CONFIGURATION_KEY
from apricotseam.platform._keys import ROUTER_PREFIX
from apricotseam.platform._keys import target_identity
from apricotseam.platform._keys import TARGETS_PREFIX
from apricotseam.platform._orders import decode_report
from apricotseam.platform._orders import format_chain
from apricotseam.platform._orders import ORDER_PATH
from apricotseam.platform._orders import OrderOutcome
from apricotseam.platform._orders import Placement
from apricotseam.platform._orders import REPORT_PATH
from apricotseam.platform._orders import Reroute
from apricotseam.platform._orders import Stage
from apricotseam.platform._orders import StalledRequest
from apricotseam.platform._orders import TargetReport
from apricotseam.platform._requests import decode_request_metadata
from apricotseam.platform._requests import decode_response_metadata
from apricotseam.platform._requests import forwarded_headers
from apricotseam.platform._requests import Forwarding
from apricotseam.platform._requests import refusal_headers
from apricotseam.platform._requests import RequestMetadata
from apricotseam.platform._requests import ResponseMetadata
from apricotseam.platform._requests import RETRY_AFTER_HEADER
from apricotseam.platform._requests import returned_headers
from apricotseam.platform._store import StoreClient
from apricotseam.platform._store import WATCH_MARGIN_SECONDS
from apricotseam.platform._store_errors import AnswerTooLargeError
from apricotseam.platform._store_errors import HistoryLostError
from apricotseam.platform._store_errors import LeaseEndedError
from apricotseam.platform._store_errors import StaleAnswerError
from apricotseam.platform._store_errors import StoreConflictError
from apricotseam.platform._store_errors import StoreError
from apricotseam.platform._store_records import Item
from apricotseam.platform._store_records import Lease
from apricotseam.platform._store_records import Listing
from apricotseam.platform._store_records import WatchResult
from apricotseam.platform._targets import decode_target

__all__ = [
    "AnswerTooLargeError",
    "ResponseMetadata",
    "CONFIGURATION_KEY",
    "RequestMetadata",
    "Forwarding",
    "HistoryLostError",
    "Item",
    "Lease",
    "LeaseEndedError",
    "Listing",
    "MAX_ADDRESSES",
    "ORDER_PATH",
    "ROUTER_PREFIX",
    "OrderOutcome",
    "Placement",
    "READINESS_PATH",
    "REPORT_PATH",
    "RETRY_AFTER_HEADER",
    "Reroute",
    "Stage",
    "StalledRequest",
    "StaleAnswerError",
    "StoreClient",
    "StoreConflictError",
    "StoreError",
    "TARGETS_PREFIX",
    "TargetReport",
    "WATCH_MARGIN_SECONDS",
    "WatchResult",
    "AddressQuery",
    "Announcement",
    "decode_announcement",
    "format_chain",
    "decode_address_query",
    "decode_response_metadata",
    "decode_request_metadata",
    "decode_configuration",
    "decode_report",
    "decode_target",
    "encode_addresses",
    "expected_target_headers",
    "is_answer_of",
    "forwarded_headers",
    "refusal_headers",
    "returned_headers",
    "target_identity",
]
