"""HTTP client of the platform's key-value store."""

import asyncio
import base64
import binascii
import collections
from collections.abc import Callable
import urllib.parse

import msgspec

from apricotseam.decoding import decode_json
from apricotseam.decoding import parse_count
from apricotseam.errors import InvalidInputError
from apricotseam.http1 import BodyTooLargeError
from apricotseam.http1 import ConnectionPool
from apricotseam.http1 import TransportError
from apricotseam.platform._store_errors import AnswerTooLargeError
from apricotseam.platform._store_errors import HistoryLostError
from apricotseam.platform._store_errors import LeaseEndedError
from apricotseam.platform._store_errors import StaleAnswerError
from apricotseam.platform._store_errors import StoreConflictError
from apricotseam.platform._store_errors import StoreError
from apricotseam.platform._store_records import Item
from apricotseam.platform._store_records import Lease
from apricotseam.platform._store_records import Listing
from apricotseam.platform._store_records import WatchResult
from apricotseam.positions import MAX_ERA
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

CALL_TIMEOUT_SECONDS = 1.0
# Added to the wait time of a watch to obtain the timeout of its call.
WATCH_MARGIN_SECONDS = 0.75
# A connection that was idle for longer may have fallen silent.
MAX_IDLE_SECONDS = 1.0
MAX_BODY_BYTES = 16 << 20
# Timeouts for the body of a listing or watch once its head has arrived: of
# each part, and in all. How long a large one takes depends on the link.
READ_STALL_SECONDS = 1.0
MAX_READ_SECONDS = 15.0
MILLISECONDS_PER_SECOND = 1000
# Header of all answers; it rises when the store goes back to an older state.
ERA_HEADER = b"store-era"
# Length of the part of an invalid header that an error shows.
MAX_SHOWN_CHARACTERS = 64


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


_DECODERS = {
    kind: msgspec.json.Decoder(kind)
    for kind in (_Page, _WatchResult, _GrantedLease, _ChangeResult)
}


class _Answer(msgspec.Struct, frozen=True):
    """Body of an answer and the era of the store that gave it."""

    body: bytes
    era: int


class _BodyRead(msgspec.Struct, frozen=True):
    """How the body of an answer is read.

    ``on_answer`` is called with its size, if given. ``is_long`` is whether it
    may take longer than the call, as long as it makes progress.
    """

    on_answer: Callable[[int], None] | None = None
    is_long: bool = False
    max_bytes: int = MAX_BODY_BYTES


_SHORT_READ = _BodyRead()


class StoreClient:
    """Asynchronous client of the key-value store.

    Each method raises `StoreError` if the store does not respond, or responds
    with an error or an invalid body, and `StaleAnswerError` if the answer is
    of an earlier era than `era`. A store that states no era is in era 0.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.

    Attributes
    ----------
    calls : collections.Counter
        Number of calls so far by kind, including failed ones.
    era : int
        Latest era of the store that this host has heard of.
    on_new_era : callable
        Called when `era` has risen.
    """

    def __init__(self, address):
        self._address = address
        self._pool = ConnectionPool()
        self.calls = collections.Counter()
        self.era = 0
        self.on_new_era = lambda: None

    def notice_era(self, era):
        """Record an era of which this host has heard."""
        if era > self.era:
            self.era = era
            self.on_new_era()

    async def list_page(self, prefix, after="", on_answer=None):
        """Return one page of the keys with a prefix.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : str
            Key after which the page starts; empty for the first page.
        on_answer : callable, optional
            As for `watch`.

        Returns
        -------
        Listing
        """
        query = {"Prefix": prefix}
        if after:
            query["After"] = after
        answer = await self._call(
            "list",
            "GET",
            "/v1/kv-range",
            query,
            read=_BodyRead(on_answer, is_long=True),
        )
        page = _decode(answer.body, _Page)
        return Listing(
            [_decode_item(item, answer.era) for item in page.entries],
            page.has_more,
            _position(answer.era, page.at),
        )

    async def watch(
        self,
        prefix,
        after,
        wait_seconds,
        on_answer=None,
        max_bytes=MAX_BODY_BYTES,
    ):
        """Wait for changes of keys with a prefix after a position.

        If the store has meanwhile gone back, the changes are those after the
        same revision of the later era, as the result's position shows.

        Parameters
        ----------
        prefix : str
            Start of the keys.
        after : Position
            Position after which changes are returned.
        wait_seconds : float
            How long the store waits for a first change.
        on_answer : callable, optional
            Called with the size in bytes of the answer's body, as its head
            states it, when the body is about to be read; 0 if it states none.
        max_bytes : int, optional
            Largest size of the answer's body.

        Returns
        -------
        WatchResult

        Raises
        ------
        HistoryLostError
            If the store no longer has the changes after that revision.
        AnswerTooLargeError
            If the answer is larger.
        """
        query = {
            "Prefix": prefix,
            "After": str(after.revision),
            "WaitMs": str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        seconds = wait_seconds + WATCH_MARGIN_SECONDS
        answer = await self._call(
            "watch",
            "GET",
            "/v1/kv-watch",
            query,
            seconds=seconds,
            read=_BodyRead(on_answer, True, max_bytes),
        )
        result = _decode(answer.body, _WatchResult)
        return WatchResult(
            [_decode_item(item, answer.era) for item in result.events],
            _position(answer.era, result.at),
        )

    async def change(self, expected=(), puts=(), deletes=()):
        """Change keys in a transaction and return the new position.

        Parameters
        ----------
        expected : iterable of tuple
            Pairs of a key and the `Position` that it must have;
            `NO_POSITION` for a key that must not exist.
        puts : iterable of Item
            Keys to write; their positions are ignored.
        deletes : iterable of str
            Keys to delete.

        Returns
        -------
        Position
            Position of the store after the change.

        Raises
        ------
        StoreConflictError
            If a key has another position than expected.
        LeaseEndedError
            If a lease of the keys has ended. If the store went back while it
            executed the change, the keys may exist nevertheless.
        """
        expected, puts = list(expected), list(puts)
        for key, position in expected:
            if position != NO_POSITION and position.era != self.era:
                raise StoreConflictError(
                    f"{key}: expected at {position}, the store is in era"
                    f" {self.era}",
                    "read the keys again",
                )
        leases = [item.lease for item in puts if item.lease is not None]
        self._require_current(leases)
        body = {
            "Expected": [
                {"Key": key, "Revision": position.revision}
                for key, position in expected
            ],
            "Puts": [
                {
                    "Key": item.key,
                    "Value": base64.b64encode(item.value).decode(),
                    "LeaseId": item.lease.number if item.lease else 0,
                }
                for item in puts
            ],
            "Deletes": list(deletes),
        }
        answer = await self._call("change", "POST", "/v1/kv-txn", body=body)
        self._require_current(leases)
        revision = _decode(answer.body, _ChangeResult).revision
        return _position(answer.era, revision)

    async def grant_lease(self, seconds):
        """Return a new lease.

        Parameters
        ----------
        seconds : float
            Time to live without renewal.

        Returns
        -------
        Lease
        """
        body = {"TtlMs": int(seconds * MILLISECONDS_PER_SECOND)}
        answer = await self._call(
            "grant_lease", "POST", "/v1/kv-lease", body=body
        )
        number = _decode(answer.body, _GrantedLease).lease_id
        return Lease(answer.era, number)

    async def keep_lease(self, lease):
        """Renew a lease.

        Raises
        ------
        LeaseEndedError
            If the lease has ended, also since the store went back.
        """
        self._require_current([lease])
        path = f"/v1/kv-keep/{lease.number}"
        await self._call("keep_lease", "POST", path)
        self._require_current([lease])

    async def end_lease(self, lease):
        """End a lease and delete its keys.

        Raises
        ------
        LeaseEndedError
            If the lease has ended, also since the store went back.
        """
        self._require_current([lease])
        path = f"/v1/kv-lease-end/{lease.number}"
        await self._call("end_lease", "DELETE", path)

    def _require_current(self, leases):
        """Raise `LeaseEndedError` if a lease was granted in another era."""
        for lease in leases:
            if lease.era != self.era:
                raise LeaseEndedError(
                    f"lease {lease.number} is of era {lease.era}, the store is"
                    f" in era {self.era}",
                    "grant a new lease",
                    may_have_executed=True,
                )

    async def _call(
        self,
        kind,
        method,
        path,
        query=None,
        body=None,
        seconds=None,
        read=_SHORT_READ,
    ):
        """Make a call; return its `_Answer`."""
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
                "store",
                self._address,
                min(deadline, loop.time() + CALL_TIMEOUT_SECONDS),
                MAX_IDLE_SECONDS,
            )
            connection.send(
                method.encode(), target.encode(), headers, request_body
            )
            response = await connection.head(deadline)
            response_body = await self._read_body(
                connection, response, deadline, read
            )
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
        era = self._check_era(response.header(ERA_HEADER), method, path)
        _raise_for_status(response.status, method, path)
        return _Answer(response_body, era)

    async def _read_body(self, connection, response, deadline, read):
        """Return the body of an answer, read as a `_BodyRead` says."""
        length = _stated_length(response)
        if length > read.max_bytes:
            raise _too_large(read.max_bytes)
        if read.on_answer is not None:
            read.on_answer(length)
        extend = None
        if read.is_long:
            loop = asyncio.get_running_loop()
            extend = _extend_until(loop.time() + MAX_READ_SECONDS)
            deadline = extend()
        try:
            return await connection.read_all(deadline, read.max_bytes, extend)
        except BodyTooLargeError:
            raise _too_large(read.max_bytes) from None

    def _check_era(self, value, method, path):
        """Return the era that an answer states, and record it."""
        era = _decode_era(value, self.era)
        if era < self.era:
            raise StaleAnswerError(
                f"{method} {path}: answer of era {era}, the store is in era"
                f" {self.era}",
                "call again",
                may_have_executed=True,
            )
        self.notice_era(era)
        return era


def _extend_until(latest):
    """Return a function that returns the deadline of the next part."""
    loop = asyncio.get_running_loop()
    return lambda: min(latest, loop.time() + READ_STALL_SECONDS)


def _stated_length(response):
    """Return the length of a body that the head of its answer states."""
    return parse_count(response.header(b"content-length") or "") or 0


def _too_large(max_bytes):
    """Return the error for a body beyond a limit."""
    return AnswerTooLargeError(
        f"the store answers with more than {max_bytes} bytes",
        "list the keys, or ask for fewer changes",
        may_have_executed=True,
    )


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


def _decode_era(value, known_era):
    """Return the era in a header; the known one if the header is missing."""
    if value is None:
        return known_era
    era = parse_count(value)
    if era is None or era > MAX_ERA:
        raise StoreError(
            f"invalid era {value[:MAX_SHOWN_CHARACTERS]!r} in an answer of the"
            " store",
            f"let the store state a number from 0 to {MAX_ERA}",
            may_have_executed=True,
        )
    return era


def _position(era, revision):
    try:
        return Position.of(era, revision)
    except ValueError as error:
        raise StoreError(
            f"invalid response from the store ({error})",
            "call again",
            may_have_executed=True,
        ) from None


def _decode(body, kind):
    try:
        return decode_json(_DECODERS[kind], body)
    except InvalidInputError as error:
        raise StoreError(
            f"invalid response from the store ({error})",
            "call again",
            may_have_executed=True,
        ) from None


def _decode_item(item, era):
    position = _position(era, item.revision)
    if item.deleted:
        return Item(item.key, None, position)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Another program wrote this value. Readers treat the empty value
        # that replaces it as an invalid entry.
        value = b""
    lease = Lease(era, item.lease_id) if item.lease_id else None
    return Item(item.key, value, position, lease)
