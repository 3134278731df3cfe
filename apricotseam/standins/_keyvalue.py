"""Stand-in for the key-value service, the JSON gateway of etcd v3."""

import base64
import collections
import threading
import time

import msgspec

from apricotseam.errors import UnknownNameError
from apricotseam.standins._server import StandIn
from apricotseam.web import Response

MAX_VALUE_BYTES = 1 << 20


class _Entry:
    __slots__ = ("lease", "revision", "value")

    def __init__(self, value, revision, lease):
        self.value = value
        self.revision = revision
        self.lease = lease


class KeyValueStandIn(StandIn):
    """In-memory keys with revisions, transactions, leases and watches.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.
    threads : int
        Number of worker threads; each open watch occupies one.

    Attributes
    ----------
    calls : collections.Counter
        Number of calls by path.
    """

    def __init__(self, address="127.0.0.1:0", threads=64):
        super().__init__(address, threads)
        self._changed = threading.Condition()
        self._entries = {}
        self._revision = 0
        self._leases = {}
        self._next_lease = 1
        self.calls = collections.Counter()
        route = self.application.route
        route("POST", "/v3/kv/range", self._range)
        route("POST", "/v3/kv/put", self._put)
        route("POST", "/v3/kv/txn", self._txn)
        route("POST", "/v3/kv/deleterange", self._delete)
        route("POST", "/v3/lease/grant", self._grant)
        route("POST", "/v3/lease/keepalive", self._keep_alive)
        route("POST", "/v3/lease/revoke", self._revoke)
        route("POST", "/v3/watch", self._watch)

    def _decode_call(self, request):
        self.calls[request.path] += 1
        return request.json(dict)

    def _range(self, request):
        body = self._decode_call(request)
        with self._changed:
            self._expire_leases()
            entries = [
                self._encode_entry(key, self._entries[key])
                for key in sorted(self._entries)
                if _is_in_range(key, body)
            ]
        return Response.of({"kvs": entries, "count": str(len(entries))})

    def _put(self, request):
        body = self._decode_call(request)
        with self._changed:
            self._expire_leases()
            self._set(body)
        return Response.of({"header": {"revision": str(self._revision)}})

    def _txn(self, request):
        body = self._decode_call(request)
        with self._changed:
            self._expire_leases()
            succeeded = all(
                self._is_condition_met(condition)
                for condition in body.get("compare", [])
            )
            branch = "success" if succeeded else "failure"
            for operation in body.get(branch, []):
                if "request_put" in operation:
                    self._set(operation["request_put"])
                if "request_delete_range" in operation:
                    self._remove(operation["request_delete_range"])
            revision = str(self._revision)
        return Response.of(
            {"succeeded": succeeded, "header": {"revision": revision}}
        )

    def _delete(self, request):
        body = self._decode_call(request)
        with self._changed:
            self._remove(body)
        return Response.of({})

    def _grant(self, request):
        body = self._decode_call(request)
        with self._changed:
            lease_id = self._next_lease
            self._next_lease += 1
            seconds = int(body["TTL"])
            self._leases[lease_id] = [time.monotonic() + seconds, seconds]
        return Response.of({"ID": str(lease_id), "TTL": str(seconds)})

    def _keep_alive(self, request):
        lease_id = int(self._decode_call(request)["ID"])
        with self._changed:
            self._expire_leases()
            lease = self._leases.get(lease_id)
            seconds = 0
            if lease is not None:
                seconds = lease[1]
                lease[0] = time.monotonic() + seconds
        return Response.of(
            {"result": {"ID": str(lease_id), "TTL": str(seconds)}}
        )

    def _revoke(self, request):
        lease_id = int(self._decode_call(request)["ID"])
        with self._changed:
            self._end_lease(lease_id)
        return Response.of({})

    def _watch(self, request):
        watch = self._decode_call(request)["create_request"]
        start = int(watch.get("start_revision", "0"))
        return Response(body=self._events(watch, start))

    def _events(self, watch, start):
        yield msgspec.json.encode({"result": {"created": True}}) + b"\n"
        while True:
            with self._changed:
                events = self._events_since(watch, start)
                if not events:
                    self._changed.wait(1.0)
                    events = self._events_since(watch, start)
            if events:
                yield (
                    msgspec.json.encode({"result": {"events": events}}) + b"\n"
                )
                start = self._revision + 1
            else:
                yield b'{"result":{}}\n'

    def _events_since(self, watch, start):
        return [
            {"kv": self._encode_entry(key, entry)}
            for key, entry in self._entries.items()
            if entry.revision >= start and _is_in_range(key, watch)
        ]

    def _is_condition_met(self, condition):
        entry = self._entries.get(_decode_key(condition))
        revision = entry.revision if entry is not None else 0
        return revision == int(condition.get("mod_revision", "0"))

    def _set(self, body):
        value = base64.b64decode(body.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError("the value exceeds 1 MiB")
        lease = int(body.get("lease", "0"))
        if lease and lease not in self._leases:
            raise UnknownNameError(
                f"unknown lease {lease}", "grant a new lease"
            )
        self._revision += 1
        self._entries[_decode_key(body)] = _Entry(value, self._revision, lease)
        self._changed.notify_all()

    def _remove(self, body):
        for key in [k for k in self._entries if _is_in_range(k, body)]:
            del self._entries[key]
            self._revision += 1
        self._changed.notify_all()

    def _expire_leases(self):
        now = time.monotonic()
        for lease_id in [
            n for n, (end, _) in self._leases.items() if end < now
        ]:
            self._end_lease(lease_id)

    def _end_lease(self, lease_id):
        self._leases.pop(lease_id, None)
        for key, entry in list(self._entries.items()):
            if entry.lease == lease_id:
                del self._entries[key]
                self._revision += 1

    @staticmethod
    def _encode_entry(key, entry):
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(entry.value).decode(),
            "mod_revision": str(entry.revision),
        }


def _decode_key(body):
    return base64.b64decode(body["key"])


def _is_in_range(key, body):
    first = _decode_key(body)
    if not body.get("range_end"):
        return key == first
    return first <= key < base64.b64decode(body["range_end"])
