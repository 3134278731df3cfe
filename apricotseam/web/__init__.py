"""HTTP listener and client shared by every part that speaks HTTP."""

from apricotseam.web._application import Application
from apricotseam.web._application import error_body
from apricotseam.web._application import ErrorBody
from apricotseam.web._application import Request
from apricotseam.web._application import Response
from apricotseam.web._client import HttpAnswer
from apricotseam.web._client import HttpClient
from apricotseam.web._connections import UnreachableError
from apricotseam.web._listener import Listener
from apricotseam.web._ports import free_address

__all__ = [
    "Application",
    "ErrorBody",
    "HttpAnswer",
    "HttpClient",
    "Listener",
    "Request",
    "Response",
    "UnreachableError",
    "error_body",
    "free_address",
]
