"""Key-value service over the JSON gateway of etcd version 3."""

import base64
import itertools
import time

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.external._keyvalue import KeyValueService
from apricotseam.external._keyvalue import Versioned
from apricotseam.web import UnreachableError

CALL_TIMEOUT_SECONDS = 2.0


class _KeyValue(msgspec.Struct):
    key: str = ""
    value: str = ""
    mod_revision: str = "0"


class _RangeAnswer(msgspec.Struct):
    kvs: list[_KeyValue] = []


class _Header(msgspec.Struct):
    revision: str = "0"


class _TxnAnswer(msgspec.Struct):
    succeeded: bool = False
    header: _Header = msgspec.field(default_factory=_Header)


class _LeaseAnswer(msgspec.Struct):
    ID: str = "0"
    TTL: str = "0"


class _KeepAliveAnswer(msgspec.Struct):
    result: _LeaseAnswer


class EtcdService(KeyValueService):
    """Client of the JSON gateway.

    Parameters
    ----------
    client : HttpClient
        Carries the calls.
    addresses : list of str
        Endpoints, tried in turn while none was reached.
    """

    def __init__(self, client, addresses):
        self._client = client
        self._addresses = list(addresses)
        self._turn = itertools.count()

    def get(self, key):
        """Return the `Versioned` value of a key, or None."""
        found = self._range({"key": _encode(key)})
        return found[0] if found else None

    def get_prefix(self, prefix):
        """Return all `Versioned` values under a prefix."""
        last = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        return self._range(
            {"key": _encode(prefix), "range_end": _encode(last)}
        )

    def put(self, key, value, lease=None):
        """Set a key whatever it was."""
        self._call("/v3/kv/put", _put(key, value, lease))

    def compare_and_swap(self, key, version, value, lease=None):
        """Set a key if its version is still the given one."""
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
        answer = self._call("/v3/kv/txn", body).json(_TxnAnswer)
        return int(answer.header.revision) if answer.succeeded else 0

    def delete(self, key):
        """Remove a key if it exists."""
        self._call("/v3/kv/deleterange", {"key": _encode(key)})

    def grant_lease(self, seconds):
        """Return the number of a new lease of that many seconds."""
        answer = self._call("/v3/lease/grant", {"TTL": str(int(seconds))})
        return int(answer.json(_LeaseAnswer).ID)

    def keep_alive(self, lease):
        """Renew a lease; return False if it has lapsed."""
        answer = self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.json(_KeepAliveAnswer).result.TTL) > 0

    def revoke(self, lease):
        """End a lease and remove its keys."""
        self._call("/v3/lease/revoke", {"ID": str(lease)})

    def watch(self, key, version, deadline):
        """Wait until a key changes past a version or the deadline passes."""
        create = {"key": _encode(key), "start_revision": str(version + 1)}
        address = self._addresses[next(self._turn) % len(self._addresses)]
        try:
            response = self._client.stream(
                address,
                "POST",
                "/v3/watch",
                {"create_request": create},
                deadline,
            )
        except UnreachableError as error:
            raise _unavailable(error) from None
        except AnswerLostError:
            return False
        try:
            return _has_event(response, deadline)
        finally:
            response.close()

    def _range(self, body):
        answer = self._call("/v3/kv/range", body).json(_RangeAnswer)
        return [
            Versioned(
                base64.b64decode(found.key).decode(),
                base64.b64decode(found.value),
                int(found.mod_revision),
            )
            for found in answer.kvs
        ]

    def _call(self, path, body):
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        unreached = None
        for _ in self._addresses:
            address = self._addresses[next(self._turn) % len(self._addresses)]
            try:
                answer = self._client.call(
                    address, "POST", path, body, deadline
                )
            except UnreachableError as error:
                unreached = error
                continue
            return _checked(answer)
        raise _unavailable(unreached)


def _checked(answer):
    if answer.status == 200:
        return answer
    if answer.status in (400, 404, 429):
        raise ServiceUnavailableError(
            f"the key-value service refused with status {answer.status}",
            "check the service's limits",
        )
    raise AnswerLostError(
        f"the key-value service answered with status {answer.status}",
        "read back before repeating the call",
    )


def _unavailable(error):
    return ServiceUnavailableError(
        f"the key-value service is not reached: {error.found}",
        "try again when the service is back",
        retry_after=5,
    )


def _has_event(response, deadline):
    """Read a watch until an event; progress lines do not extend it."""
    try:
        for line in response.stream(4096):
            if b'"events"' in line:
                return True
            if time.monotonic() >= deadline:
                return False
    except Exception:  # noqa: H201 - a cut watch is not a change
        return False
    return False


def _encode(text):
    return base64.b64encode(text.encode()).decode()


def _put(key, value, lease):
    body = {"key": _encode(key), "value": base64.b64encode(value).decode()}
    if lease is not None:
        body["lease"] = str(lease)
    return body
