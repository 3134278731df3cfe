"""Calls to the platform's store."""

import asyncio
import base64
import binascii
import urllib.parse

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.errors import ConflictError
from apricotseam.http1 import Pool
from apricotseam.http1 import TransportError

CALL_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 0.75
MAX_BODY_BYTES = 16 << 20
MILLISECONDS = 1000


class StoreError(ApricotseamError):
    """The store did not answer, or refused the call.

    ``is_unknown`` is True where the call may have been executed.
    """

    code = "store_unavailable"
    http_status = 503

    def __init__(self, found, remedy, is_unknown=False):
        super().__init__(found, remedy)
        self.is_unknown = is_unknown


class HistoryLostError(StoreError):
    """The store no longer has the changes that were asked for."""

    code = "history_lost"


class LeaseEndedError(StoreError):
    """The lease has ended."""

    code = "lease_ended"


class StoreConflictError(ConflictError):
    """The condition of a change does not hold."""

    code = "store_conflict"


class Item(msgspec.Struct, frozen=True):
    """One key; ``value`` is None where it was deleted."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class Listing(msgspec.Struct, frozen=True):
    """Items of one page and the store's revision when it was made."""

    items: list[Item]
    has_more: bool
    revision: int


class Watched(msgspec.Struct, frozen=True):
    """Changes in order, and the revision to go on from."""

    items: list[Item]
    revision: int


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""
    revision: int = 0
    lease_id: int = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename="pascal"):
    entries: list[_Item] = []
    has_more: bool = False
    # The store's revision.
    at: int = 0


class _Events(msgspec.Struct, rename="pascal"):
    events: list[_Item] = msgspec.field(name="events", default_factory=list)
    at: int = 0


class _Lease(msgspec.Struct, rename="pascal"):
    lease_id: int = 0
    ttl_ms: int = 0


class _Done(msgspec.Struct, rename="pascal"):
    revision: int = 0


class StoreClient:
    """Client of the store; each kind of call has its own connections.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    """

    def __init__(self, address):
        self._address = address
        self._pool = Pool()
        self.calls = 0

    async def list_page(self, prefix, after=""):
        """Return the `Listing` of keys with a prefix after a key."""
        query = {"Prefix": prefix}
        if after:
            query["After"] = after
        body = await self._call("GET", "/v1/kv-range", query)
        page = _decode(body, _Page)
        items = [_item(item) for item in page.entries]
        return Listing(items, page.has_more, page.at)

    async def watch(self, prefix, after, wait_seconds):
        """Return the changes of keys with a prefix after a revision.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : int
            Revision after which changes are wanted.
        wait_seconds : float
            How long the store waits for a change.

        Raises
        ------
        HistoryLostError
            If the store has forgotten them.
        """
        query = {
            "Prefix": prefix,
            "After": str(after),
            "WaitMs": str(int(wait_seconds * MILLISECONDS)),
        }
        seconds = wait_seconds + WATCH_MARGIN_SECONDS
        body = await self._call("GET", "/v1/kv-watch", query, seconds=seconds)
        found = _decode(body, _Events)
        return Watched([_item(item) for item in found.events], found.at)

    async def change(self, expected=(), puts=(), deletes=()):
        """Change keys under a condition; return the new revision.

        Parameters
        ----------
        expected : iterable of tuple
            Keys and their revisions, 0 for a key that must not exist.
        puts : iterable of Item
            What to write; their revisions are ignored.
        deletes : iterable of str
            Keys to delete.

        Raises
        ------
        StoreConflictError
            If the condition does not hold.
        """
        body = {
            "Expected": [{"Key": k, "Revision": r} for k, r in expected],
            "Puts": [
                {
                    "Key": item.key,
                    "Value": base64.b64encode(item.value).decode(),
                    "LeaseId": item.lease,
                }
                for item in puts
            ],
            "Deletes": list(deletes),
        }
        answer = await self._call("POST", "/v1/kv-txn", body=body)
        return _decode(answer, _Done).revision

    async def grant_lease(self, seconds):
        """Return the identifier of a new lease."""
        body = {"TtlMs": int(seconds * MILLISECONDS)}
        answer = await self._call("POST", "/v1/kv-lease", body=body)
        return _decode(answer, _Lease).lease_id

    async def keep_lease(self, lease):
        """Renew a lease.

        Raises
        ------
        LeaseEndedError
            If it has ended.
        """
        await self._call("POST", f"/v1/kv-keep/{lease}")

    async def end_lease(self, lease):
        """End a lease with its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(self, method, path, query=None, body=None, seconds=None):
        self.calls += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (seconds or CALL_SECONDS)
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query, safe="/")
        headers = [(b"Host", self._address.encode())]
        content = b""
        if method != "GET":
            content = msgspec.json.encode(body) if body is not None else b""
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", str(len(content)).encode()))
        connection = None
        try:
            connection = await self._pool.acquire(
                "store", self._address, min(deadline, loop.time() + 1.0)
            )
            connection.send(method.encode(), target.encode(), headers, content)
            answer = await connection.head(deadline)
            found = await connection.read_all(deadline, MAX_BODY_BYTES)
        except TransportError as error:
            raise StoreError(
                f"{method} {path}: {error.found}",
                "wait until the store answers",
                is_unknown=connection is not None,
            ) from None
        else:
            self._pool.release("store", connection, answer)
            connection = None
        finally:
            if connection is not None:
                connection.close()
        _check(answer.status, method, path)
        return found


def _check(status, method, path):
    if status == 200:
        return
    call = f"{method} {path}"
    if status == 410:
        raise HistoryLostError(f"{call}: history is gone", "list again")
    if status == 404:
        raise LeaseEndedError(f"{call}: no such lease", "take a new lease")
    if status == 412:
        raise StoreConflictError(
            f"{call}: the condition does not hold", "read the keys again"
        )
    raise StoreError(f"{call}: status {status}", "call again later")


def _decode(body, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(
            f"the store's answer is not readable ({error})",
            "call again",
            is_unknown=True,
        ) from None


def _item(item):
    if item.deleted:
        return Item(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Another writer's item; its bytes name nothing.
        value = b""
    return Item(item.key, value, item.revision, item.lease_id)
