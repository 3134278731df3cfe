"""Reads of the store's items, which can be interrupted."""

import asyncio
import logging

import msgspec

from apricotseam.coordination._messages import MirrorItem
from apricotseam.positions import Position

_LOG = logging.getLogger(__name__)

# A read whose answer takes longer is reported as long.
LONG_READ_SECONDS = 0.2


class ListedItems(msgspec.Struct, frozen=True):
    """All items of the store, from pages of one era.

    ``first`` and ``last`` are the positions of the store at the first and the
    last page.
    """

    items: list[MirrorItem]
    first: Position
    last: Position


class StoreReader:
    """Reads the changes or all items of the store.

    Parameters
    ----------
    store : StoreClient
        The store.
    reads : ReadLog
        Records the reads.
    on_long_read : callable
        Called when the answer to a read that brings changes has been under
        way for `LONG_READ_SECONDS`.
    """

    def __init__(self, store, reads, on_long_read):
        self._store = store
        self._reads = reads
        self._on_long_read = on_long_read
        self._answer = None
        self._watch_timeout = None

    @property
    def is_long(self):
        """Whether an answer that was reported as long is still under way."""
        return self._answer is not None and self._answer.is_long

    async def watch(self, source, after, seconds, max_bytes):
        """Wait for changes after a position.

        Parameters
        ----------
        source : str
            Why this host reads, for the `ReadLog`.
        after : Position
            The position.
        seconds : float
            How long the store waits for a first change.
        max_bytes : int
            Largest size of the answer.

        Returns
        -------
        WatchResult or None
            None if `interrupt` was called.

        Raises
        ------
        AnswerTooLargeError
            If the answer is larger.
        StoreError
            If there is no valid answer.
        """
        with self._reads.record(source) as read:
            self._answer = answer = _Answer(read, self._on_long_read)
            try:
                async with asyncio.timeout(None) as self._watch_timeout:
                    watched = await self._store.watch(
                        "", after, seconds, answer.begin, max_bytes
                    )
            except TimeoutError:
                return None
            finally:
                answer.end()
                self._watch_timeout = None
            read.items = len(watched.items)
            return watched

    async def list(self, reports_long_read):
        """Return the `ListedItems` of the store.

        Parameters
        ----------
        reports_long_read : bool
            Whether to call ``on_long_read``, as it brings known changes.

        Raises
        ------
        StoreError
            If there is no valid answer.
        """
        on_long_read = self._on_long_read if reports_long_read else _ignore
        with self._reads.record("listing") as read:
            self._answer = answer = _Answer(read, on_long_read)
            try:
                pages = await self._list_pages(answer.begin)
            finally:
                answer.end()
            items = [
                MirrorItem(item.key, item.value, item.position)
                for page in pages
                for item in page.items
            ]
            read.items = len(items)
        listed = ListedItems(items, pages[0].position, pages[-1].position)
        _LOG.info(
            "store_listed",
            extra={
                "items": len(items),
                "era": listed.last.era,
                "revision": listed.last.revision,
            },
        )
        return listed

    def interrupt(self):
        """End the present watch."""
        # A timeout that has expired cannot be set again.
        timeout, self._watch_timeout = self._watch_timeout, None
        if timeout is not None:
            timeout.reschedule(0)

    async def _list_pages(self, on_answer):
        """Return all pages of the store, which are of one era."""
        pages = []
        after = ""
        while True:
            page = await self._store.list_page("", after, on_answer)
            if pages and page.position.era != pages[0].position.era:
                pages = []
                after = ""
                continue
            pages.append(page)
            if not page.has_more or not page.items:
                return pages
            after = page.items[-1].key


def _ignore():
    """Do nothing about a long read."""


class _Answer:
    """Answer to a read, which is reported once if it is long.

    Attributes
    ----------
    is_long : bool
        Whether it was reported and is still under way.
    """

    def __init__(self, read, on_long_read):
        self.is_long = False
        self._read = read
        self._on_long_read = on_long_read
        self._timer = None

    def begin(self, size_bytes):
        """Record that the store begins to answer."""
        self._read.note_answer(size_bytes)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LONG_READ_SECONDS, self._report)

    def _report(self):
        self.is_long = True
        self._on_long_read()

    def end(self):
        """Record that the answer has ended."""
        self.is_long = False
        if self._timer is not None:
            self._timer.cancel()
