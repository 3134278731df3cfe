"""Emulated store for what hosts themselves keep there."""

import asyncio

from apricotseam.coordination import MirrorItem
from apricotseam.platform import StoreConflictError
from apricotseam.platform import StoreError
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

# Time from a change until the hosts see it, and that of a call.
WATCH_SECONDS = 0.02
CALL_SECONDS = 0.005
# Time after which a call to a silent store fails.
TIMEOUT_SECONDS = 1.0


class EmulatedStore:
    """Items by key, which hosts see shortly after a change.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Clock and timers.

    Attributes
    ----------
    is_silent : bool
        Whether it answers no call and tells nobody of changes.
    """

    def __init__(self, loop):
        self._loop = loop
        self._revision = 0
        self._items = {}
        self._views = []
        self.is_silent = False

    def open_view(self, on_item):
        """Return the `StoreView` of a host that starts.

        Parameters
        ----------
        on_item : callable
            Called with each changed `MirrorItem`.
        """
        view = StoreView(self, on_item)
        self._views.append(view)
        self._loop.call_later(WATCH_SECONDS, self._tell)
        return view

    def close_view(self, view):
        """Tell a host that has ended nothing more."""
        self._views.remove(view)

    async def change(self, expected, puts, deletes):
        """Change keys in a transaction; see `StoreClient.change`."""
        if self.is_silent:
            await asyncio.sleep(TIMEOUT_SECONDS)
            raise StoreError("the store is silent", "call again")
        await asyncio.sleep(CALL_SECONDS)
        for key, position in expected:
            known = self._items.get(key)
            if position != (known.position if known else NO_POSITION):
                raise StoreConflictError(f"{key} has changed", "read it")
        self._revision += 1
        position = Position(self._revision)
        for item in puts:
            self._items[item.key] = MirrorItem(item.key, item.value, position)
        for key in deletes:
            self._items.pop(key, None)
        self._loop.call_later(WATCH_SECONDS, self._tell)

    def _tell(self):
        if not self.is_silent:
            for view in list(self._views):
                view.replace_all(dict(self._items))


class StoreView:
    """What one host sees of the store, as client and as mirror."""

    def __init__(self, store, on_item):
        self._store = store
        self._on_item = on_item
        self._items = {}
        self.change = store.change

    def get(self, key):
        """Return the item of a key, or None."""
        return self._items.get(key)

    def with_prefix(self, prefix):
        """Return the items whose keys start with a prefix."""
        return [i for k, i in self._items.items() if k.startswith(prefix)]

    def replace_all(self, items):
        """Take over all items and tell of those that changed."""
        known, self._items = self._items, items
        for key, item in items.items():
            if known.get(key) != item:
                self._on_item(item)
