"""Stand-in of the key-value service: the JSON gateway of etcd v3."""

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
    """Keys with revisions, transactions, leases and watches.

    Parameters
    ----------
    address : str
        ``ip:port``; port 0 takes a free one.
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

    def _body(self, request):
        self.calls[request.path] += 1
        return request.json(dict)

    def _range(self, request):
        body = self._body(request)
        with self._changed:
            self._expire()
            found = [
                self._json(key, self._entries[key])
                for key in sorted(self._entries)
                if _in_range(key, body)
            ]
        return Response.of({"kvs": found, "count": str(len(found))})

    def _put(self, request):
        body = self._body(request)
        with self._changed:
            self._expire()
            self._set(body)
        return Response.of({"header": {"revision": str(self._revision)}})

    def _txn(self, request):
        body = self._body(request)
        with self._changed:
            self._expire()
            holds = all(self._holds(c) for c in body.get("compare", []))
            branch = "success" if holds else "failure"
            for operation in body.get(branch, []):
                if "request_put" in operation:
                    self._set(operation["request_put"])
                if "request_delete_range" in operation:
                    self._remove(operation["request_delete_range"])
            revision = str(self._revision)
        return Response.of(
            {"succeeded": holds, "header": {"revision": revision}}
        )

    def _delete(self, request):
        body = self._body(request)
        with self._changed:
            self._remove(body)
        return Response.of({})

    def _grant(self, request):
        body = self._body(request)
        with self._changed:
            number = self._next_lease
            self._next_lease += 1
            seconds = int(body["TTL"])
            self._leases[number] = [time.monotonic() + seconds, seconds]
        return Response.of({"ID": str(number), "TTL": str(seconds)})

    def _keep_alive(self, request):
        number = int(self._body(request)["ID"])
        with self._changed:
            self._expire()
            lease = self._leases.get(number)
            seconds = 0
            if lease is not None:
                seconds = lease[1]
                lease[0] = time.monotonic() + seconds
        return Response.of(
            {"result": {"ID": str(number), "TTL": str(seconds)}}
        )

    def _revoke(self, request):
        number = int(self._body(request)["ID"])
        with self._changed:
            self._drop_lease(number)
        return Response.of({})

    def _watch(self, request):
        create = self._body(request)["create_request"]
        start = int(create.get("start_revision", "0"))
        return Response(body=self._events(create, start))

    def _events(self, create, start):
        yield msgspec.json.encode({"result": {"created": True}}) + b"\n"
        while True:
            with self._changed:
                events = self._events_since(create, start)
                if not events:
                    self._changed.wait(1.0)
                    events = self._events_since(create, start)
            if events:
                yield (
                    msgspec.json.encode({"result": {"events": events}}) + b"\n"
                )
                start = self._revision + 1
            else:
                yield b'{"result":{}}\n'

    def _events_since(self, create, start):
        return [
            {"kv": self._json(key, entry)}
            for key, entry in self._entries.items()
            if entry.revision >= start and _in_range(key, create)
        ]

    def _holds(self, compare):
        entry = self._entries.get(_key(compare))
        revision = entry.revision if entry is not None else 0
        return revision == int(compare.get("mod_revision", "0"))

    def _set(self, body):
        value = base64.b64decode(body.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError("value is over a megabyte")
        lease = int(body.get("lease", "0"))
        if lease and lease not in self._leases:
            raise UnknownNameError(f"no lease {lease}", "grant a new one")
        self._revision += 1
        self._entries[_key(body)] = _Entry(value, self._revision, lease)
        self._changed.notify_all()

    def _remove(self, body):
        for key in [k for k in self._entries if _in_range(k, body)]:
            del self._entries[key]
            self._revision += 1
        self._changed.notify_all()

    def _expire(self):
        now = time.monotonic()
        for number in [n for n, (end, _) in self._leases.items() if end < now]:
            self._drop_lease(number)

    def _drop_lease(self, number):
        self._leases.pop(number, None)
        for key, entry in list(self._entries.items()):
            if entry.lease == number:
                del self._entries[key]
                self._revision += 1

    @staticmethod
    def _json(key, entry):
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(entry.value).decode(),
            "mod_revision": str(entry.revision),
        }


def _key(body):
    return base64.b64decode(body["key"])


def _in_range(key, body):
    first = _key(body)
    if not body.get("range_end"):
        return key == first
    return first <= key < base64.b64decode(body["range_end"])
