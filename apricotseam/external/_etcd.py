"""Client of etcd version 3 over its JSON gateway."""

import base64
import itertools
import time

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.external._keyvalue import KeyValueService
from apricotseam.external._keyvalue import VersionedValue
from apricotseam.web import UnreachableError

CALL_TIMEOUT_SECONDS = 2.0


# The JSON gateway encodes 64-bit integers as strings.
class _KeyValue(msgspec.Struct):
    key: str = ""
    value: str = ""
    mod_revision: str = "0"


class _RangeResponse(msgspec.Struct):
    kvs: list[_KeyValue] = []


class _Header(msgspec.Struct):
    revision: str = "0"


class _TxnResponse(msgspec.Struct):
    succeeded: bool = False
    header: _Header = msgspec.field(default_factory=_Header)


class _LeaseResponse(msgspec.Struct):
    ID: str = "0"
    TTL: str = "0"


class _KeepAliveResponse(msgspec.Struct):
    result: _LeaseResponse


class EtcdService(KeyValueService):
    """Key-value service on etcd, called over its JSON gateway.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    addresses : list of str
        ``ip:port`` of the endpoints. Each call starts with the next one and
        tries the others while none can be reached.
    """

    def __init__(self, client, addresses):
        self._client = client
        self._addresses = list(addresses)
        self._round_robin_index = itertools.count()

    def get(self, key):
        """Return the `VersionedValue` of a key, or None if it is absent."""
        found = self._range({"key": _encode(key)})
        return found[0] if found else None

    def get_prefix(self, prefix):
        """Return a `VersionedValue` for each key with a prefix."""
        # A prefix is queried as the range of keys up to this one, exclusive.
        prefix_end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return self._range(
            {"key": _encode(prefix), "range_end": _encode(prefix_end)}
        )

    def put(self, key, value, lease=None):
        """Set a key unconditionally."""
        self._call("/v3/kv/put", _put(key, value, lease))

    def compare_and_swap(self, key, version, value, lease=None):
        """Set a key if its version is still the given one (0: absent).

        Returns the new version, or 0 if the key was not set.
        """
        body = {
            "compare": [
                {
                    "key": _encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(version),
                }
            ],
            "success": [{"request_put": _put(key, value, lease)}],
        }
        response = self._call("/v3/kv/txn", body).json(_TxnResponse)
        return int(response.header.revision) if response.succeeded else 0

    def delete(self, key):
        """Remove a key if it exists."""
        self._call("/v3/kv/deleterange", {"key": _encode(key)})

    def grant_lease(self, seconds):
        """Grant a lease for a number of seconds and return its ID."""
        response = self._call("/v3/lease/grant", {"TTL": str(int(seconds))})
        return int(response.json(_LeaseResponse).ID)

    def keep_alive(self, lease):
        """Renew a lease; return False if it has expired."""
        response = self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(response.json(_KeepAliveResponse).result.TTL) > 0

    def revoke(self, lease):
        """Revoke a lease and delete its keys."""
        self._call("/v3/lease/revoke", {"ID": str(lease)})

    def watch(self, key, version, deadline):
        """Wait for a version of a key later than the given one.

        Returns whether there was one before the deadline.
        """
        create = {"key": _encode(key), "start_revision": str(version + 1)}
        address = self._addresses[
            next(self._round_robin_index) % len(self._addresses)
        ]
        try:
            response = self._client.stream(
                address,
                "POST",
                "/v3/watch",
                {"create_request": create},
                deadline,
            )
        except UnreachableError as error:
            raise _unavailable_error(error) from None
        except AnswerLostError:
            return False
        try:
            return _has_event(response, deadline)
        finally:
            response.close()

    def _range(self, body):
        response = self._call("/v3/kv/range", body).json(_RangeResponse)
        return [
            VersionedValue(
                base64.b64decode(item.key).decode(),
                base64.b64decode(item.value),
                int(item.mod_revision),
            )
            for item in response.kvs
        ]

    def _call(self, path, body):
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        last_error = None
        for _ in self._addresses:
            address = self._addresses[
                next(self._round_robin_index) % len(self._addresses)
            ]
            try:
                response = self._client.call(
                    address, "POST", path, body, deadline
                )
            except UnreachableError as error:
                last_error = error
                continue
            return _require_success(response)
        raise _unavailable_error(last_error)


def _require_success(response):
    """Return the response if its status is 200, else raise an error.

    With status 400, 404 or 429 the call certainly had no effect.
    """
    if response.status == 200:
        return response
    if response.status in (400, 404, 429):
        raise ServiceUnavailableError(
            "the key-value service refused the call with status"
            f" {response.status}",
            "check the limits of the service",
        )
    raise AnswerLostError(
        f"the key-value service answered with status {response.status}",
        "check whether the call took effect before retrying it",
    )


def _unavailable_error(error):
    return ServiceUnavailableError(
        f"the key-value service cannot be reached: {error.found}",
        "try again when the service is back",
        retry_after=5,
    )


def _has_event(response, deadline):
    """Return whether a watch stream reports an event by the deadline.

    Progress notifications do not extend the deadline.
    """
    try:
        for line in response.stream(4096):
            if b'"events"' in line:
                return True
            if time.monotonic() >= deadline:
                return False
    except Exception:  # noqa: H201 - a broken watch is not a change
        return False
    return False


def _encode(text):
    return base64.b64encode(text.encode()).decode()


def _put(key, value, lease):
    body = {"key": _encode(key), "value": base64.b64encode(value).decode()}
    if lease is not None:
        body["lease"] = str(lease)
    return body
