"""Updates of a mirror from the store, from its readers and from peers."""

import asyncio
import random

import pytest

from apricotseam.coordination._packing import MAX_PLAIN_BYTES
from apricotseam.coordination._pushes import MAX_PUSHED_BYTES
from apricotseam.coordination._read_log import LOGGED_BYTES
from apricotseam.coordination._store_reader import LONG_READ_SECONDS
from apricotseam.coordination._synchronizer import GAP_DELAY_SECONDS
from apricotseam.coordination._synchronizer import GAP_PAUSE_SECONDS
from apricotseam.coordination._synchronizer import GAP_WATCH_TIMEOUT_SECONDS
from apricotseam.coordination._synchronizer import MEANWHILE_SECONDS
from apricotseam.coordination._synchronizer import MIN_WATCHED_BYTES
from apricotseam.coordination._synchronizer import (
    UNREACHABLE_WATCH_TIMEOUT_SECONDS,
)
from apricotseam.coordination._synchronizer import WATCH_TIMEOUT_SECONDS
from apricotseam.coordination import Changes
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.coordination import MirrorSynchronizer
from apricotseam.coordination import PackedPush
from apricotseam.coordination import Push
from apricotseam.platform import AnswerTooLargeError
from apricotseam.platform import HistoryLostError
from apricotseam.platform import Item
from apricotseam.platform import Listing
from apricotseam.platform import StoreError
from apricotseam.platform import WATCH_MARGIN_SECONDS
from apricotseam.platform import WatchResult
from apricotseam.positions import Position

# Time after an outage of the store within which all hosts have to know its
# items.
MAX_CONVERGENCE_SECONDS = 4.0


class FakeStore:
    """Store that returns prepared answers, and then no more changes.

    Parameters
    ----------
    watches : list
        Answers of `watch`, or exceptions that it raises.
    listing : list of (str, int), optional
        Keys and revisions of the items that `list_page` returns.
    gap : WatchResult or Exception, optional
        Answer of a watch that fills a gap.
    """

    def __init__(self, watches, listing=(), gap=None):
        self.watches = list(watches)
        self.waits = []
        self.gap = gap
        self.listing = [Item(k, b"v", Position(r)) for k, r in listing]
        self.list_calls = 0
        self.era = 0

    async def list_page(self, prefix, after="", on_answer=None):
        """Return all items."""
        self.list_calls += 1
        last = max((i.position for i in self.listing), default=Position(1))
        return Listing(self.listing, False, last)

    async def watch(self, prefix, after, wait_seconds, *options):
        """Return or raise the next answer."""
        self.waits.append(wait_seconds)
        if wait_seconds == GAP_WATCH_TIMEOUT_SECONDS and self.gap is not None:
            self.watches.append(self.gap)
        if not self.watches:
            await asyncio.sleep(0.02)
            return WatchResult([], after)
        answer = self.watches.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(
    store,
    changes=(),
    is_reader=True,
    pushes=(),
    seconds=0.3,
    is_urgent=None,
):
    """Run a synchronizer for some time.

    Returns
    -------
    (Mirror, list of Push, bool)
        The mirror, the pushes that were sent and whether the store is
        unreachable.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        mirror = Mirror(lambda item: None)
        sent = []

        async def ask_peers(revision, count, **options):
            return list(changes)

        synchronizer = MirrorSynchronizer(
            store,
            mirror,
            ask_peers,
            loop.time,
            lambda: is_reader or not mirror.position,
            sent.append,
            is_urgent,
        )
        task = loop.create_task(synchronizer.run())
        await asyncio.sleep(0.05)
        for push in pushes:
            if isinstance(push, PackedPush):
                synchronizer.receive_packed_push(push)
            else:
                synchronizer.receive_push(push)
            # Let the synchronizer begin to react.
            await asyncio.sleep(0)
        await asyncio.sleep(seconds)
        task.cancel()
        return mirror, sent, synchronizer.is_store_unreachable

    return asyncio.run(scenario())


def test_changes_are_applied_and_pushed():
    changed = WatchResult([Item("a", b"w", Position(5))], Position(5))
    mirror, sent, _ = follow(FakeStore([changed], [("a", 3)]))
    assert mirror.get("a").value == b"w"
    assert [(push.base, push.position) for push in sent] == [(3, 5)]


def test_lost_history_is_listed_again():
    store = FakeStore([HistoryLostError("gone", "list")], [("a", 3)])
    follow(store)
    assert store.list_calls == 2


def test_peers_are_asked_while_the_store_is_unreachable():
    error = StoreError("down", "wait")
    found = Changes(Position(9), [MirrorItem("a", b"new", Position(9))])
    mirror, _, is_store_unreachable = follow(
        FakeStore([error] * 50, [("a", 3)]), changes=[found]
    )
    assert mirror.get("a").value == b"new"
    assert (mirror.position, is_store_unreachable) == (9, True)


# Case, pushes that are received, resulting value and revision of the mirror.
PUSHES = [
    (
        "next change",
        [Push(Position(3), Position(5), [MirrorItem("a", b"w", Position(5))])],
        b"w",
        5,
    ),
    ("heartbeat", [Push(Position(3), Position(3), [])], b"v", 3),
    (
        "outdated change",
        [Push(Position(1), Position(2), [MirrorItem("a", b"o", Position(2))])],
        b"v",
        3,
    ),
    ("missing changes", [Push(Position(8), Position(9), [])], b"new", 9),
]
# Random, as compressible bytes would fit in a push.
LARGE = random.Random(1).randbytes(MAX_PUSHED_BYTES + 1)


@pytest.mark.parametrize(
    ("pushes", "value", "revision"),
    [case[1:] for case in PUSHES],
    ids=[case[0] for case in PUSHES],
)
def test_pushes_of_a_reader(pushes, value, revision):
    store = FakeStore([], [("a", 3)], gap=StoreError("down", "wait"))
    answer = Changes(Position(9), [MirrorItem("a", b"new", Position(9))])
    mirror, sent, _ = follow(
        store, changes=[answer], is_reader=False, pushes=pushes
    )
    assert (mirror.get("a").value, mirror.position) == (value, revision)
    assert sent == []


def test_a_large_change_is_announced_without_items():
    changed = WatchResult([Item("a", LARGE, Position(5))], Position(5))
    mirror, sent, _ = follow(FakeStore([changed], [("a", 3)]))
    assert mirror.get("a").value == LARGE
    assert sent == [Push(Position(5), Position(5), [])]


# Case, value of a change, whether its push is packed.
PACKED = [
    ("small", b"x" * MAX_PLAIN_BYTES, False),
    ("compressible", b"x" * (MAX_PLAIN_BYTES + 1), True),
]


@pytest.mark.parametrize(
    ("value", "is_packed"),
    [case[1:] for case in PACKED],
    ids=[case[0] for case in PACKED],
)
def test_pushed_changes_reach_the_other_hosts(value, is_packed):
    changed = WatchResult([Item("a", value, Position(5))], Position(5))
    _, sent, _ = follow(FakeStore([changed], [("a", 3)]))
    assert [isinstance(push, PackedPush) for push in sent] == [is_packed]
    store = FakeStore([], [("a", 3)])
    mirror, _, _ = follow(store, is_reader=False, pushes=sent)
    assert mirror.get("a").value == value


@pytest.mark.parametrize("packed", [b"", b"not compressed"])
def test_a_packed_push_that_cannot_be_read_is_fetched(packed):
    changed = WatchResult([Item("a", b"w", Position(5))], Position(5))
    store = FakeStore([], [("a", 3)], gap=changed)
    push = PackedPush(Position(3), Position(5), packed)
    mirror, _, _ = follow(store, is_reader=False, pushes=[push])
    assert mirror.get("a").value == b"w"


def test_a_gap_is_filled_from_the_store():
    changed = WatchResult([Item("a", LARGE, Position(5))], Position(5))
    store = FakeStore([], [("a", 3)], gap=changed)
    mirror, _, _ = follow(
        store, is_reader=False, pushes=[Push(Position(5), Position(5), [])]
    )
    assert mirror.get("a").value == LARGE
    assert mirror.position == 5


class SizedStore(FakeStore):
    """Store whose answers to watches have the size of their values."""

    async def watch(self, prefix, after, wait_seconds, on_answer, max_bytes):
        """Return the next answer unless it is too large."""
        answer = await super().watch(prefix, after, wait_seconds)
        if sum(len(item.value) for item in answer.items) > max_bytes:
            raise AnswerTooLargeError("too large", "list")
        return answer


# Number of versions that one watch would bring, number of listings in all.
VERSIONS = [(1, 1), (3, 2)]


@pytest.mark.parametrize(("count", "listings"), VERSIONS)
def test_many_large_versions_are_listed_instead(count, listings):
    """A listing does not contain versions that were overwritten meanwhile."""
    size = MIN_WATCHED_BYTES // 2
    versions = [
        Item("a", bytes([n]) * size, Position(4 + n)) for n in range(count)
    ]
    store = SizedStore([WatchResult(versions, Position(6))], [("a", 3)])
    mirror, sent, _ = follow(store)
    assert store.list_calls == listings
    if listings == 1:
        assert sent[-1].position == Position(6)


def test_a_reader_passes_on_what_a_listing_changed():
    """Guards against CONFIG: hosts that all read what one has read."""
    store = FakeStore(
        [AnswerTooLargeError("too large", "list")], [("a", 3), ("b", 2)]
    )
    list_page = store.list_page

    async def list_other(*options):
        page = await list_page(*options)
        store.listing = [Item("a", b"w", Position(7))]
        return page

    store.list_page = list_other
    mirror, sent, _ = follow(store)
    assert [item.key for item in mirror.with_prefix("")] == ["a"]
    (push,) = [push for push in sent if push.items]
    assert (push.base, push.position) == (3, 7)
    assert sorted((i.key, i.value) for i in push.items) == [
        ("a", b"w"),
        ("b", None),
    ]


class SlowStore(FakeStore):
    """Store whose first answer to a watch takes some time to arrive."""

    async def watch(self, prefix, after, wait_seconds, on_answer, max_bytes):
        """Begin to answer, and return the next answer later."""
        if self.watches:
            on_answer(LOGGED_BYTES)
            await asyncio.sleep(2 * LONG_READ_SECONDS)
        return await super().watch(prefix, after, wait_seconds)


def test_a_reader_tells_of_changes_that_it_still_reads():
    """Guards against CONFIG: a zone that waits for its slowest host."""
    changed = WatchResult([Item("a", b"w", Position(5))], Position(5))
    _, sent, _ = follow(
        SlowStore([changed], [("a", 3)]), seconds=3 * LONG_READ_SECONDS
    )
    assert [(push.base, push.position) for push in sent] == [(4, 4), (3, 5)]


class StalledStore(FakeStore):
    """Store whose answer to a watch goes on for very long."""

    async def watch(self, prefix, after, wait_seconds, on_answer, max_bytes):
        """Begin to answer."""
        on_answer(LOGGED_BYTES)
        await asyncio.sleep(3600)


def test_a_host_whose_read_takes_long_asks_peers_meanwhile():
    """Guards against CONFIG: hosts whose duties take their links."""
    answer = Changes(Position(9), [MirrorItem("a", b"new", Position(9))])
    mirror, _, is_store_unreachable = follow(
        StalledStore([], [("a", 3)]),
        changes=[answer],
        seconds=LONG_READ_SECONDS + MEANWHILE_SECONDS + 0.2,
    )
    assert (mirror.get("a").value, mirror.position) == (b"new", 9)
    assert not is_store_unreachable


def test_a_push_that_follows_closes_a_gap_without_a_read():
    store = FakeStore([], [("a", 3)])
    changes = [MirrorItem("a", b"w", Position(5))]
    mirror, _, _ = follow(
        store,
        is_reader=False,
        pushes=[
            Push(Position(5), Position(5), []),
            Push(Position(3), Position(5), changes),
        ],
    )
    assert mirror.get("a").value == b"w"
    assert GAP_WATCH_TIMEOUT_SECONDS not in store.waits


def test_peers_are_asked_first_while_the_store_fails():
    """The second gap costs no wait for a store that is silent."""
    store = FakeStore([], [("a", 3)], gap=StoreError("down", "wait"))
    answer = Changes(Position(9), [MirrorItem("a", b"new", Position(9))])
    answers = [answer]
    gaps = [Push(Position(n), Position(n), []) for n in (8, 18)]

    async def scenario():
        loop = asyncio.get_running_loop()
        mirror = Mirror(lambda item: None)

        async def ask_peers(position, count):
            return answers

        synchronizer = MirrorSynchronizer(
            store, mirror, ask_peers, loop.time, lambda: False
        )
        task = loop.create_task(synchronizer.run())
        for gap in gaps:
            await asyncio.sleep(0.05)
            synchronizer.receive_push(gap)
            await asyncio.sleep(GAP_DELAY_SECONDS + GAP_PAUSE_SECONDS + 0.2)
            answers[0] = Changes(
                Position(19), [MirrorItem("a", b"newer", Position(19))]
            )
        task.cancel()
        return mirror.get("a").value

    assert asyncio.run(scenario()) == b"newer"
    assert store.waits.count(GAP_WATCH_TIMEOUT_SECONDS) == 1


# Case, whether the changes are urgent, number of watches within 0.3 s.
CHANGES = [("urgent", True, 3), ("not urgent", False, 1)]


@pytest.mark.parametrize(
    ("is_urgent", "watches"),
    [case[1:] for case in CHANGES],
    ids=[case[0] for case in CHANGES],
)
def test_non_urgent_changes_are_coalesced(is_urgent, watches):
    answers = [
        WatchResult([Item("a", b"w", Position(4 + n))], Position(4 + n))
        for n in range(9)
    ]
    store = FakeStore(answers, [("a", 3)])
    follow(store, is_urgent=lambda item: is_urgent)
    assert 9 - len(store.watches) <= watches + 1
    assert 9 - len(store.watches) >= watches


def test_an_unreachable_store_is_watched_with_a_short_timeout():
    """A call that is never answered would delay recovery of the host."""
    error = StoreError("down", "wait")
    store = FakeStore([error, error, WatchResult([], Position(3))], [("a", 3)])
    follow(store, seconds=0.6)
    assert store.waits[:4] == [
        WATCH_TIMEOUT_SECONDS,
        UNREACHABLE_WATCH_TIMEOUT_SECONDS,
        UNREACHABLE_WATCH_TIMEOUT_SECONDS,
        WATCH_TIMEOUT_SECONDS,
    ]


def test_a_lost_watch_ends_within_the_convergence_time():
    """A watch that is not answered must not delay the next one too long."""
    assert (
        WATCH_TIMEOUT_SECONDS + WATCH_MARGIN_SECONDS < MAX_CONVERGENCE_SECONDS
    )


class PagedStore(FakeStore):
    """Store that goes back between the pages of its first listing."""

    def __init__(self):
        super().__init__([])
        first = Item("a", b"v", Position.of(0, 9))
        again = Item("a", b"v", Position.of(1, 3))
        last = Item("b", b"w", Position.of(1, 4))
        self.pages = [
            Listing([first], True, Position.of(0, 9)),
            Listing([last], False, Position.of(1, 4)),
            Listing([again], True, Position.of(1, 4)),
            Listing([last], False, Position.of(1, 4)),
        ]

    async def list_page(self, prefix, after="", on_answer=None):
        """Return the next page."""
        page = self.pages.pop(0)
        self.era = page.position.era
        return page


def test_a_listing_over_which_the_store_went_back_starts_again():
    store = PagedStore()
    mirror, _, _ = follow(store)
    assert store.pages == []
    assert [item.position for item in mirror.with_prefix("")] == [
        Position.of(1, 3),
        Position.of(1, 4),
    ]


class SilentStore(FakeStore):
    """Store whose watches end only when they are cancelled."""

    def __init__(self):
        super().__init__([], [("a", 3)])
        self.on_new_era = lambda: None

    def notice_era(self, era):
        """Record an era."""
        self.era = era
        self.listing = [Item("a", b"w", Position.of(era, 2))]
        self.on_new_era()

    async def watch(self, prefix, after, wait_seconds, *options):
        """Wait."""
        await asyncio.sleep(3600)


# Eras of pushes that arrive at once, and the resulting position.
NOTICES = [([1], Position.of(1, 2)), ([1, 2, 3], Position.of(3, 2))]


@pytest.mark.parametrize(("eras", "expected"), NOTICES)
def test_a_push_of_a_later_era_ends_a_pending_watch(eras, expected):
    positions = [Position.of(era, 9) for era in eras]
    pushes = [Push(position, position, []) for position in positions]
    mirror, sent, _ = follow(SilentStore(), pushes=pushes)
    assert (mirror.get("a").value, mirror.position) == (b"w", expected)
    # The other hosts of the zone hear of the era at once.
    assert [push.position for push in sent] == [expected]


def test_a_push_of_an_earlier_era_is_dropped():
    store = FakeStore([], [("a", 3)])
    store.era = 1
    store.listing = [Item("a", b"v", Position.of(1, 3))]
    late = MirrorItem("a", b"late", Position(9))
    push = Push(Position(3), Position(9), [late])
    mirror, _, _ = follow(store, pushes=[push])
    assert (mirror.get("a").value, mirror.position) == (
        b"v",
        Position.of(1, 3),
    )


class StatedStore(FakeStore):
    """Store whose answers state a length."""

    async def watch(self, prefix, after, wait_seconds, on_answer, max_bytes):
        """State the length, and return the next answer."""
        if self.watches:
            on_answer(LOGGED_BYTES)
        return await super().watch(prefix, after, wait_seconds)


# Answers to a watch, outcomes that are logged.
READS = [
    (WatchResult([Item("a", b"w", Position(5))], Position(5)), "changed"),
    (StoreError("down", "wait"), "failed"),
]


@pytest.mark.parametrize(("answer", "outcome"), READS)
def test_large_and_failed_reads_are_logged_with_their_size(
    answer, outcome, caplog
):
    caplog.set_level("INFO")
    follow(StatedStore([answer], [("a", 3)]))
    logged = [
        (line.source, line.outcome, line.bytes)
        for line in caplog.records
        if line.message == "changes_read"
    ]
    assert logged == [("reader", outcome, LOGGED_BYTES)]
