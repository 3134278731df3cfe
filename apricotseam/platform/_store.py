"""HTTP client of the platform's key-value store."""

import asyncio
import base64
import binascii
import collections
import urllib.parse

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.errors import ConflictError
from apricotseam.http1 import ConnectionPool
from apricotseam.http1 import TransportError

CALL_TIMEOUT_SECONDS = 1.0
# Added to the wait time of a watch to obtain the timeout of its call.
WATCH_MARGIN_SECONDS = 0.75
MAX_BODY_BYTES = 16 << 20
MILLISECONDS_PER_SECOND = 1000


class StoreError(ApricotseamError):
    """The store did not answer, or refused the call.

    ``may_have_executed`` is True if the store may have executed the call
    although no usable response arrived.
    """

    code = "store_unavailable"
    http_status = 503

    def __init__(self, found, remedy, may_have_executed=False):
        super().__init__(found, remedy)
        self.may_have_executed = may_have_executed


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
    """Key, value and revision; ``value`` is None if the key was deleted.

    ``lease`` is the identifier of the lease to which the key is bound, or 0.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class Listing(msgspec.Struct, frozen=True):
    """One page of keys and the revision of the store at that time."""

    items: list[Item]
    has_more: bool
    revision: int


class WatchResult(msgspec.Struct, frozen=True):
    """Changes in order; empty if there were none within the wait time.

    ``revision`` is the revision after which to watch next.
    """

    items: list[Item]
    revision: int


class _WireItem(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""
    revision: int = 0
    lease_id: int = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename="pascal"):
    entries: list[_WireItem] = []
    has_more: bool = False
    # Revision of the store when the page was made.
    at: int = 0


class _WatchResult(msgspec.Struct, rename="pascal"):
    events: list[_WireItem] = msgspec.field(
        name="events", default_factory=list
    )
    at: int = 0


class _GrantedLease(msgspec.Struct, rename="pascal"):
    lease_id: int = 0
    ttl_ms: int = 0


class _ChangeResult(msgspec.Struct, rename="pascal"):
    revision: int = 0


class StoreClient:
    """Asynchronous client of the key-value store.

    Each method raises `StoreError` if the store does not respond, or responds
    with an error or an invalid body.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.

    Attributes
    ----------
    calls : collections.Counter
        Number of calls so far by kind, including failed ones.
    """

    def __init__(self, address):
        self._address = address
        self._pool = ConnectionPool()
        self.calls = collections.Counter()

    async def list_page(self, prefix, after=""):
        """Return one page of the keys with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : str
            Key after which the page starts; empty for the first page.

        Returns
        -------
        Listing
        """
        query = {"Prefix": prefix}
        if after:
            query["After"] = after
        body = await self._call("list", "GET", "/v1/kv-range", query)
        page = _decode(body, _Page)
        items = [_decode_item(item) for item in page.entries]
        return Listing(items, page.has_more, page.at)

    async def watch(self, prefix, after, wait_seconds):
        """Wait for changes of keys with a prefix after a revision.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : int
            Revision after which changes are returned.
        wait_seconds : float
            How long the store waits for a first change.

        Returns
        -------
        WatchResult

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes after that revision.
        """
        query = {
            "Prefix": prefix,
            "After": str(after),
            "WaitMs": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        seconds = wait_seconds + WATCH_MARGIN_SECONDS
        body = await self._call(
            "watch", "GET", "/v1/kv-watch", query, seconds=seconds
        )
        result = _decode(body, _WatchResult)
        return WatchResult(
            [_decode_item(item) for item in result.events], result.at
        )

    async def change(self, expected=(), puts=(), deletes=()):
        """Change keys in a transaction and return the new revision.

        Parameters
        ----------
        expected : iterable of tuple
            Pairs of a key and the revision that it must have; 0 for a key
            that must not exist.
        puts : iterable of Item
            Keys to write; their revisions are ignored.
        deletes : iterable of str
            Keys to delete.

        Returns
        -------
        int
            Revision of the store after the change.

        Raises
        ------
        StoreConflictError
            If a key has another revision than expected.
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
        response_body = await self._call(
            "change", "POST", "/v1/kv-txn", body=body
        )
        return _decode(response_body, _ChangeResult).revision

    async def grant_lease(self, seconds):
        """Return the identifier of a new lease.

        Parameters
        ----------
        seconds : float
            Time to live without renewal.

        Returns
        -------
        int
        """
        body = {"TtlMs": int(seconds * MILLISECONDS_PER_SECOND)}
        response_body = await self._call(
            "grant_lease", "POST", "/v1/kv-lease", body=body
        )
        return _decode(response_body, _GrantedLease).lease_id

    async def keep_lease(self, lease):
        """Renew a lease.

        Raises
        ------
        LeaseEndedError
            If the lease has ended.
        """
        await self._call("keep_lease", "POST", f"/v1/kv-keep/{lease}")

    async def end_lease(self, lease):
        """End a lease and delete its keys."""
        await self._call("end_lease", "DELETE", f"/v1/kv-lease-end/{lease}")

    async def _call(
        self, kind, method, path, query=None, body=None, seconds=None
    ):
        self.calls[kind] += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + (seconds or CALL_TIMEOUT_SECONDS)
        target = path
        if query:
            target += "?" + urllib.parse.urlencode(query, safe="/")
        headers = [(b"Host", self._address.encode())]
        request_body = b""
        if method != "GET":
            request_body = (
                msgspec.json.encode(body) if body is not None else b""
            )
            headers.append((b"Content-Type", b"application/json"))
            headers.append(
                (b"Content-Length", str(len(request_body)).encode())
            )
        connection = None
        try:
            # A watch may wait longer for its response than for a connection.
            connection = await self._pool.acquire(
                "store", self._address, min(deadline, loop.time() + 1.0)
            )
            connection.send(
                method.encode(), target.encode(), headers, request_body
            )
            response = await connection.head(deadline)
            response_body = await connection.read_all(deadline, MAX_BODY_BYTES)
        except TransportError as error:
            raise StoreError(
                f"{method} {path}: {error.found}",
                "wait until the store responds",
                may_have_executed=connection is not None,
            ) from None
        else:
            self._pool.release("store", connection, response)
            connection = None
        finally:
            if connection is not None:
                connection.close()
        _raise_for_status(response.status, method, path)
        return response_body


def _raise_for_status(status, method, path):
    if status == 200:
        return
    call = f"{method} {path}"
    if status == 410:
        raise HistoryLostError(
            f"{call}: the requested revisions are no longer stored",
            "list the keys again",
        )
    if status == 404:
        raise LeaseEndedError(f"{call}: no such lease", "grant a new lease")
    if status == 412:
        raise StoreConflictError(
            f"{call}: a key has another revision than expected",
            "read the keys again",
        )
    raise StoreError(f"{call}: status {status}", "call again later")


def _decode(body, kind):
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise StoreError(
            f"invalid response from the store ({error})",
            "call again",
            may_have_executed=True,
        ) from None


def _decode_item(item):
    if item.deleted:
        return Item(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Another program wrote this value. Readers treat the empty value
        # that replaces it as an invalid entry.
        value = b""
    return Item(item.key, value, item.revision, item.lease_id)
