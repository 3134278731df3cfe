"""Stand-in for the platform's key-value store."""

import asyncio
import base64
import collections
import functools
import json
import urllib.parse

from apricotseam.http1 import Server
from apricotseam.platform._keys import CONFIGURATION_KEY
from apricotseam.platform._keys import TARGETS_PREFIX

MILLISECONDS_PER_SECOND = 1000.0
JSON_HEADERS = ((b"Content-Type", b"application/json"),)
ERA_HEADER = b"Store-Era"
# Prefixes of the keys that operators and targets write.
PLATFORM_PREFIXES = ("op/", TARGETS_PREFIX)


class _Lease:
    """Time to live of a lease, and the time at which it ends."""

    __slots__ = ("ends_at", "ttl_ms")

    def __init__(self, ttl_ms):
        self.ttl_ms = ttl_ms
        self.renew()

    def renew(self):
        """Let the lease last its time to live from now."""
        now = asyncio.get_running_loop().time()
        self.ends_at = now + self.ttl_ms / MILLISECONDS_PER_SECOND


class StoreCopy:
    """State of the stand-in at some time, to which it may go back."""

    __slots__ = (
        "compacted_revision",
        "history",
        "items",
        "leases",
        "revision",
    )

    def __init__(self, items, history, leases, revision, compacted_revision):
        self.items = dict(items)
        self.history = list(history)
        self.leases = dict(leases)
        self.revision = revision
        self.compacted_revision = compacted_revision


class StoreStandIn:
    """In-memory store with revisions, leases and watches.

    It runs on the asyncio loop that is running. Its answers state no era
    until it goes back to a copy for the first time.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` to listen on, one for each host.

    Attributes
    ----------
    refused : set of str
        Addresses at which calls are answered with status 503.
    answers_to_drop : int
        Number of further changes that are executed but not answered.
    calls : int
        Number of calls so far.
    calls_by_path : collections.Counter
        The same by path, without identifiers of leases.
    revision : int
        Current revision of the store.
    era : int
        Number of times that it went back.
    page_size : int
        Largest number of items on a page of a listing.
    """

    def __init__(self, addresses):
        self.refused = set()
        self.answers_to_drop = 0
        self.calls = 0
        self.calls_by_path = collections.Counter()
        self.revision = 1
        self.era = 0
        self.page_size = 500
        self._items = {}
        self._history = []
        self._compacted_revision = 0
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._servers = {
            address: Server(functools.partial(self.handle, address))
            for address in addresses
        }

    async def start(self):
        """Start to listen; return the stand-in itself."""
        for address, server in self._servers.items():
            await server.start(address)
        return self

    def stop(self):
        """Stop listening and close all connections."""
        for server in self._servers.values():
            server.abort()

    def write_configuration(self, configuration):
        """Write a configuration, as an operator does."""
        self.put(CONFIGURATION_KEY, json.dumps(configuration).encode())

    def register(self, target, **changes):
        """Write the entry of a target stand-in.

        Parameters
        ----------
        target : TargetStandIn
            The target.
        **changes
            Arguments of its method `entry`.
        """
        self.put(TARGETS_PREFIX + target.identity, target.entry(**changes))

    def remove(self, target):
        """Delete the entry of a target, as an expired lease does."""
        self.delete(TARGETS_PREFIX + target.identity)

    def put(self, key, value, lease=0):
        """Write a key, bound to a lease unless ``lease`` is 0."""
        self.revision += 1
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": self.revision,
            "LeaseId": lease,
        }
        self._items[key] = item
        self._record(item)

    def delete(self, key):
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"Key": key, "Revision": self.revision, "Deleted": True}
            )

    def get(self, key):
        """Return the value of a key as bytes, or None."""
        item = self._items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    def keys(self):
        """Return all keys in order."""
        return sorted(self._items)

    def end_lease(self, lease):
        """End a lease and delete its keys, as its expiry does."""
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["LeaseId"] == lease:
                self.delete(key)

    def expire_leases(self):
        """End the leases that were not renewed in time."""
        now = asyncio.get_running_loop().time()
        for number, lease in list(self._leases.items()):
            if now >= lease.ends_at:
                self.end_lease(number)

    def discard_history(self):
        """Drop all recorded changes and wake all watches.

        A watch from an earlier revision is then answered with status 410.
        """
        self._compacted_revision = self.revision
        self._history.clear()
        self._notify_watches()

    def copy(self):
        """Return a `StoreCopy` of the present state."""
        return StoreCopy(
            self._items,
            self._history,
            self._leases,
            self.revision,
            self._compacted_revision,
        )

    def go_back(self, copy, keeps_leases=False):
        """Return to a copy: later changes are lost, and the era rises.

        Revisions after that of the copy are given out again. Numbers of
        leases are given out again, too.

        Parameters
        ----------
        copy : StoreCopy
            The state to return to.
        keeps_leases : bool
            Whether leases that existed in the copy go on. By default all
            leases end, with their keys.

        Returns
        -------
        dict of str to bytes or None
            What operators and targets had written since the copy, by key;
            None for deleted keys. `rewrite` writes it again.
        """
        lost = self._written_since(copy)
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._leases = dict(copy.leases)
        self._compacted_revision = copy.compacted_revision
        self._next_lease = max(copy.leases, default=0) + 1
        for number, lease in list(self._leases.items()):
            if keeps_leases:
                lease.renew()
            else:
                self.end_lease(number)
        self._notify_watches()
        return lost

    def rewrite(self, lost):
        """Write again what operators and targets wrote, see `go_back`."""
        for key, value in lost.items():
            if value is None:
                self.delete(key)
            else:
                self.put(key, value)

    def _written_since(self, copy):
        changed = {
            event["Key"]
            for event in self._history
            if event["Revision"] > copy.revision
        }
        return {
            key: self.get(key)
            for key in sorted(changed)
            if key.startswith(PLATFORM_PREFIXES)
        }

    def _record(self, event):
        self._history.append(event)
        self._notify_watches()

    def _notify_watches(self):
        """Wake all waiting watches once."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, address, request, exchange):
        """Answer a call that arrived at an address."""
        self.calls += 1
        path, _, query = request.target.decode().partition("?")
        self.calls_by_path[path.rstrip("0123456789").rstrip("/")] += 1
        if address in self.refused:
            exchange.answer(503, headers=self._era_headers())
            return
        query_fields = dict(
            urllib.parse.parse_qsl(query, keep_blank_values=True)
        )
        body = json.loads(request.body) if request.body else {}
        if path == "/v1/kv-watch":
            status, result = await self._watch(address, query_fields)
        else:
            status, result = self._handle_call(path, query_fields, body)
        if path == "/v1/kv-txn" and self.answers_to_drop:
            self.answers_to_drop -= 1
            exchange.abort_response()
            return
        headers = (*JSON_HEADERS, *self._era_headers())
        exchange.answer(status, json.dumps(result).encode(), headers)

    def _era_headers(self):
        if not self.era:
            return ()
        return ((ERA_HEADER, str(self.era).encode()),)

    def _handle_call(self, path, fields, body):
        if path == "/v1/kv-range":
            return 200, self._range(fields)
        if path == "/v1/kv-txn":
            return self._change(body)
        if path == "/v1/kv-lease":
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = _Lease(body["TtlMs"])
            return 200, {"LeaseId": lease, "TtlMs": body["TtlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        self._leases[lease].renew()
        return 200, {"TtlMs": self._leases[lease].ttl_ms}

    def _range(self, fields):
        prefix = fields.get("Prefix", "")
        after = fields.get("After", "")
        entries = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return {
            "Entries": entries[: self.page_size],
            "HasMore": len(entries) > self.page_size,
            "At": self.revision,
        }

    def _change(self, body):
        for condition in body["Expected"]:
            item = self._items.get(condition["Key"])
            revision = item["Revision"] if item else 0
            if revision != condition["Revision"]:
                return 412, {"Entries": []}
        for put in body["Puts"]:
            if put["LeaseId"] and put["LeaseId"] not in self._leases:
                return 404, {}
        for put in body["Puts"]:
            value = base64.b64decode(put["Value"])
            self.put(put["Key"], value, put["LeaseId"])
        for key in body["Deletes"]:
            self.delete(key)
        return 200, {"Revision": self.revision}

    async def _watch(self, address, fields):
        after = int(fields["After"])
        loop = asyncio.get_running_loop()
        deadline = (
            loop.time() + int(fields["WaitMs"]) / MILLISECONDS_PER_SECOND
        )
        while True:
            if address in self.refused:
                return 503, {}
            if not self._compacted_revision <= after <= self.revision:
                return 410, {}
            events = [e for e in self._history if e["Revision"] > after]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "At": self.revision}
            try:
                async with asyncio.timeout_at(deadline):
                    await self._changed.wait()
            except TimeoutError:
                continue
