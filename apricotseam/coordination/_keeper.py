"""Updates a mirror from the store, or from peers if it is unreachable."""

import asyncio
import collections
import contextlib
import logging
import random

from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._messages import Push
from apricotseam.coordination._packing import MAX_UNPACKED_BYTES
from apricotseam.coordination._packing import pack_push
from apricotseam.coordination._packing import unpack_push
from apricotseam.errors import InvalidInputError
from apricotseam.platform import HistoryLostError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

# A store that stops responding may never answer pending calls. They must end
# soon, so that they do not delay this host after the store has recovered.
WATCH_TIMEOUT_SECONDS = 2.5
# The same after a call to the store has failed, until one succeeds.
UNREACHABLE_WATCH_TIMEOUT_SECONDS = 0.3
# Pause after changes, so that further ones share the next call.
URGENT_COALESCE_SECONDS = 0.1
NON_URGENT_COALESCE_SECONDS = 0.6
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# Targets whose entries expired in an outage of the store register again
# within this time after it.
SETTLE_SECONDS = 2.5
PEERS_PER_REQUEST = 2
# Interval between heartbeats of readers, and the time without a push after
# which they count as failed.
HEARTBEAT_INTERVAL_SECONDS = 0.4
READER_TIMEOUT_SECONDS = 1.2
READER_CHECK_INTERVAL_SECONDS = 0.4
# Larger changes are compressed.
MAX_PLAIN_PUSH_BYTES = 4096
# Limit on compressed changes. Each host reads larger ones from the store
# itself, since the store has more bandwidth than a reader.
MAX_PUSHED_BYTES = 16 << 10
# Timeout for reading from the store a change that no push contained.
GAP_WATCH_TIMEOUT_SECONDS = 0.5
# Pause after filling a gap, so that further gaps share the next call.
GAP_PAUSE_SECONDS = 0.3
# If a watch returns more bytes of overwritten versions, a listing is cheaper.
MAX_SUPERSEDED_BYTES = 128 << 10
# Pause before that listing.
LARGE_PAUSE_SECONDS = 0.5


class MirrorSynchronizer:
    """Keeps a mirror up to date.

    A reader watches the store and pushes the changes to the other hosts of
    its availability zone. All hosts fall back to their peers while the
    store is unreachable.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        The mirror to update.
    ask_peers : callable
        Coroutine function ``ask_peers(revision, count)`` that returns a
        list of `Changes` from peers.
    now : callable
        Returns monotonic time in seconds.
    is_reader : callable, optional
        Returns whether this host watches the store itself. If not, it
        applies what the readers of its availability zone push, and watches
        the store only if it receives no pushes.
    push : callable, optional
        Sends a `Push` to the other hosts of the availability zone.
    is_urgent : callable, optional
        Returns whether requests depend on a `MirrorItem`. If none of the
        changes is urgent, the pause before the next call is longer.
    reports_revision : callable, optional
        Returns whether other messages of this host repeat its revision to
        the availability zone, which makes heartbeats needless.
    """

    def __init__(
        self,
        store,
        mirror,
        ask_peers,
        now,
        is_reader=None,
        push=None,
        is_urgent=None,
        reports_revision=None,
    ):
        self._reports_revision = reports_revision or (lambda: False)
        self._is_urgent = is_urgent or (lambda item: True)
        self._is_reader = is_reader or (lambda: True)
        self._push = push or (lambda message: None)
        self._pushed_at = None
        self._has_gap = False
        # Wakes `run` if it waits for pushes.
        self._gap_found = asyncio.Event()
        self._store = store
        self._mirror = mirror
        self._ask_peers = ask_peers
        self._now = now
        self._needs_listing = True
        self._unreachable_since = None
        self._settled_at = 0.0
        self._backoff = FIRST_BACKOFF_SECONDS
        self._updated_at = None
        # Number of watches by reason: this host is a reader, it hears none,
        # or pushes of a reader were lost or too large.
        self.watches = collections.Counter()

    @property
    def is_store_unreachable(self):
        """Whether this host cannot reach the store."""
        return self._unreachable_since is not None

    @property
    def was_store_unreachable(self):
        """Whether entries may have expired in an outage of the store.

        True while the store is unreachable and for `SETTLE_SECONDS` after.
        """
        return self.is_store_unreachable or self._now() < self._settled_at

    @property
    def followed_revision(self):
        """Revision of the store that this reader follows.

        0 if this host is not a reader or cannot reach the store.
        """
        if not self._is_reader() or self.is_store_unreachable:
            return 0
        return self._mirror.revision

    @property
    def updated_at(self):
        """Monotonic time in seconds of the last update, None if there is none.

        Answers of the store and of peers count, and pushes of readers.
        """
        return self._updated_at

    async def run(self):
        """Update the mirror until cancelled."""
        while True:
            try:
                if self._has_active_reader():
                    await self._follow_reader()
                else:
                    await self._follow_store()
            except HistoryLostError as error:
                _LOG.info("store_history_lost", extra={"error": str(error)})
                self._needs_listing = True
            except StoreError as error:
                self._mark_store_lost(error)
                await self._catch_up_from_peers()
                await self._sleep_before_retry()

    async def run_heartbeats(self):
        """Send heartbeats while this host is a reader, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            revision = self.followed_revision
            if revision and not self._reports_revision():
                self._push(Push(revision, revision, []))

    def receive_packed_push(self, message):
        """Apply the changes in a `PackedPush`, as `receive_push` does.

        If they cannot be read, they are fetched later.
        """
        try:
            push = unpack_push(message)
        except InvalidInputError as error:
            _LOG.warning("push_refused", extra={"error": str(error)})
            push = Push(message.revision, message.revision, [])
        self.receive_push(push)

    def receive_heartbeat(self, revision):
        """Note that a reader follows the store at a revision."""
        self.receive_push(Push(revision, revision, []))

    def receive_push(self, message):
        """Apply the changes in a push of a reader.

        If changes before the push are missing, they are fetched later.
        """
        self._pushed_at = self._now()
        self._updated_at = self._pushed_at
        if message.base > self._mirror.revision:
            self._has_gap = True
            self._gap_found.set()
            return
        for item in message.items:
            self._mirror.apply(item)
        self._mirror.advance(message.revision)

    def _has_active_reader(self):
        """Return whether a reader watches the store on behalf of this host."""
        if self._needs_listing or self._is_reader():
            return False
        if self._pushed_at is None:
            return False
        return self._now() - self._pushed_at < READER_TIMEOUT_SECONDS

    async def _follow_reader(self):
        if self._has_gap:
            self._has_gap = False
            await self._fill_gap()
            await asyncio.sleep(GAP_PAUSE_SECONDS)
        self._gap_found.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READER_CHECK_INTERVAL_SECONDS):
                await self._gap_found.wait()

    async def _fill_gap(self):
        """Fetch the changes that the pushes of the reader did not contain."""
        try:
            await self._watch("gap", GAP_WATCH_TIMEOUT_SECONDS)
        except HistoryLostError:
            raise
        except StoreError as error:
            _LOG.info("gap_requested_from_peers", extra={"error": str(error)})
            await self._catch_up_from_peers()

    async def _follow_store(self):
        if self._needs_listing:
            await self._list()
        await self._watch(
            "reader" if self._is_reader() else "no_reader",
            UNREACHABLE_WATCH_TIMEOUT_SECONDS
            if self.is_store_unreachable
            else WATCH_TIMEOUT_SECONDS,
        )

    async def _watch(self, reason, seconds):
        """Apply the changes that the store reports within some seconds."""
        self.watches[reason] += 1
        watched = await self._store.watch("", self._mirror.revision, seconds)
        self._mark_store_available()
        base = self._mirror.revision
        items = [
            MirrorItem(item.key, item.value, item.revision)
            for item in watched.items
        ]
        for item in items:
            self._mirror.apply(item)
        self._mirror.advance(watched.revision)
        if items and self._is_reader():
            self._push(self._make_push(base, items))
        if _superseded_bytes(items) > MAX_SUPERSEDED_BYTES:
            self._needs_listing = True
            await asyncio.sleep(LARGE_PAUSE_SECONDS)
        elif any(map(self._is_urgent, items)):
            await asyncio.sleep(URGENT_COALESCE_SECONDS)
        elif items:
            await asyncio.sleep(NON_URGENT_COALESCE_SECONDS)

    def _make_push(self, base, items):
        """Return a push of the changes.

        If they are too large to be pushed, it contains only the revision,
        from which the other hosts see that they miss changes.
        """
        push = Push(base, self._mirror.revision, items)
        size = sum(_size(item) for item in items)
        if size <= MAX_PLAIN_PUSH_BYTES:
            return push
        if size <= MAX_UNPACKED_BYTES // 2:
            packed = pack_push(push)
            if len(packed.packed) <= MAX_PUSHED_BYTES:
                return packed
        return Push(push.revision, push.revision, [])

    async def _list(self):
        items = []
        after = ""
        first_revision = None
        while True:
            page = await self._store.list_page("", after)
            if first_revision is None:
                first_revision = page.revision
            items.extend(
                MirrorItem(i.key, i.value, i.revision) for i in page.items
            )
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._mark_store_available()
        self._mirror.reconcile(items, first_revision, page.revision)
        self._needs_listing = False
        _LOG.info(
            "store_listed",
            extra={"items": len(items), "revision": page.revision},
        )

    def _mark_store_lost(self, error):
        if self._unreachable_since is None:
            self._unreachable_since = self._now()
            _LOG.warning("store_lost", extra={"error": str(error)})

    def _mark_store_available(self):
        now = self._now()
        self._updated_at = now
        self._backoff = FIRST_BACKOFF_SECONDS
        if self._unreachable_since is None:
            return
        _LOG.info(
            "store_regained",
            extra={"away_seconds": round(now - self._unreachable_since, 3)},
        )
        self._unreachable_since = None
        self._settled_at = now + SETTLE_SECONDS

    async def _catch_up_from_peers(self):
        """Apply the changes that peers know and this host does not."""
        answers = await self._ask_peers(
            self._mirror.revision, PEERS_PER_REQUEST
        )
        for changes in answers:
            self._updated_at = self._now()
            if changes.is_whole:
                self._mirror.reconcile(
                    changes.items, changes.revision, changes.revision
                )
                continue
            for item in changes.items:
                self._mirror.apply(item)
            # The next watch of the store continues from the peer's revision.
            self._mirror.advance(changes.revision)

    async def _sleep_before_retry(self):
        await asyncio.sleep(self._backoff * random.uniform(0.7, 1.0))
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)


def _size(item):
    return len(item.value or b"")


def _superseded_bytes(items):
    """Return the size in bytes of the versions that later items overwrite."""
    last = {item.key: item for item in items}
    return sum(map(_size, items)) - sum(map(_size, last.values()))
