"""Interface to and client of the platform's weight store."""

import abc
import time

import msgspec

from apricotseam.errors import ServiceUnavailableError

CALL_TIMEOUT_SECONDS = 1.0


class LoadRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Number of weight loads that the store currently allows to start."""

    available: int


class WeightStore(abc.ABC):
    """Rate-limited store from which targets load model weights."""

    @abc.abstractmethod
    def available(self):
        """Return the number of weight loads that may start now.

        Raises
        ------
        ServiceUnavailableError
            If the store answers with an error status.
        """


class HttpWeightStore(WeightStore):
    """Client of the weight store over HTTP.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    address : str
        ``ip:port`` of the store.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    def available(self):
        """Return the number of weight loads that may start now."""
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        response = self._client.call(
            self._address, "GET", "/v1/loads", deadline=deadline
        )
        if response.status != 200:
            raise ServiceUnavailableError(
                f"the weight store answered with status {response.status}",
                "read the store's log",
            )
        return response.json(LoadRoom).available
