"""Local copy of the store's items on a host."""

import collections

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import MirrorItem

# Number of deleted keys whose revisions are remembered for peers.
MAX_TOMBSTONES = 1024


class Mirror:
    """Items by key, each at the highest revision that was received.

    Parameters
    ----------
    on_change : callable
        Called with each `MirrorItem` that is newer than the known one.

    Attributes
    ----------
    revision : int
        Store revision up to which all changes are known, 0 if none.
    """

    def __init__(self, on_change):
        self._on_change = on_change
        self._items = {}
        self._tombstones = collections.OrderedDict()
        self._evicted_revision = 0
        self.revision = 0

    def __len__(self):
        return len(self._items)

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
        # A key that is unknown up to `revision` was deleted or never existed,
        # so an item of it at a lower revision is late.
        return self._apply_newer(item, self.revision)

    def _apply_newer(self, item, unknown_revision):
        """Apply a change above the revision at which its key is known.

        ``unknown_revision`` is that of keys of which nothing is known.
        """
        if self._revision_of(item.key, unknown_revision) >= item.revision:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._add_tombstone(item)
        else:
            self._tombstones.pop(item.key, None)
            self._items[item.key] = item
        self._on_change(item)
        return True

    def advance(self, revision):
        """Record that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)

    def reconcile(self, items, first_revision, last_revision):
        """Replace the items by a complete listing, which may have had pages.

        Parameters
        ----------
        items : list of MirrorItem
            Items of all pages.
        first_revision, last_revision : int
            Revisions of the store at the first and the last page. A key
            that is not listed counts as deleted unless it is known at a
            revision above that of the first page.
        """
        listed = {item.key for item in items}
        is_older = first_revision < self.revision
        for item in items:
            self._apply_newer(item, self.revision if is_older else 0)
        for key, item in list(self._items.items()):
            if key not in listed and item.revision <= first_revision:
                self.apply(MirrorItem(key, None, first_revision))
        # A change between two pages may be missing from the listing, so the
        # watch has to continue from the first page.
        self.advance(min(first_revision, last_revision))

    def changes_since(self, after):
        """Return the `Changes` after a revision.

        All items are returned for revision 0 and if deletions after the
        revision are no longer known.
        """
        if after < self._evicted_revision or not after:
            return Changes(self.revision, list(self._items.values()), True)
        items = [i for i in self._items.values() if i.revision > after]
        items.extend(
            MirrorItem(key, None, revision)
            for key, revision in self._tombstones.items()
            if revision > after
        )
        return Changes(self.revision, items, False)

    def _revision_of(self, key, unknown_revision):
        """Return the revision at which a key was changed or deleted last."""
        known = self._items.get(key)
        if known is not None:
            return known.revision
        return max(self._tombstones.get(key, 0), unknown_revision)

    def _add_tombstone(self, item):
        self._tombstones[item.key] = item.revision
        self._tombstones.move_to_end(item.key)
        if len(self._tombstones) > MAX_TOMBSTONES:
            _, revision = self._tombstones.popitem(last=False)
            self._evicted_revision = max(self._evicted_revision, revision)
