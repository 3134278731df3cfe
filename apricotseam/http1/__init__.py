"""HTTP/1.1 client and server for asyncio, with `h11` as the parser."""

from apricotseam.http1._answer_budget import AnswerBudget
from apricotseam.http1._budget import ClientBounds
from apricotseam.http1._budget import ConnectionBudget
from apricotseam.http1._budget import NoBudget
from apricotseam.http1._client import connect
from apricotseam.http1._client import Connection
from apricotseam.http1._client import ResponseHead
from apricotseam.http1._errors import BodyTooLargeError
from apricotseam.http1._errors import ConnectError
from apricotseam.http1._errors import InterruptedReadError
from apricotseam.http1._errors import LostConnectionError
from apricotseam.http1._errors import MalformedAnswerError
from apricotseam.http1._errors import RefusedConnectionError
from apricotseam.http1._errors import TransportError
from apricotseam.http1._errors import TransportTimeoutError
from apricotseam.http1._exchange import EndCause
from apricotseam.http1._exchange import Exchange
from apricotseam.http1._limits import Limits
from apricotseam.http1._message import end_to_end_headers
from apricotseam.http1._message import Request
from apricotseam.http1._pool import ConnectionPool
from apricotseam.http1._server import Server
from apricotseam.http1._sockets import ACCEPTED_AT_ONCE
from apricotseam.http1._sockets import allow_pending
from apricotseam.http1._sockets import enable_keepalive
from apricotseam.http1._sockets import open_listener
from apricotseam.http1._sse import Event
from apricotseam.http1._sse import EventSplitter

__all__ = [
    "AnswerBudget",
    "BodyTooLargeError",
    "ClientBounds",
    "ConnectionBudget",
    "NoBudget",
    "ResponseHead",
    "ConnectError",
    "Connection",
    "EndCause",
    "Event",
    "EventSplitter",
    "Exchange",
    "InterruptedReadError",
    "Limits",
    "LostConnectionError",
    "MalformedAnswerError",
    "ConnectionPool",
    "RefusedConnectionError",
    "Request",
    "Server",
    "TransportError",
    "TransportTimeoutError",
    "connect",
    "end_to_end_headers",
    "ACCEPTED_AT_ONCE",
    "allow_pending",
    "enable_keepalive",
    "open_listener",
]
