"""Drafts of a new root and the chunks that it needs."""

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import InvalidFileError
from apricotseam.errors import ServiceUnavailableError

from apricotseam.config._chunks import chunk_digest
from apricotseam.config._chunks import make_reference
from apricotseam.config._chunks import split_text
from apricotseam.config._records import Garbage
from apricotseam.config._records import Root
from apricotseam.config._records import ScopeChunks

GARBAGE_GRACE_SECONDS = 60.0
MAX_GARBAGE_RECORDS = 64
MAX_INLINE_SCOPES_BYTES = 256 << 10
MAX_ROOT_BYTES = 900 << 10


class Draft:
    """A new root that is not swapped in yet.

    Parameters
    ----------
    writer : RootWriter
        Writes and deletes the chunks.
    root : Root
        The new root.
    encoded : bytes
        The value to swap in.
    chunks : list of (str, bytes)
        Chunks that are new with this draft.
    expired : list of str
        References whose chunks may be deleted.
    """

    __slots__ = ("_chunks", "_expired", "_writer", "encoded", "root")

    def __init__(self, writer, root, encoded, chunks, expired):
        self._writer = writer
        self._chunks = chunks
        self._expired = expired
        self.root = root
        self.encoded = encoded

    @property
    def entry(self):
        """Entry of the change."""
        return self.root.audit[0]

    @property
    def data_chunks(self):
        """New chunks of the scope's data, with their references."""
        data = set(self.root.scopes[self.entry.scope].data)
        return [pair for pair in self._chunks if pair[0] in data]

    def write(self, deadline):
        """Write the new chunks and delete expired ones.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If a chunk is not known to be written.
        """
        self._writer.write(self._chunks, deadline)
        self._writer.delete(self._expired)

    def discard(self):
        """Delete the new chunks after the swap is proved lost."""
        self._writer.delete([reference for reference, _ in self._chunks])


class RootWriter:
    """Makes drafts and moves their chunks to and from the service.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of the chunks' keys.
    retry : Retry
        Repeats idempotent calls.
    run_all : callable
        As `map`.
    """

    def __init__(self, service, prefix, retry, run_all):
        self._service = service
        self._prefix = prefix
        self._retry = retry
        self._run_all = run_all

    def key(self, reference):
        """Return the key of a chunk."""
        return self._prefix + reference

    def with_scopes(self, root, read_chunk):
        """Return a root whose scopes are read from its manifest."""
        if not root.manifest:
            return root
        body = b"".join(map(read_chunk, root.manifest))
        scopes = msgspec.json.decode(body, type=dict[str, ScopeChunks])
        return msgspec.structs.replace(root, scopes=scopes)

    def draft(self, root, entry, entries, text, scope_file):
        """Return the `Draft` of the root that follows a root.

        Parameters
        ----------
        root : Root
            The base.
        entry : AuditEntry
            Entry of the change.
        entries : list of AuditEntry
            Earlier entries that stay in the root.
        text : str
            The operator's file.
        scope_file : ScopeFile
            The same, checked.

        Raises
        ------
        InvalidFileError
            If the root would be too large.
        """
        tag = entry.attempt
        old = root.scopes.get(entry.scope)
        data = msgspec.json.format(msgspec.json.encode(scope_file), indent=1)
        known = {}
        if old is not None:
            known = {r.partition(".")[0]: r for r in old.references}
        chunks = {}
        new = ScopeChunks(
            text=_refer(text.encode(), tag, known, chunks),
            data=_refer(data, tag, known, chunks),
        )
        scopes = {**root.scopes, entry.scope: new}
        manifest = []
        body = msgspec.json.encode(scopes)
        if len(body) > MAX_INLINE_SCOPES_BYTES:
            manifest = _refer(body, tag, {}, chunks)
        kept, expired = self._collect(root, old, new, entry.wall_time)
        full = Root(
            revision=entry.revision,
            change_id=entry.change_id,
            scopes=scopes,
            manifest=manifest,
            audit=[entry, *entries],
            garbage=kept,
        )
        inline = {} if manifest else scopes
        stored = msgspec.structs.replace(full, scopes=inline)
        encoded = msgspec.json.encode(stored)
        if len(encoded) > MAX_ROOT_BYTES:
            raise InvalidFileError(
                f"the root would have {len(encoded)} bytes,"
                f" {MAX_ROOT_BYTES} allowed",
                "declare less in one scope",
            )
        return Draft(self, full, encoded, list(chunks.items()), expired)

    def write(self, chunks, deadline):
        """Put chunks, repeating each until it is known to be written."""

        def put(pair):
            reference, chunk = pair
            self._retry.call(
                deadline, self._service.put, self.key(reference), chunk
            )

        for _ in self._run_all(put, chunks):
            pass

    def delete(self, references):
        """Delete chunks that no root can name again, as far as possible."""
        for reference in references:
            try:
                self._service.delete(self.key(reference))
            except (AnswerLostError, ServiceUnavailableError):
                return

    @staticmethod
    def _collect(root, old, new, wall_time):
        """Return the garbage to keep and the references to delete."""
        dropped = list(root.manifest)
        if old is not None:
            used = set(new.references)
            dropped.extend(r for r in old.references if r not in used)
        kept = []
        expired = []
        for garbage in root.garbage:
            if wall_time >= garbage.wall_time + GARBAGE_GRACE_SECONDS:
                expired.extend(garbage.references)
            else:
                kept.append(garbage)
        if dropped:
            kept.append(Garbage(references=dropped, wall_time=wall_time))
        while len(kept) > MAX_GARBAGE_RECORDS:
            expired.extend(kept.pop(0).references)
        return kept, expired


def _refer(body, tag, known, chunks):
    """Return references of a body; add its new chunks to `chunks`."""
    references = []
    for chunk in split_text(body):
        digest = chunk_digest(chunk)
        if digest not in known:
            reference = make_reference(chunk, tag)
            known[digest] = reference
            chunks[reference] = chunk
        references.append(known[digest])
    return references
