"""Clients of one host: typed calls and an answer that resumes elsewhere."""

from apricotseam.client._ask import ResumingAnswer
from apricotseam.client._client import HostClient
from apricotseam.client._client import RemoteError

__all__ = ["HostClient", "RemoteError", "ResumingAnswer"]
