"""Keeps a mirror fresh from the store, or from peers where it is away."""

import asyncio
import logging
import random

from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._messages import Push
from apricotseam.platform import HistoryLostError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

# A store that falls silent may never answer the calls it has: they must
# not hold a host up for long after its return.
WATCH_SECONDS = 2.5
# The same for a store that was away just before.
AWAY_SECONDS = 0.3
# Changes that come in quick succession share a call.
COALESCE_SECONDS = 0.1
CALM_COALESCE_SECONDS = 0.6
FIRST_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
# Targets whose entries lapsed are back within this time after an outage.
SETTLE_SECONDS = 2.5
PEERS_ASKED = 2
# How often readers tell that they are there, and when they count as silent.
PUSH_SECONDS = 0.4
READER_SILENCE_SECONDS = 1.2
READER_CHECK_SECONDS = 0.1
# Larger changes each host reads from the store, whose link is wider than
# that of a reader.
MAX_PUSHED_BYTES = 4096
# How long a host that missed a push waits for the store to tell the change.
GAP_SECONDS = 0.5
# How long further gaps may come together.
GAP_PAUSE_SECONDS = 0.3
# Bytes of overwritten versions after which a listing is cheaper.
MAX_WASTED_BYTES = 128 << 10
LARGE_PAUSE_SECONDS = 0.5


class MirrorKeeper:
    """Follows the store's changes.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        What is kept fresh.
    ask_peers : callable
        Coroutine function ``ask_peers(revision, count)`` that returns a
        list of `Changes` of peers.
    now : callable
        Monotonic time in seconds.
    is_reader : callable, optional
        Returns whether this host follows the store itself; if not, it
        takes what the readers of its availability zone push, and follows
        the store only while they are silent.
    push : callable, optional
        Sends a `Push` to the other hosts of the availability zone.
    is_urgent : callable, optional
        Returns whether requests depend on a `MirrorItem`; after changes
        of others only, the next ones are let come together.
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
    ):
        self._is_urgent = is_urgent or (lambda item: True)
        self._is_reader = is_reader or (lambda: True)
        self._push = push or (lambda message: None)
        self._pushed_at = None
        self._must_ask = False
        self._store = store
        self._mirror = mirror
        self._ask_peers = ask_peers
        self._now = now
        self._must_list = True
        self._away_since = None
        self._settles_at = 0.0
        self._backoff = FIRST_BACKOFF_SECONDS
        self._heard_at = None

    @property
    def is_away(self):
        """Whether the store is out of reach of this host."""
        return self._away_since is not None

    @property
    def was_away(self):
        """Whether entries may have lapsed because of an outage."""
        return self.is_away or self._now() < self._settles_at

    @property
    def heard_at(self):
        """Time at which the store or a peer told its items, or None."""
        return self._heard_at

    async def run(self):
        """Follow the store for ever."""
        while True:
            try:
                if self._has_reader():
                    await self._follow_reader()
                else:
                    await self._follow()
            except HistoryLostError as error:
                _LOG.info("store_history_lost", extra={"error": str(error)})
                self._must_list = True
            except StoreError as error:
                self._lose(error)
                await self._follow_peers()
                await self._pause()

    async def run_pushes(self):
        """Tell the other hosts for ever that this one follows the store."""
        while True:
            await asyncio.sleep(PUSH_SECONDS)
            if self._is_reader() and not self.is_away:
                revision = self._mirror.revision
                self._push(Push(revision, revision, []))

    def take_push(self, message):
        """Take what a reader of the store pushed."""
        self._pushed_at = self._now()
        self._heard_at = self._pushed_at
        if message.base > self._mirror.revision:
            self._must_ask = True
            return
        for item in message.items:
            self._mirror.apply(item)
        self._mirror.advance(message.revision)

    def _has_reader(self):
        """Return whether another host follows the store for this one."""
        if self._must_list or self._is_reader():
            return False
        if self._pushed_at is None:
            return False
        return self._now() - self._pushed_at < READER_SILENCE_SECONDS

    async def _follow_reader(self):
        if self._must_ask:
            self._must_ask = False
            await self._fill_gap()
            await asyncio.sleep(GAP_PAUSE_SECONDS)
        await asyncio.sleep(READER_CHECK_SECONDS)

    async def _fill_gap(self):
        """Learn what the reader's pushes left out."""
        try:
            await self._watch(GAP_SECONDS)
        except HistoryLostError:
            raise
        except StoreError as error:
            _LOG.info("gap_asked_of_peers", extra={"error": str(error)})
            await self._follow_peers()

    async def _follow(self):
        if self._must_list:
            await self._list()
        await self._watch(AWAY_SECONDS if self.is_away else WATCH_SECONDS)

    async def _watch(self, seconds):
        """Take the changes that the store tells within a time."""
        watched = await self._store.watch("", self._mirror.revision, seconds)
        self._regain()
        base = self._mirror.revision
        items = [
            MirrorItem(item.key, item.value, item.revision)
            for item in watched.items
        ]
        for item in items:
            self._mirror.apply(item)
        self._mirror.advance(watched.revision)
        if items and self._is_reader():
            self._push(self._as_push(base, items))
        if _wasted_bytes(items) > MAX_WASTED_BYTES:
            self._must_list = True
            await asyncio.sleep(LARGE_PAUSE_SECONDS)
        elif any(map(self._is_urgent, items)):
            await asyncio.sleep(COALESCE_SECONDS)
        elif items:
            await asyncio.sleep(CALM_COALESCE_SECONDS)

    def _as_push(self, base, items):
        """Return the message that tells of changes, or that there are some."""
        revision = self._mirror.revision
        if sum(_size(item) for item in items) > MAX_PUSHED_BYTES:
            return Push(revision, revision, [])
        return Push(base, revision, items)

    async def _list(self):
        items = []
        after = ""
        first = None
        while True:
            page = await self._store.list_page("", after)
            if first is None:
                first = page.revision
            items.extend(
                MirrorItem(i.key, i.value, i.revision) for i in page.items
            )
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        self._regain()
        self._mirror.reconcile(items, first, page.revision)
        self._must_list = False
        _LOG.info(
            "store_listed",
            extra={"items": len(items), "revision": page.revision},
        )

    def _lose(self, error):
        if self._away_since is None:
            self._away_since = self._now()
            _LOG.warning("store_lost", extra={"error": str(error)})

    def _regain(self):
        now = self._now()
        self._heard_at = now
        self._backoff = FIRST_BACKOFF_SECONDS
        if self._away_since is None:
            return
        _LOG.info(
            "store_regained",
            extra={"away_seconds": round(now - self._away_since, 3)},
        )
        self._away_since = None
        self._settles_at = now + SETTLE_SECONDS

    async def _follow_peers(self):
        """Learn from peers what the store does not tell this host."""
        answers = await self._ask_peers(self._mirror.revision, PEERS_ASKED)
        for changes in answers:
            self._heard_at = self._now()
            if changes.is_whole:
                self._mirror.reconcile(
                    changes.items, changes.revision, changes.revision
                )
                continue
            for item in changes.items:
                self._mirror.apply(item)
            # The store's own watch goes on from what the peer knew.
            self._mirror.advance(changes.revision)

    async def _pause(self):
        await asyncio.sleep(self._backoff * random.uniform(0.7, 1.0))
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)


def _size(item):
    return len(item.value or b"")


def _wasted_bytes(items):
    """Return the bytes of versions that later ones among them replace."""
    last = {item.key: item for item in items}
    return sum(map(_size, items)) - sum(map(_size, last.values()))
