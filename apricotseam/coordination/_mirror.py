"""Local copy of the store's items on a host."""

import collections

import msgspec

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import MirrorItem
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

# Number of deleted keys whose positions are remembered for peers.
MAX_TOMBSTONES = 1024
# Size of what a store answers of an item beside its key and value.
ITEM_BYTES = 128


class EraChange(msgspec.Struct, frozen=True):
    """Difference between a mirror and the store after the store went back.

    Attributes
    ----------
    old, new : Position
        Positions of the mirror before and after.
    lost : list of str
        Keys that the store no longer has.
    older : list of str
        Keys of which the store has an earlier revision.
    """

    old: Position
    new: Position
    lost: list[str]
    older: list[str]


class Mirror:
    """Items by key, each at the highest position that was received.

    All items are of one era of the store. A listing of a later era replaces
    them; items of other eras are refused.

    Parameters
    ----------
    on_change : callable
        Called with each `MirrorItem` that is newer than the known one.

    Attributes
    ----------
    position : Position
        Position up to which all changes are known.
    """

    def __init__(self, on_change):
        self._on_change = on_change
        self._items = {}
        self._tombstones = collections.OrderedDict()
        # Not all deletions up to this position are known.
        self._forgotten_position = NO_POSITION
        self.position = NO_POSITION

    def __len__(self):
        return len(self._items)

    def size_bytes(self):
        """Return the size of all keys and values, with that of a record."""
        return sum(
            len(key) + len(item.value) + ITEM_BYTES
            for key, item in self._items.items()
        )

    def get(self, key):
        """Return the item of a key, or None."""
        return self._items.get(key)

    def with_prefix(self, prefix):
        """Return the items whose keys start with a prefix."""
        return [i for k, i in self._items.items() if k.startswith(prefix)]

    def apply(self, item):
        """Apply one change if it is newer than the known state of its key.

        Returns
        -------
        bool
            Whether the change was applied.
        """
        if item.position.era != self.position.era:
            return False
        # A key that is unknown up to `position` was deleted or never existed,
        # so an item of it at a lower position is late.
        return self._apply_newer(item, self.position)

    def _apply_newer(self, item, unknown_position):
        """Apply a change above the position at which its key is known.

        ``unknown_position`` is that of keys of which nothing is known.
        """
        if self._position_of(item.key, unknown_position) >= item.position:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._add_tombstone(item)
        else:
            self._tombstones.pop(item.key, None)
            self._items[item.key] = item
        self._on_change(item)
        return True

    def advance(self, position):
        """Record that all changes up to a position are known."""
        self.position = max(self.position, position)

    def reconcile(self, items, first_position, last_position, applied=None):
        """Replace the items by a complete listing, which may have had pages.

        Parameters
        ----------
        items : list of MirrorItem
            Items of all pages.
        first_position, last_position : Position
            Positions of the store at the first and the last page, of the
            same era. A key that is not listed counts as deleted unless it is
            known at a position above that of the first page.
        applied : list of MirrorItem, optional
            The changes that are applied are added to it.

        Returns
        -------
        EraChange or None
            What differs if the listing is of a later era.
        """
        applied = [] if applied is None else applied
        change = self._compare(items, first_position)
        listed = {item.key for item in items}
        is_older = first_position < self.position
        for item in items:
            unknown_position = self.position if is_older else NO_POSITION
            if self._apply_newer(item, unknown_position):
                applied.append(item)
        for key, item in list(self._items.items()):
            if key not in listed and item.position <= first_position:
                deleted = MirrorItem(key, None, first_position)
                if self._apply_newer(deleted, self.position):
                    applied.append(deleted)
        # Keys that were deleted before the listing are not in it.
        self._forgotten_position = max(
            self._forgotten_position, first_position
        )
        # A change between two pages may be missing from the listing, so the
        # watch has to continue from the first page.
        self.advance(min(first_position, last_position))
        return change

    def _compare(self, items, position):
        """Return the `EraChange` of a listing, None if it is of this era."""
        old = self.position
        if old == NO_POSITION or position.era <= old.era:
            return None
        listed = {item.key: item for item in items}
        lost = [key for key in self._items if key not in listed]
        older = [
            key
            for key, item in self._items.items()
            if key in listed
            and listed[key].position.revision < item.position.revision
        ]
        return EraChange(old, position, lost, older)

    def changes_since(self, after):
        """Return the `Changes` after a position.

        All items are returned for `NO_POSITION`, for a position of an earlier
        era and if deletions after the position are no longer known.
        """
        if after.era > self.position.era:
            return Changes(self.position, [])
        is_of_earlier_era = after.era < self.position.era
        is_unknown = after < self._forgotten_position or after == NO_POSITION
        if is_of_earlier_era or is_unknown:
            return Changes(self.position, list(self._items.values()), True)
        items = [i for i in self._items.values() if i.position > after]
        items.extend(
            MirrorItem(key, None, position)
            for key, position in self._tombstones.items()
            if position > after
        )
        return Changes(self.position, items, False)

    def _position_of(self, key, unknown_position):
        """Return the position at which a key was changed or deleted last."""
        known = self._items.get(key)
        if known is not None:
            return known.position
        return max(self._tombstones.get(key, NO_POSITION), unknown_position)

    def _add_tombstone(self, item):
        self._tombstones[item.key] = item.position
        self._tombstones.move_to_end(item.key)
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, position = self._tombstones.popitem(last=False)
            self._forgotten_position = max(self._forgotten_position, position)
