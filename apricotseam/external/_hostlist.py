"""Interface to and client of the platform's host list."""

import abc
import time

import msgspec

LIVE = "live"
LEAVING = "leaving"
CALL_TIMEOUT_SECONDS = 2.0


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the host list.

    ``role`` is ``entry`` for hosts that run this program and ``target``
    for back ends. ``state`` is `LIVE`, or `LEAVING` if the host is about to
    shut down. ``group`` is the group of a target. ``peers_address`` is the
    address of an entry host for calls from other entry hosts.
    """

    name: str
    address: str
    role: str
    availability_zone: str
    state: str = LIVE
    group: str | None = None
    peers_address: str | None = None


class HostList(abc.ABC):
    """List of live and leaving hosts; may be out of date."""

    @abc.abstractmethod
    def read(self):
        """Fetch the list; return a `ListedHost` for each entry."""


class HttpHostList(HostList):
    """Host list fetched over HTTP as JSON.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    address : str
        ``ip:port`` of the server that publishes the list.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    def read(self):
        """Fetch the list; return a `ListedHost` for each entry."""
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        response = self._client.call(
            self._address, "GET", "/v1/hosts", deadline=deadline
        )
        return response.json(list[ListedHost])
