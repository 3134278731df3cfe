"""Interface and client of the platform's weight store."""

import abc
import time

import msgspec

from apricotseam.errors import ServiceUnavailableError

CALL_TIMEOUT_SECONDS = 1.0


class LoadRoom(msgspec.Struct, frozen=True, kw_only=True):
    """Loads that the store would let start now."""

    available: int


class WeightStore(abc.ABC):
    """Rate-limited store that targets load weights from."""

    @abc.abstractmethod
    def available(self):
        """Return how many loads it has room for now.

        Raises
        ------
        ServiceUnavailableError
            If it does not answer.
        """


class HttpWeightStore(WeightStore):
    """Weight store reached over HTTP.

    Parameters
    ----------
    client : HttpClient
        Carries the calls.
    address : str
        ``ip:port`` of the store.
    """

    def __init__(self, client, address):
        self._client = client
        self._address = address

    def available(self):
        """Return how many loads it has room for now."""
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        answer = self._client.call(
            self._address, "GET", "/v1/loads", deadline=deadline
        )
        if answer.status != 200:
            raise ServiceUnavailableError(
                f"the weight store answered with status {answer.status}",
                "read the store's log",
            )
        return answer.json(LoadRoom).available
