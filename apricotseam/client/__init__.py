"""Client of one host, and answers that resume at another host."""

from apricotseam.client._ask import ResumingAnswer
from apricotseam.client._client import HostClient
from apricotseam.client._client import RemoteError

__all__ = ["HostClient", "RemoteError", "ResumingAnswer"]
