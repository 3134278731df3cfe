"""Configuration kept in the platform's key-value service.

Scopes are stored in chunks; one root record, swapped by compare-and-swap,
names the chunks of each scope, the revision, the change id and the newest
audit entries.
"""

import hashlib
import secrets

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError
from apricotseam.errors import ServiceUnavailableError

from apricotseam.config._audit import AuditTrail
from apricotseam.config._chunks import ChunkCache
from apricotseam.config._chunks import is_intact
from apricotseam.config._difference import compare_scopes
from apricotseam.config._load import load_scope_data
from apricotseam.config._load import load_scope_file
from apricotseam.config._markers import ChangeMarkers
from apricotseam.config._records import AuditEntry
from apricotseam.config._records import Root
from apricotseam.config._retry import Retry
from apricotseam.config._rootwriter import RootWriter
from apricotseam.config._swap import RootSwap

APPLY_TIMEOUT_SECONDS = 10.0
READ_TIMEOUT_SECONDS = 3.0


class ConfigurationStore:
    """Reads and swaps the configuration root.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of all keys.
    retry : Retry, optional
        Repeats idempotent calls.
    run_all : callable, optional
        As `map`; may run the calls side by side.
    """

    def __init__(self, service, prefix, retry=None, run_all=map):
        self._service = service
        self._prefix = prefix
        self._retry = retry or Retry()
        self._run_all = run_all
        self._trail = AuditTrail(service, prefix + "config/audit/")
        self._markers = ChangeMarkers(service, prefix + "config/change/")
        self._writer = RootWriter(
            service, prefix + "config/chunk/", self._retry, run_all
        )
        self._on_accepted = lambda root: None
        self.cache = ChunkCache()

    @property
    def root_key(self):
        """Key of the root record."""
        return self._prefix + "config/root"

    def on_accepted(self, function):
        """Call a function with each root that this store wrote."""
        self._on_accepted = function

    def read_root(self):
        """Return the root and the service's version of it.

        Returns
        -------
        (Root, int)
            An empty root and version 0 if there is none yet.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If the service gives no answer.
        """
        found = self._service.get(self.root_key)
        if found is None:
            return Root(), 0
        root = msgspec.json.decode(found.value, type=Root)
        return self._writer.with_scopes(root, self._read_chunk), found.version

    def read_text(self, chunks):
        """Return the text of a scope as the operator sent it.

        Raises
        ------
        ServiceUnavailableError
            If a chunk is missing or damaged.
        """
        return self._join(chunks.text).decode()

    def load_scope(self, chunks):
        """Return the `ScopeFile` of a scope.

        Raises
        ------
        ServiceUnavailableError
            If a chunk is missing or damaged.
        """
        self.fetch(chunks.data)
        return load_scope_data(self._join(chunks.data))

    def fetch(self, references):
        """Read chunks that are not here yet into the cache."""
        missing = self.cache.missing(references)
        for reference, chunk in zip(
            missing, self._run_all(self._read_chunk, missing), strict=True
        ):
            self.cache.put(reference, chunk)

    def apply(self, change):
        """Replace one scope whole.

        Returns
        -------
        AuditEntry
            The accepted entry, also when the change id was applied before.

        Raises
        ------
        ConflictError
            If another change won, or the change id has other content.
        OutcomeUnknownError
            If the answer of the service stays unknown.
        ServiceUnavailableError
            If nothing came into force.
        """
        deadline = self._retry.clock.monotonic() + APPLY_TIMEOUT_SECONDS
        new = load_scope_file(change.text, change.scope)
        digest = _digest(change.text)
        root, version = self._repeat(deadline, self.read_root)
        known = self._repeat(deadline, self._find, root, change.change_id)
        if known is not None:
            return _same_change(known, change, digest)
        _check_base(root, change)
        draft = self._draft(root, change, new, digest, deadline)
        try:
            draft.write(deadline)
            self._repeat(
                deadline, self._markers.add, change.change_id, root.revision
            )
            won = self._swap(version, draft, deadline)
        except AnswerLostError as error:
            raise _not_written(error) from None
        except (ConflictError, ServiceUnavailableError):
            draft.discard()
            raise
        if won != draft.entry:
            draft.discard()
            return _same_change(won, change, digest)
        for reference, chunk in draft.data_chunks:
            self.cache.put(reference, chunk)
        self._on_accepted(draft.root)
        return won

    def find_change(self, change_id):
        """Return the audit entry of a change id, or None."""
        deadline = self._deadline()
        root, _ = self._repeat(deadline, self.read_root)
        return self._repeat(deadline, self._find, root, change_id)

    def list_changes(self, before=None, limit=50):
        """Return accepted entries below a revision, newest first."""
        deadline = self._deadline()
        root, _ = self._repeat(deadline, self.read_root)
        return self._repeat(deadline, self._trail.list, root, before, limit)

    def _draft(self, root, change, new, digest, deadline):
        tag = secrets.token_hex(4)
        entry = AuditEntry(
            revision=root.revision + 1,
            change_id=change.change_id,
            operator=change.operator,
            source=change.source,
            wall_time=change.wall_time,
            scope=change.scope,
            outcome="accepted",
            digest=digest,
            attempt=tag,
            difference=self._repeat(deadline, self._compare, root, new),
        )
        entries = self._repeat(deadline, self._trail.make_room, root)
        self._collect_old(root, entries)
        return self._writer.draft(root, entry, entries, change.text, new)

    def _swap(self, version, draft, deadline):
        def find_winner():
            root, now_version = self.read_root()
            if now_version == version:
                return None
            return self._trail.entry_at(root, draft.entry.revision)

        swap = RootSwap(self._service, self.root_key, self._retry)
        return swap.run(
            version, draft.encoded, draft.entry, find_winner, deadline
        )

    def _collect_old(self, root, entries):
        """Forget changes that are past what the audit trail keeps."""
        if len(entries) == len(root.audit):
            return
        try:
            for entry in self._trail.drop_oldest(root):
                self._markers.remove(entry.change_id)
        except (AnswerLostError, ServiceUnavailableError):
            return

    def _find(self, root, change_id):
        for entry in root.audit:
            if entry.change_id == change_id:
                return entry
        for base in self._markers.read(change_id):
            if base >= root.revision:
                continue
            entry = self._trail.entry_at(root, base + 1)
            if entry is not None and entry.change_id == change_id:
                return entry
        return None

    def _compare(self, root, new):
        chunks = root.scopes.get(new.scope)
        old = self.load_scope(chunks) if chunks is not None else None
        return compare_scopes(old, new)

    def _repeat(self, deadline, function, *arguments):
        """Repeat an idempotent call that brings nothing into force."""
        try:
            return self._retry.call(deadline, function, *arguments)
        except AnswerLostError as error:
            raise _not_written(error) from None

    def _deadline(self):
        return self._retry.clock.monotonic() + READ_TIMEOUT_SECONDS

    def _join(self, references):
        return b"".join(self._run_all(self._read_chunk, references))

    def _read_chunk(self, reference):
        chunk = self.cache.get(reference)
        if chunk is not None:
            return chunk
        found = self._service.get(self._writer.key(reference))
        if found is None or not is_intact(reference, found.value):
            raise ServiceUnavailableError(
                f"chunk {reference[:12]} is missing or damaged",
                "read the newest revision; else apply the file again",
            )
        return found.value


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def _not_written(error):
    return ServiceUnavailableError(
        f"the service gave no answer: {error.found}",
        "repeat the call when the service is back",
        retry_after=5,
    )


def _check_base(root, change):
    if change.base is not None and change.base != root.revision:
        raise ConflictError(
            f"revision {root.revision} is in force, not {change.base}",
            "read that revision with `apricotseam diff` and apply again",
        )


def _same_change(entry, change, digest):
    """Return an earlier entry of a change id if it is the same change."""
    if (entry.scope, entry.digest) != (change.scope, digest):
        raise ConflictError(
            f"change id {change.change_id} was used for other content at"
            f" revision {entry.revision}",
            "apply with a new change id",
        )
    return entry
