"""Following the store, its readers, and peers."""

import asyncio

import pytest

from apricotseam.coordination._keeper import AWAY_SECONDS
from apricotseam.coordination._keeper import GAP_SECONDS
from apricotseam.coordination._keeper import LARGE_PAUSE_SECONDS
from apricotseam.coordination._keeper import MAX_PUSHED_BYTES
from apricotseam.coordination._keeper import MAX_WASTED_BYTES
from apricotseam.coordination._keeper import WATCH_SECONDS
from apricotseam.coordination import Changes
from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.coordination import MirrorKeeper
from apricotseam.coordination import Push
from apricotseam.platform import HistoryLostError
from apricotseam.platform import Item
from apricotseam.platform import Listing
from apricotseam.platform import StoreError
from apricotseam.platform import WATCH_MARGIN_SECONDS
from apricotseam.platform import Watched

# Time after an outage of the store within which all hosts know its items.
IN_TOUCH_SECONDS = 4.0


class FakeStore:
    """Answers with what a test put in; then there are no changes."""

    def __init__(self, watches, listing=(), gap=None):
        self.watches = list(watches)
        self.waits = []
        self.gap = gap
        self.listing = [Item(k, b"v", r) for k, r in listing]
        self.lists = 0

    async def list_page(self, prefix, after=""):
        """Return all items."""
        self.lists += 1
        revision = max((i.revision for i in self.listing), default=1)
        return Listing(self.listing, False, revision)

    async def watch(self, prefix, after, wait_seconds):
        """Return or raise the next answer."""
        self.waits.append(wait_seconds)
        if wait_seconds == GAP_SECONDS and self.gap is not None:
            self.watches.append(self.gap)
        if not self.watches:
            await asyncio.sleep(0.02)
            return Watched([], after)
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
    """Run a keeper for a moment; return its mirror, pushes and state."""

    async def scenario():
        loop = asyncio.get_running_loop()
        mirror = Mirror(lambda item: None)
        sent = []

        async def ask_peers(revision, count):
            return list(changes)

        keeper = MirrorKeeper(
            store,
            mirror,
            ask_peers,
            loop.time,
            lambda: is_reader or not mirror.revision,
            sent.append,
            is_urgent,
        )
        task = loop.create_task(keeper.run())
        await asyncio.sleep(0.05)
        for push in pushes:
            keeper.take_push(push)
        await asyncio.sleep(seconds)
        task.cancel()
        return mirror, sent, keeper.is_away

    return asyncio.run(scenario())


def test_changes_are_applied_and_pushed():
    changed = Watched([Item("a", b"w", 5)], 5)
    mirror, sent, _ = follow(FakeStore([changed], [("a", 3)]))
    assert mirror.get("a").value == b"w"
    assert [(push.base, push.revision) for push in sent] == [(3, 5)]


def test_lost_history_is_listed_again():
    store = FakeStore([HistoryLostError("gone", "list")], [("a", 3)])
    follow(store)
    assert store.lists == 2


def test_peers_tell_what_the_store_does_not():
    error = StoreError("down", "wait")
    found = Changes(9, [MirrorItem("a", b"new", 9)])
    mirror, _, is_away = follow(
        FakeStore([error] * 50, [("a", 3)]), changes=[found]
    )
    assert mirror.get("a").value == b"new"
    assert (mirror.revision, is_away) == (9, True)


# Pushed changes, value and revision that come of them.
PUSHES = [
    ("next", [Push(3, 5, [MirrorItem("a", b"w", 5)])], b"w", 5),
    ("alive", [Push(3, 3, [])], b"v", 3),
    ("old", [Push(1, 2, [MirrorItem("a", b"o", 2)])], b"v", 3),
    ("gap", [Push(8, 9, [])], b"new", 9),
]
LARGE = b"x" * (MAX_PUSHED_BYTES + 1)


@pytest.mark.parametrize(
    ("pushes", "value", "revision"),
    [case[1:] for case in PUSHES],
    ids=[case[0] for case in PUSHES],
)
def test_pushes_of_a_reader(pushes, value, revision):
    store = FakeStore([], [("a", 3)], gap=StoreError("down", "wait"))
    answer = Changes(9, [MirrorItem("a", b"new", 9)])
    mirror, sent, _ = follow(
        store, changes=[answer], is_reader=False, pushes=pushes
    )
    assert (mirror.get("a").value, mirror.revision) == (value, revision)
    assert sent == []


def test_a_large_change_is_not_pushed_but_named():
    changed = Watched([Item("a", LARGE, 5)], 5)
    mirror, sent, _ = follow(FakeStore([changed], [("a", 3)]))
    assert mirror.get("a").value == LARGE
    assert sent == [Push(5, 5, [])]


def test_a_gap_is_filled_from_the_store():
    changed = Watched([Item("a", LARGE, 5)], 5)
    store = FakeStore([], [("a", 3)], gap=changed)
    mirror, _, _ = follow(store, is_reader=False, pushes=[Push(5, 5, [])])
    assert mirror.get("a").value == LARGE
    assert mirror.revision == 5


def test_many_large_versions_are_listed_instead():
    """Versions that were overwritten at once need not be read."""
    size = MAX_WASTED_BYTES
    versions = [Item("a", bytes([n]) * size, 4 + n) for n in range(3)]
    store = FakeStore([Watched(versions, 6)], [("a", 3)])
    follow(store, seconds=LARGE_PAUSE_SECONDS + 0.2)
    assert store.lists == 2


# Whether requests depend on what changes, watches within 0.3 s.
CHANGES = [("targets", True, 3), ("hosts", False, 1)]


@pytest.mark.parametrize(
    ("is_urgent", "watches"),
    [case[1:] for case in CHANGES],
    ids=[case[0] for case in CHANGES],
)
def test_changes_that_nobody_waits_for_come_together(is_urgent, watches):
    answers = [Watched([Item("a", b"w", 4 + n)], 4 + n) for n in range(9)]
    store = FakeStore(answers, [("a", 3)])
    follow(store, is_urgent=lambda item: is_urgent)
    assert 9 - len(store.watches) <= watches + 1
    assert 9 - len(store.watches) >= watches


def test_a_store_that_was_away_is_asked_shortly_until_it_answers():
    """A call that it never answers would hold the host up meanwhile."""
    error = StoreError("down", "wait")
    store = FakeStore([error, error, Watched([], 3)], [("a", 3)])
    follow(store, seconds=0.6)
    assert store.waits[:4] == [
        WATCH_SECONDS,
        AWAY_SECONDS,
        AWAY_SECONDS,
        WATCH_SECONDS,
    ]


def test_a_call_that_is_lost_ends_before_the_host_counts_as_in_touch():
    assert WATCH_SECONDS + WATCH_MARGIN_SECONDS < IN_TOUCH_SECONDS
