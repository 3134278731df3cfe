"""Late items, listings and peers at a mirror of the store."""

import pytest

from apricotseam.coordination import Mirror
from apricotseam.coordination import MirrorItem
from apricotseam.positions import Position

# Revision of a listing without the key, revision and value of an item of the
# key that arrives afterwards, and whether the mirror then has the key.
LATE_ITEMS = [
    ("older-than-the-listing", 3, 2, b"v", False),
    ("of-the-same-revision", 3, 3, b"v", False),
    ("newer-than-the-listing", 3, 4, b"v", True),
]


@pytest.mark.parametrize(
    ("listed", "revision", "value", "is_known"),
    [case[1:] for case in LATE_ITEMS],
    ids=[case[0] for case in LATE_ITEMS],
)
def test_late_item_of_a_key_that_a_listing_lacks(
    listed, revision, value, is_known
):
    mirror = Mirror(lambda item: None)
    mirror.reconcile([], Position(listed), Position(listed))
    applied = mirror.apply(MirrorItem("a", value, Position(revision)))
    assert applied is is_known
    assert (mirror.get("a") is not None) is is_known


def test_late_item_after_its_tombstone_was_evicted(monkeypatch):
    monkeypatch.setattr("apricotseam.coordination._mirror.MAX_TOMBSTONES", 1)
    mirror = Mirror(lambda item: None)
    for revision, key in enumerate(["a", "b", "c"], 2):
        mirror.apply(MirrorItem(key, None, Position(revision)))
        mirror.advance(Position(revision))
    assert not mirror.apply(MirrorItem("a", b"v", Position(1)))
    assert mirror.get("a") is None


# Revisions of two complete listings with the key "a" at revision 2; the
# mirror has lost the key in between, by a fault or since it was deleted.
LISTINGS = [
    ("newer-listing-brings-the-key", 5, 6, True),
    ("same-listing-brings-the-key", 5, 5, True),
    ("older-listing-does-not", 5, 4, False),
]


@pytest.mark.parametrize(
    ("first", "second", "is_known"),
    [case[1:] for case in LISTINGS],
    ids=[case[0] for case in LISTINGS],
)
def test_listing_that_has_a_key_which_the_mirror_lacks(
    first, second, is_known
):
    mirror = Mirror(lambda item: None)
    mirror.reconcile([], Position(first), Position(first))
    found = MirrorItem("a", b"v", Position(2))
    mirror.reconcile([found], Position(second), Position(second))
    assert (mirror.get("a") is not None) is is_known
