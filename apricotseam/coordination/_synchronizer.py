"""Updates a mirror from the store, or from peers if it is unreachable."""

import asyncio
import collections
import contextlib
import logging
import random

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import MirrorItem
from apricotseam.coordination._packing import unpack_push
from apricotseam.coordination._pushes import make_push
from apricotseam.coordination._pushes import MAX_PUSHED_BYTES
from apricotseam.coordination._pushes import position_push
from apricotseam.coordination._pushes import unread_push
from apricotseam.coordination._read_log import ReadLog
from apricotseam.coordination._store_reader import StoreReader
from apricotseam.errors import InvalidInputError
from apricotseam.platform import AnswerTooLargeError
from apricotseam.platform import HistoryLostError
from apricotseam.platform import StaleAnswerError
from apricotseam.platform import StoreError
from apricotseam.positions import NO_POSITION

_LOG = logging.getLogger(__name__)

# A store that stops responding, or a connection that falls silent, may never
# answer pending calls. They must end soon, so that they do not delay this host
# after the store has recovered, or on a new connection.
WATCH_TIMEOUT_SECONDS = 1.5
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
# Time after which the store is called again although peers have not answered.
PEER_WAIT_SECONDS = 0.3
# Interval at which peers are asked while the store's answer takes long.
MEANWHILE_SECONDS = 0.5
# Interval between heartbeats of readers, and the time without a push after
# which they count as failed.
HEARTBEAT_INTERVAL_SECONDS = 0.4
READER_TIMEOUT_SECONDS = 1.2
READER_CHECK_INTERVAL_SECONDS = 0.4
# Timeout for reading from the store a change that no push contained.
GAP_WATCH_TIMEOUT_SECONDS = 0.5
# Pause after filling a gap, so that further gaps share the next call.
GAP_PAUSE_SECONDS = 0.3
# Pause before changes that a reader knows of are read from the store, in
# which a push may bring them.
GAP_DELAY_SECONDS = 0.1
# An answer to a watch that is larger than a listing would be contains versions
# that were overwritten. Size of a listing in relation to the values, and of
# the rest of it.
ENCODED_SIZE_FACTOR = 4 / 3
MIN_WATCHED_BYTES = 512 << 10
# When the store has gone back, readers list it and the other hosts ask their
# peers, each after a random pause up to these.
READER_SPREAD_SECONDS = 0.2
PEER_SPREAD_SECONDS = 0.6
# Hosts that learn nothing from peers list the store after this time, and each
# after a further random pause up to the spread.
PEERS_ONLY_SECONDS = 2.0
PEERS_ONLY_SPREAD_SECONDS = 1.0


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
        Coroutine function ``ask_peers(position, count)`` that returns a
        list of `Changes` from peers. With ``readers_first=True`` it asks a
        reader of the availability zone if there is one, with
        ``must_pack=True`` only peers that compress their answers.
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
    reports_position : callable, optional
        Returns whether other messages of this host repeat its position to
        the availability zone, which makes heartbeats needless.
    on_era_change : callable, optional
        Called with the `EraChange` after the mirror has followed the store
        to a later era.
    max_pushed_bytes : callable, optional
        Returns the limit on compressed changes that this host pushes. The
        other hosts read larger ones themselves.
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
        reports_position=None,
        on_era_change=None,
        max_pushed_bytes=None,
    ):
        self._on_era_change = on_era_change or (lambda change: None)
        self._max_pushed_bytes = max_pushed_bytes or (lambda: MAX_PUSHED_BYTES)
        self._reports_position = reports_position or (lambda: False)
        self._is_urgent = is_urgent or (lambda item: True)
        self._is_reader = is_reader or (lambda: True)
        self._push = push or (lambda message: None)
        self._pushed_at = None
        # Position up to which changes are missing, as this host has heard.
        self._missed_position = NO_POSITION
        # Whether the last read of missing changes from the store failed.
        self._asks_peers_first = False
        # Wakes `run` if it waits for pushes.
        self._gap_found = asyncio.Event()
        self._store = store
        self._mirror = mirror
        self._ask_peers = ask_peers
        self._now = now
        self._needs_listing = True
        # Whether the listing replaces changes that were too large to read.
        self._has_skipped = False
        self._unreachable_since = None
        self._settled_at = 0.0
        self._backoff = FIRST_BACKOFF_SECONDS
        self._updated_at = None
        # Number of watches by reason: this host is a reader, it hears none,
        # or pushes of a reader were lost or too large.
        self.watches = collections.Counter()
        self._reads = ReadLog(now)
        # Number of changes of the era, and of messages and answers of earlier
        # eras that were dropped.
        self.era_events = collections.Counter()
        # Requests to peers that are under way, as the store does not answer,
        # and as its answer takes long.
        self._peers_task = None
        self._meanwhile_task = None
        self._reader = StoreReader(store, self._reads, self._handle_long_read)
        # Era in which the mirror is too old, and the time at which this host
        # lists the store if no peer has helped.
        self._missed_era = 0
        self._list_at = 0.0
        store.on_new_era = self._interrupt_waits

    @property
    def reads(self):
        """The `ReadLog` of what this host reads from the store and peers."""
        return self._reads

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
    def followed_position(self):
        """Position in the store that this reader follows.

        `NO_POSITION` if this host is not a reader, cannot reach the store or
        does not know the items of its latest era.
        """
        if not self._is_reader() or self.is_store_unreachable:
            return NO_POSITION
        return NO_POSITION if self._is_behind else self._mirror.position

    @property
    def _is_behind(self):
        """Whether the mirror is of an earlier era than the store."""
        position = self._mirror.position
        return position != NO_POSITION and position.era < self._store.era

    @property
    def updated_at(self):
        """Monotonic time in seconds of the last update, None if there is none.

        Answers of the store and of peers count, and pushes of readers.
        """
        return self._updated_at

    async def run(self):
        """Update the mirror until cancelled."""
        try:
            while True:
                await self._run_once()
        finally:
            for task in (self._peers_task, self._meanwhile_task):
                if task is not None:
                    task.cancel()

    async def _run_once(self):
        """Update the mirror once, and note why that failed."""
        try:
            await self._update()
        except HistoryLostError as error:
            _LOG.info("store_history_lost", extra={"error": str(error)})
            self._handle_lost_history()
        except AnswerTooLargeError as error:
            _LOG.info("versions_skipped", extra={"error": str(error)})
            self._needs_listing = True
            self._has_skipped = True
        except StaleAnswerError as error:
            self._count_stale("answer", str(error))
            await self._sleep_before_retry()
        except StoreError as error:
            self._mark_store_lost(error)
            await self._begin_to_catch_up()
            await self._sleep_before_retry()

    async def _update(self):
        if self._is_behind:
            await self._join_era()
        elif self._needs_listing:
            await self._list()
        elif self._has_active_reader():
            await self._follow_reader()
        else:
            await self._follow_store()

    def _handle_lost_history(self):
        """List the store, unless it is in a later era, which is joined."""
        if self._is_behind:
            self._mark_store_available()
        else:
            self._needs_listing = True

    async def run_heartbeats(self):
        """Send heartbeats while this host is a reader, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)
            position = self.followed_position
            if position and not self._reports_position():
                self._push(position_push(position))

    def receive_packed_push(self, message):
        """Apply the changes in a `PackedPush`, as `receive_push` does.

        If they cannot be read, they are fetched later.
        """
        try:
            push = unpack_push(message)
        except InvalidInputError as error:
            _LOG.warning("push_refused", extra={"error": str(error)})
            push = position_push(message.position)
        self.receive_push(push)

    def receive_heartbeat(self, position):
        """Note that a reader follows the store at a position."""
        self.receive_push(position_push(position))

    def receive_push(self, message):
        """Apply the changes in a push of a reader.

        If changes before the push are missing, they are fetched later. A
        push of an earlier era than the store's is dropped. One of a later
        era than the mirror's shows that the items have to be read again.
        """
        era = message.position.era
        if era < self._store.era:
            self._count_stale("push", str(message.position))
            return
        if era > self._mirror.position.era:
            self._pushed_at = self._now()
            self._store.notice_era(era)
            return
        self._pushed_at = self._now()
        self._updated_at = self._pushed_at
        if message.base > self._mirror.position:
            self._note_gap(message.base)
            return
        for item in message.items:
            self._mirror.apply(item)
        self._mirror.advance(message.position)

    def _note_gap(self, position):
        """Record that changes up to a position are missing."""
        if self._missed_position <= self._mirror.position:
            _LOG.info(
                "changes_missed",
                extra={
                    "known": str(self._mirror.position),
                    "heard": str(position),
                },
            )
        self._missed_position = max(self._missed_position, position)
        self._gap_found.set()

    def _count_stale(self, kind, found):
        self.era_events[f"stale_{kind}"] += 1
        _LOG.info(
            "stale_message_dropped", extra={"kind": kind, "found": found}
        )

    def _interrupt_waits(self):
        """End the present wait for changes, as the store has gone back."""
        self._gap_found.set()
        self._reader.interrupt()

    async def _join_era(self):
        """Replace the mirror by the items of the store's later era.

        Readers list the store. Other hosts ask their peers, and list the
        store only if these do not know the items in time.
        """
        if self._is_reader():
            await asyncio.sleep(random.uniform(0, READER_SPREAD_SECONDS))
            if self._is_behind:
                await self._list()
            return
        if self._missed_era != self._store.era:
            self._missed_era = self._store.era
            spread = random.uniform(0, PEERS_ONLY_SPREAD_SECONDS)
            self._list_at = self._now() + PEERS_ONLY_SECONDS + spread
        await asyncio.sleep(random.uniform(0, PEER_SPREAD_SECONDS))
        await self._catch_up_from_peers(readers_first=True)
        if self._is_behind and self._now() >= self._list_at:
            await self._list()

    def _has_active_reader(self):
        """Return whether a reader watches the store on behalf of this host."""
        if self._is_reader():
            return False
        if self._pushed_at is None:
            return False
        return self._now() - self._pushed_at < READER_TIMEOUT_SECONDS

    async def _follow_reader(self):
        if self._missed_position > self._mirror.position:
            await self._fill_gap()
            await asyncio.sleep(GAP_PAUSE_SECONDS)
        self._gap_found.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READER_CHECK_INTERVAL_SECONDS):
                await self._gap_found.wait()

    async def _fill_gap(self):
        """Fetch the changes that the pushes of the reader did not contain."""
        position = self._missed_position
        await asyncio.sleep(GAP_DELAY_SECONDS)
        if self._mirror.position >= position:
            return
        self._missed_position = NO_POSITION
        if self._asks_peers_first:
            await self._catch_up_from_peers()
            if self._mirror.position >= position:
                return
        try:
            await self._watch("gap", GAP_WATCH_TIMEOUT_SECONDS)
            self._asks_peers_first = False
        except (HistoryLostError, AnswerTooLargeError):
            raise
        except StoreError as error:
            _LOG.info("gap_requested_from_peers", extra={"error": str(error)})
            if not self._asks_peers_first:
                await self._catch_up_from_peers()
            self._asks_peers_first = True

    async def _follow_store(self):
        await self._watch(
            "reader" if self._is_reader() else "no_reader",
            UNREACHABLE_WATCH_TIMEOUT_SECONDS
            if self.is_store_unreachable
            else WATCH_TIMEOUT_SECONDS,
        )

    async def _watch(self, reason, seconds):
        """Apply the changes that the store reports within some seconds."""
        self.watches[reason] += 1
        watched = await self._reader.watch(
            reason, self._mirror.position, seconds, self._max_watched_bytes()
        )
        if watched is None:
            return
        self._mark_store_available()
        if watched.position.era != self._mirror.position.era:
            return
        base = self._mirror.position
        items = [
            MirrorItem(item.key, item.value, item.position)
            for item in watched.items
        ]
        for item in items:
            self._mirror.apply(item)
        self._mirror.advance(watched.position)
        if items:
            if self._is_reader():
                self._push_changes(self._mirror.changes_since(base), base)
            is_urgent = any(map(self._is_urgent, items))
            await asyncio.sleep(
                URGENT_COALESCE_SECONDS
                if is_urgent
                else NON_URGENT_COALESCE_SECONDS
            )

    def _max_watched_bytes(self):
        """Return the size up to which a watch is cheaper than a listing."""
        return max(
            MIN_WATCHED_BYTES,
            int(ENCODED_SIZE_FACTOR * self._mirror.size_bytes()),
        )

    def _push_changes(self, changes, base):
        """Pass the changes after a position on to the other hosts."""
        self._push(make_push(changes, base, self._max_pushed_bytes()))

    def _handle_long_read(self):
        """Let others know, and help, while an answer takes long."""
        self._announce_unread()
        task = self._meanwhile_task
        if task is None or task.done():
            loop = asyncio.get_running_loop()
            self._meanwhile_task = loop.create_task(self._ask_meanwhile())

    async def _ask_meanwhile(self):
        """Ask peers, which may be faster, while an answer is under way.

        A host with a duty may have less of its link for itself than they.
        """
        while True:
            await asyncio.sleep(MEANWHILE_SECONDS)
            if not self._reader.is_long:
                return
            # An answer that is not compressed would compete with the store's.
            await self._catch_up_from_peers(must_pack=True)

    def _announce_unread(self):
        """Tell the other hosts of changes that this one still reads.

        They read them at the same time, and need not wait for this host.
        """
        if self._is_reader() and self._mirror.position != NO_POSITION:
            self._push(unread_push(self._mirror.position))

    async def _list(self):
        listed = await self._reader.list(self._has_skipped)
        self._mark_store_available()
        self._needs_listing = False
        self._has_skipped = False
        base = self._mirror.position
        applied = self._reconcile(listed.items, listed.first, listed.last)
        position = self._mirror.position
        is_known = base != NO_POSITION and base.era == position.era
        if is_known and self._is_reader():
            self._push_changes(Changes(position, applied), base)

    def _reconcile(self, items, first_position, last_position):
        """Replace the mirror by a complete listing; return what changed."""
        applied = []
        change = self._mirror.reconcile(
            items, first_position, last_position, applied
        )
        if change is not None:
            self.era_events["changed"] += 1
            self._on_era_change(change)
            position = self.followed_position
            if position:
                self._push(position_push(position))
        return applied

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

    async def _begin_to_catch_up(self):
        """Ask peers, and wait for their answers for a short time.

        Connections to peers may be silent as well; the store is called again
        on a new connection meanwhile.
        """
        task = self._peers_task
        if task is not None and task.done():
            task.result()
        if task is None or task.done():
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._catch_up_from_peers())
            self._peers_task = task
        done, _ = await asyncio.wait({task}, timeout=PEER_WAIT_SECONDS)
        for finished in done:
            finished.result()

    async def _catch_up_from_peers(self, **options):
        """Apply the changes that peers know and this host does not."""
        with self._reads.record("peers") as read:
            answers = await self._ask_peers(
                self._mirror.position, PEERS_PER_REQUEST, **options
            )
            read.items = sum(len(changes.items) for changes in answers)
        for changes in answers:
            self._apply_changes(changes)

    def _apply_changes(self, changes):
        """Apply the answer of a peer unless it is of an earlier era."""
        era = changes.position.era
        if era < self._mirror.position.era:
            self._count_stale("changes", str(changes.position))
            return
        self._updated_at = self._now()
        if changes.is_whole:
            self._store.notice_era(era)
            position = changes.position
            self._reconcile(changes.items, position, position)
            return
        if era != self._mirror.position.era:
            return
        for item in changes.items:
            self._mirror.apply(item)
        # The next watch of the store continues from the peer's position.
        self._mirror.advance(changes.position)

    async def _sleep_before_retry(self):
        await asyncio.sleep(self._backoff * random.uniform(0.7, 1.0))
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
