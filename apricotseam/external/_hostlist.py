"""Interface and client of the platform's host list."""

import abc
import time

import msgspec

LIVE = "live"
LEAVING = "leaving"
CALL_TIMEOUT_SECONDS = 2.0


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the host list.

    ``role`` is ``entry`` for hosts that run this program and ``target``
    for back ends; ``group`` names the group of a target and
    ``peers_address`` is where other entry hosts reach an entry host.
    """

    name: str
    address: str
    role: str
    availability_zone: str
    state: str = LIVE
    group: str | None = None
    peers_address: str | None = None


class HostList(abc.ABC):
    """Live and leaving hosts, with a lag."""

    @abc.abstractmethod
    def read(self):
        """Return all `ListedHost` lines of one reading."""


class HttpHostList(HostList):
    """Host list read over HTTP as JSON.

    Parameters
    ----------
    client : HttpClient
        Carries the calls.
    address : str
        ``ip:port`` of the list.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    def read(self):
        """Return all `ListedHost` lines of one reading."""
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        answer = self._client.call(
            self._address, "GET", "/v1/hosts", deadline=deadline
        )
        return answer.json(list[ListedHost])
