"""Preparation of a new root and of the chunks that it refers to."""

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

# Hosts may still be reading chunks that the newest root does not refer to.
GARBAGE_GRACE_SECONDS = 60.0
# Bounds the size of the root: if there are more records, the chunks of the
# oldest ones are deleted before their grace period has passed.
MAX_GARBAGE_RECORDS = 64
# A larger table of scopes is stored in chunks that the manifest refers to.
MAX_INLINE_SCOPES_BYTES = 256 << 10
MAX_ROOT_BYTES = 900 << 10


class Draft:
    """A prepared root that has not been swapped in yet.

    Parameters
    ----------
    writer : RootWriter
        Writes and deletes the chunks.
    root : Root
        The new root.
    encoded : bytes
        The encoded root to store.
    chunks : list of (str, bytes)
        New chunks with their references.
    expired : list of str
        References of unused chunks whose grace period has passed.
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
        """Audit entry of the change."""
        return self.root.audit[0]

    @property
    def data_chunks(self):
        """New chunks of the validated scope file, with their references."""
        data = set(self.root.scopes[self.entry.scope].data)
        return [pair for pair in self._chunks if pair[0] in data]

    def write(self, deadline):
        """Write the new chunks and delete expired ones.

        Parameters
        ----------
        deadline : float
            Monotonic time in seconds after which no retry starts.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If it is not known whether every chunk was written.
        """
        self._writer.write(self._chunks, deadline)
        self._writer.delete(self._expired)

    def discard(self):
        """Delete the new chunks after the swap is known to have failed."""
        self._writer.delete([reference for reference, _ in self._chunks])


class RootWriter:
    """Prepares new roots, and writes and deletes their chunks.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of the chunks' keys.
    retry : Retry
        Retries idempotent calls.
    run_all : callable
        Applies a function to all items like `map`, possibly concurrently.
    """

    def __init__(self, service, prefix, retry, run_all):
        self._service = service
        self._prefix = prefix
        self._retry = retry
        self._run_all = run_all

    def key(self, reference):
        """Return the key under which a chunk is stored."""
        return self._prefix + reference

    def load_manifest(self, root, read_chunk):
        """Return a root with its scopes read from its manifest, if it has one.

        Parameters
        ----------
        root : Root
            The root as it is stored.
        read_chunk : callable
            Returns the chunk of a reference.

        Returns
        -------
        Root
        """
        if not root.manifest:
            return root
        body = b"".join(map(read_chunk, root.manifest))
        scopes = msgspec.json.decode(body, type=dict[str, ScopeChunks])
        return msgspec.structs.replace(root, scopes=scopes)

    def draft(self, root, entry, entries, text, scope_file):
        """Return the `Draft` of the root that results from a change.

        Parameters
        ----------
        root : Root
            The root that the change is based on.
        entry : AuditEntry
            Audit entry of the change.
        entries : list of AuditEntry
            Earlier audit entries that stay in the root.
        text : str
            Text of the operator's file.
        scope_file : ScopeFile
            The same file, validated.

        Returns
        -------
        Draft

        Raises
        ------
        InvalidFileError
            If the root would be too large.
        """
        attempt_tag = entry.attempt
        old = root.scopes.get(entry.scope)
        data = msgspec.json.format(msgspec.json.encode(scope_file), indent=1)
        existing = {}
        if old is not None:
            existing = {r.partition(".")[0]: r for r in old.references}
        chunks = {}
        new = ScopeChunks(
            text=_make_references(
                text.encode(), attempt_tag, existing, chunks
            ),
            data=_make_references(data, attempt_tag, existing, chunks),
        )
        scopes = {**root.scopes, entry.scope: new}
        manifest = []
        body = msgspec.json.encode(scopes)
        if len(body) > MAX_INLINE_SCOPES_BYTES:
            manifest = _make_references(body, attempt_tag, {}, chunks)
        kept, expired = self._collect_garbage(root, old, new, entry.wall_time)
        new_root = Root(
            revision=entry.revision,
            change_id=entry.change_id,
            scopes=scopes,
            manifest=manifest,
            audit=[entry, *entries],
            garbage=kept,
        )
        inline = {} if manifest else scopes
        stored_root = msgspec.structs.replace(new_root, scopes=inline)
        encoded = msgspec.json.encode(stored_root)
        if len(encoded) > MAX_ROOT_BYTES:
            raise InvalidFileError(
                f"the root record would have {len(encoded)} bytes,"
                f" at most {MAX_ROOT_BYTES} are allowed",
                "declare less in this scope",
            )
        return Draft(self, new_root, encoded, list(chunks.items()), expired)

    def write(self, chunks, deadline):
        """Write chunks, each with retries until it is known to be stored.

        Parameters
        ----------
        chunks : list of (str, bytes)
            References and chunks.
        deadline : float
            Monotonic time in seconds after which no retry starts.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If it is not known whether every chunk was written.
        """

        def put(pair):
            reference, chunk = pair
            self._retry.call(
                deadline, self._service.put, self.key(reference), chunk
            )

        for _ in self._run_all(put, chunks):
            pass

    def delete(self, references):
        """Delete chunks that no root can refer to again, if possible.

        It stops at the first call that fails; the remaining chunks stay.
        """
        for reference in references:
            try:
                self._service.delete(self.key(reference))
            except (AnswerLostError, ServiceUnavailableError):
                return

    @staticmethod
    def _collect_garbage(root, old, new, wall_time):
        """Return the garbage records to keep and the references to delete.

        References that the new root no longer uses become garbage now and
        are deleted by a later change, after their grace period.
        """
        unused = list(root.manifest)
        if old is not None:
            used = set(new.references)
            unused.extend(r for r in old.references if r not in used)
        kept = []
        expired = []
        for garbage in root.garbage:
            if wall_time >= garbage.wall_time + GARBAGE_GRACE_SECONDS:
                expired.extend(garbage.references)
            else:
                kept.append(garbage)
        if unused:
            kept.append(Garbage(references=unused, wall_time=wall_time))
        while len(kept) > MAX_GARBAGE_RECORDS:
            expired.extend(kept.pop(0).references)
        return kept, expired


def _make_references(body, attempt_tag, existing, chunks):
    """Return the references of the chunks of a body.

    Parameters
    ----------
    body : bytes
        The bytes to store.
    attempt_tag : str
        Tag for the references of new chunks.
    existing : dict of str to str
        References by digest of chunks that are stored already; new ones
        are added.
    chunks : dict of str to bytes
        New chunks are added to it, by reference.

    Returns
    -------
    list of str
    """
    references = []
    for chunk in split_text(body):
        digest = chunk_digest(chunk)
        if digest not in existing:
            reference = make_reference(chunk, attempt_tag)
            existing[digest] = reference
            chunks[reference] = chunk
        references.append(existing[digest])
    return references
