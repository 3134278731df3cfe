"""Replication of documents between hosts.

A host announces each new revision of a document to its partners, which
fetch the change and the chunks that they lack.
"""

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


class Replica:
    """This host's replica of one kind of document.

    Parameters
    ----------
    history : DocumentHistory
        The newest document and its latest changes.
    cache : ChunkCache
        Chunks of the document.
    on_document : callable
        Called on the control loop with each newly adopted document.

    Attributes
    ----------
    peer_revisions : dict of str to int
        Revisions that peers are known to have and that are to be fetched.
    fetch_task : asyncio.Task or None
        Task of the fetch in progress.
    """

    __slots__ = (
        "cache",
        "fetch_task",
        "history",
        "on_document",
        "peer_revisions",
    )

    def __init__(self, history, cache, on_document):
        self.history = history
        self.cache = cache
        self.on_document = on_document
        self.peer_revisions = {}
        self.fetch_task = None


class DocumentReplicator:
    """Replicates documents between this host and its peers.

    `record_peer_revision` must be called on the control loop, `publish` on
    any other thread. Kinds of documents are added before the first message.

    Parameters
    ----------
    loop : ControlLoop
        Event loop of the control path.
    transport : PeerTransport
        Transport of the messages.
    partners : callable
        Returns the addresses to announce new documents to.
    generator : random.Random, optional
        Source of random numbers.
    """

    def __init__(self, loop, transport, partners, generator=None):
        self._loop = loop
        self._transport = transport
        self._partners = partners
        self._random = generator or random.Random()
        self._replicas = {}
        transport.handle(Announcement, self._receive_announcement)
        transport.handle(ChangeRequest, self._answer_change, ChangePage)
        transport.handle(ChunkRequest, self._answer_chunks, ChunkAnswer)

    def add(self, history, cache, on_document):
        """Replicate documents of one more kind.

        Parameters
        ----------
        history : DocumentHistory
            The newest document and its latest changes.
        cache : ChunkCache
            Chunks of the document.
        on_document : callable
            Called on the control loop with each newly adopted document.
        """
        kind = history.document.kind
        self._replicas[kind] = Replica(history, cache, on_document)

    def publish(self, document):
        """Adopt a document and announce it to the partners.

        May be called on any thread but that of the control loop. Nothing
        is done if the document is not newer than the adopted one.

        Returns
        -------
        bool
            False if the cache lacks a chunk of the document, which must
            then be read again.
        """
        return self._loop.run(
            self._publish_on_loop(document), FETCH_TIMEOUT_SECONDS
        )

    def record_peer_revision(self, peer, kind, revision):
        """Record a peer's revision; fetch it if this host's is older.

        Parameters
        ----------
        peer : str
            Peer address.
        kind : str
            Kind of document.
        revision : int
            Revision that the peer has.
        """
        replica = self._replicas.get(kind)
        if replica is None or revision <= replica.history.revision:
            return
        replica.peer_revisions[peer] = revision
        if replica.fetch_task is None:
            replica.fetch_task = asyncio.ensure_future(self._fetch(replica))

    async def _publish_on_loop(self, document):
        replica = self._replicas[document.kind]
        if document.revision <= replica.history.revision:
            return True
        if replica.cache.missing(document.references):
            return False
        self._adopt(replica, document)
        return True

    def _adopt(self, replica, document):
        if not replica.history.take(document):
            return
        replica.cache.retain(document.references)
        try:
            replica.on_document(document)
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

    def _receive_announcement(self, sender, message):
        self.record_peer_revision(sender, message.kind, message.revision)

    async def _fetch(self, replica):
        """Fetch from peers until no peer is known to have a newer revision."""
        try:
            while replica.peer_revisions:
                peer, revision = self._choose_peer(replica)
                if revision <= replica.history.revision:
                    replica.peer_revisions.clear()
                    return
                try:
                    await self._fetch_from(replica, peer)
                except ApricotseamError as error:
                    _LOG.debug(
                        "document_not_fetched", extra={"code": error.code}
                    )
                if replica.history.revision < revision:
                    replica.peer_revisions.pop(peer, None)
                    await asyncio.sleep(FETCH_PAUSE_SECONDS)
        finally:
            replica.fetch_task = None

    def _choose_peer(self, replica):
        """Return a random peer with the highest known revision, and that."""
        highest = max(replica.peer_revisions.values())
        peers = [p for p, r in replica.peer_revisions.items() if r == highest]
        return self._random.choice(peers), highest

    async def _fetch_from(self, replica, peer):
        change = await self._fetch_change(replica, peer)
        document = replica.history.apply(change) if change else None
        if document is None or document.revision <= replica.history.revision:
            return
        missing = replica.cache.missing(document.references)
        while missing:
            request = ChunkRequest(
                document.kind, missing[:MAX_REQUESTED_CHUNKS]
            )
            answer = await self._transport.ask_async(
                peer, request, FETCH_TIMEOUT_SECONDS
            )
            self._cache_chunks(replica, request, answer)
            remaining = replica.cache.missing(missing)
            if len(remaining) == len(missing):
                return
            missing = remaining
        self._adopt(replica, document)

    @staticmethod
    def _cache_chunks(replica, request, answer):
        wanted = set(request.references)
        for reference, chunk in answer.chunks.items():
            if reference in wanted and is_intact(reference, chunk):
                replica.cache.put(reference, chunk)

    async def _fetch_change(self, replica, peer):
        """Assemble the `DocumentChange` from its pages.

        Returns None if the peer's document changes between two pages or
        if there are more than `MAX_PAGES` pages.
        """
        kind = replica.history.document.kind
        own_revision = replica.history.revision
        parts, removed, after, first = {}, [], "", None
        for _ in range(MAX_PAGES):
            page = await self._transport.ask_async(
                peer,
                ChangeRequest(kind, own_revision, after),
                FETCH_TIMEOUT_SECONDS,
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
        replica = self._replicas[message.kind]
        change = replica.history.change_since(message.revision)
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
        replica = self._replicas[message.kind]
        found = {}
        size = 0
        for reference in message.references[:MAX_REQUESTED_CHUNKS]:
            chunk = replica.cache.get(reference)
            if chunk is None:
                continue
            size += len(chunk)
            if found and size > MAX_ANSWER_BYTES:
                break
            found[reference] = chunk
        return ChunkAnswer(found)
