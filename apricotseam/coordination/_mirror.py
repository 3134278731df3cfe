"""A host's copy of the store's items."""

import collections

from apricotseam.coordination._messages import Changes
from apricotseam.coordination._messages import MirrorItem

MAX_DELETED = 1024


class Mirror:
    """Items by key, each at the highest revision that was seen.

    Parameters
    ----------
    on_change : callable
        Called with each `MirrorItem` that is newer than what was known.
    """

    def __init__(self, on_change):
        self._on_change = on_change
        self._items = {}
        self._deleted = collections.OrderedDict()
        self._forgotten_revision = 0
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
        """Take one change; return whether it was newer than what is known."""
        known = self._items.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        if self._deleted.get(item.key, 0) >= item.revision:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._remember_deleted(item)
        else:
            self._deleted.pop(item.key, None)
            self._items[item.key] = item
        self._on_change(item)
        return True

    def advance(self, revision):
        """Take that all changes up to a revision are known."""
        self.revision = max(self.revision, revision)

    def reconcile(self, items, first_revision, last_revision):
        """Take a whole listing that was made page by page.

        Parameters
        ----------
        items : list of MirrorItem
            Items of all pages.
        first_revision, last_revision : int
            Revisions of the store at the first and the last page. A key
            that is not listed was deleted, if what is known of it is not
            newer than the first page.
        """
        listed = {item.key for item in items}
        for item in items:
            self.apply(item)
        for key, item in list(self._items.items()):
            if key not in listed and item.revision <= first_revision:
                self.apply(MirrorItem(key, None, first_revision))
        # Changes made between the pages are still to be watched.
        self.advance(min(first_revision, last_revision))

    def changes_since(self, after):
        """Return the `Changes` after a revision, or all items."""
        if after < self._forgotten_revision or not after:
            return Changes(self.revision, list(self._items.values()), True)
        items = [i for i in self._items.values() if i.revision > after]
        items.extend(
            MirrorItem(key, None, revision)
            for key, revision in self._deleted.items()
            if revision > after
        )
        return Changes(self.revision, items, False)

    def _remember_deleted(self, item):
        self._deleted[item.key] = item.revision
        self._deleted.move_to_end(item.key)
        if len(self._deleted) > MAX_DELETED:
            _, revision = self._deleted.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, revision)
