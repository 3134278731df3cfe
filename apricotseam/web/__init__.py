"""Thread-based HTTP server and client."""

from apricotseam.web._application import Application
from apricotseam.web._application import error_body
from apricotseam.web._application import ErrorBody
from apricotseam.web._application import Request
from apricotseam.web._application import Response
from apricotseam.web._client import HttpClient
from apricotseam.web._client import HttpResponse
from apricotseam.web._connections import UnreachableError
from apricotseam.web._listener import Listener
from apricotseam.web._ports import free_address

__all__ = [
    "Application",
    "ErrorBody",
    "HttpResponse",
    "HttpClient",
    "Listener",
    "Request",
    "Response",
    "UnreachableError",
    "error_body",
    "free_address",
]
