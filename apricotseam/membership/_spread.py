"""Spread of documents between hosts: announce, fetch what is missing."""

import asyncio
import logging
import random

from apricotseam.config import DocumentChange
from apricotseam.config import is_intact
from apricotseam.errors import ApricotseamError
from apricotseam.membership._spreadmessages import Announcement
from apricotseam.membership._spreadmessages import ChangePage
from apricotseam.membership._spreadmessages import ChangeRequest
from apricotseam.membership._spreadmessages import ChunkAnswer
from apricotseam.membership._spreadmessages import ChunkRequest

_LOG = logging.getLogger(__name__)

FETCH_TIMEOUT_SECONDS = 2.0
FETCH_PAUSE_SECONDS = 0.2
MAX_PAGE_NAMES = 1000
MAX_REQUESTED_CHUNKS = 64
MAX_ANSWER_BYTES = 256 << 10
MAX_PAGES = 64


class Shelf:
    """One kind of document with its chunks.

    Parameters
    ----------
    history : DocumentHistory
        The newest document and its latest changes.
    cache : ChunkCache
        The chunks.
    on_document : callable
        Called on the control loop with each document that is taken.
    """

    __slots__ = ("cache", "fetching", "heard", "history", "on_document")

    def __init__(self, history, cache, on_document):
        self.history = history
        self.cache = cache
        self.on_document = on_document
        self.heard = {}
        self.fetching = None


class Spread:
    """Takes documents from peers and passes them on.

    All methods but `offer` must be called on the control loop.

    Parameters
    ----------
    loop : ControlLoop
        Loop of the control path.
    transport : PeerTransport
        Carries the messages.
    partners : callable
        Returns the addresses to announce to.
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, loop, transport, partners, generator=None):
        self._loop = loop
        self._transport = transport
        self._partners = partners
        self._random = generator or random.Random()
        self._shelves = {}
        transport.handle(Announcement, self._take_announcement)
        transport.handle(ChangeRequest, self._answer_change, ChangePage)
        transport.handle(ChunkRequest, self._answer_chunks, ChunkAnswer)

    def add(self, history, cache, on_document):
        """Spread documents of one more kind."""
        kind = history.document.kind
        self._shelves[kind] = Shelf(history, cache, on_document)

    def offer(self, document):
        """Take a document whose chunks are in the cache; any thread.

        Returns
        -------
        bool
            False if a chunk is missing, so that it must be read again.
        """
        return self._loop.run(self._offer(document), FETCH_TIMEOUT_SECONDS)

    def hear(self, peer, kind, revision):
        """Note that a peer has a revision and fetch it if it is higher."""
        shelf = self._shelves.get(kind)
        if shelf is None or revision <= shelf.history.revision:
            return
        shelf.heard[peer] = revision
        if shelf.fetching is None:
            shelf.fetching = asyncio.ensure_future(self._fetch(shelf))

    async def _offer(self, document):
        shelf = self._shelves[document.kind]
        if document.revision <= shelf.history.revision:
            return True
        if shelf.cache.missing(document.references):
            return False
        self._take(shelf, document)
        return True

    def _take(self, shelf, document):
        if not shelf.history.take(document):
            return
        shelf.cache.retain(document.references)
        try:
            shelf.on_document(document)
        except ApricotseamError as error:
            _LOG.error(
                "document_not_understood",
                extra={
                    "kind": document.kind,
                    "revision": document.revision,
                    "reason": error.found,
                },
            )
        announcement = Announcement(document.kind, document.revision)
        for address in self._partners():
            self._transport.send(address, announcement)

    def _take_announcement(self, sender, message):
        self.hear(sender, message.kind, message.revision)

    async def _fetch(self, shelf):
        """Fetch from peers until nothing higher is heard of."""
        try:
            while shelf.heard:
                peer, revision = self._best(shelf)
                if revision <= shelf.history.revision:
                    shelf.heard.clear()
                    return
                try:
                    await self._fetch_from(shelf, peer)
                except ApricotseamError as error:
                    _LOG.debug(
                        "document_not_fetched", extra={"code": error.code}
                    )
                if shelf.history.revision < revision:
                    shelf.heard.pop(peer, None)
                    await asyncio.sleep(FETCH_PAUSE_SECONDS)
        finally:
            shelf.fetching = None

    def _best(self, shelf):
        """Return a peer of the highest revision heard of."""
        highest = max(shelf.heard.values())
        peers = [p for p, r in shelf.heard.items() if r == highest]
        return self._random.choice(peers), highest

    async def _fetch_from(self, shelf, peer):
        change = await self._fetch_change(shelf, peer)
        document = shelf.history.apply(change) if change else None
        if document is None or document.revision <= shelf.history.revision:
            return
        missing = shelf.cache.missing(document.references)
        while missing:
            request = ChunkRequest(
                document.kind, missing[:MAX_REQUESTED_CHUNKS]
            )
            answer = await self._transport.ask_async(
                peer, request, FETCH_TIMEOUT_SECONDS
            )
            self._keep(shelf, request, answer)
            left = shelf.cache.missing(missing)
            if len(left) == len(missing):
                return
            missing = left
        self._take(shelf, document)

    @staticmethod
    def _keep(shelf, request, answer):
        wanted = set(request.references)
        for reference, chunk in answer.chunks.items():
            if reference in wanted and is_intact(reference, chunk):
                shelf.cache.put(reference, chunk)

    async def _fetch_change(self, shelf, peer):
        """Return the whole `DocumentChange` from its pages, or None."""
        kind = shelf.history.document.kind
        have = shelf.history.revision
        parts, removed, after, first = {}, [], "", None
        for _ in range(MAX_PAGES):
            page = await self._transport.ask_async(
                peer, ChangeRequest(kind, have, after), FETCH_TIMEOUT_SECONDS
            )
            first = first or page
            if (page.base, page.revision) != (first.base, first.revision):
                return None
            parts.update(page.parts)
            removed.extend(page.removed)
            if not page.last:
                return DocumentChange(
                    kind=kind,
                    base=page.base,
                    revision=page.revision,
                    parts=parts,
                    removed=removed,
                )
            after = page.last
        return None

    def _answer_change(self, sender, message):
        shelf = self._shelves[message.kind]
        change = shelf.history.change_since(message.revision)
        names = sorted(n for n in change.parts if n > message.after)
        page = names[:MAX_PAGE_NAMES]
        return ChangePage(
            base=change.base,
            revision=change.revision,
            parts={name: change.parts[name] for name in page},
            removed=change.removed if not message.after else [],
            last=page[-1] if len(names) > len(page) else "",
        )

    def _answer_chunks(self, sender, message):
        shelf = self._shelves[message.kind]
        found = {}
        size = 0
        for reference in message.references[:MAX_REQUESTED_CHUNKS]:
            chunk = shelf.cache.get(reference)
            if chunk is None:
                continue
            size += len(chunk)
            if found and size > MAX_ANSWER_BYTES:
                break
            found[reference] = chunk
        return ChunkAnswer(found)
