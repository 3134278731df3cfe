"""Configuration store on top of the platform's key-value service.

Scopes are stored in chunks. One root record, replaced by compare-and-swap,
holds the references of the chunks of each scope, the revision, the change
id and the newest audit entries.
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
    """Reads the configuration and applies changes to it.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of all keys.
    retry : Retry, optional
        Retries idempotent calls.
    run_all : callable, optional
        Applies a function to all items like `map`, possibly concurrently.
    """

    def __init__(self, service, prefix, retry=None, run_all=map):
        self._service = service
        self._prefix = prefix
        self._retry = retry or Retry()
        self._run_all = run_all
        self._audit_trail = AuditTrail(service, prefix + "config/audit/")
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
        """Set the function to call with each root that `apply` wrote."""
        self._on_accepted = function

    def read_root(self):
        """Read the root and the service's version of its key.

        Returns
        -------
        (Root, int)
            An empty root and version 0 if there is none yet.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If the service does not answer.
        """
        found = self._service.get(self.root_key)
        if found is None:
            return Root(), 0
        root = msgspec.json.decode(found.value, type=Root)
        return self._writer.load_manifest(
            root, self._read_chunk
        ), found.version

    def read_text(self, chunks):
        """Return the text of a scope as the operator sent it.

        Parameters
        ----------
        chunks : ScopeChunks
            References of the scope.

        Returns
        -------
        str

        Raises
        ------
        ServiceUnavailableError
            If a chunk is missing or corrupt.
        """
        return self._join_chunks(chunks.text).decode()

    def load_scope(self, chunks):
        """Return the validated file of a scope.

        Parameters
        ----------
        chunks : ScopeChunks
            References of the scope.

        Returns
        -------
        ScopeFile

        Raises
        ------
        ServiceUnavailableError
            If a chunk is missing or corrupt.
        """
        self.fetch(chunks.data)
        return load_scope_data(self._join_chunks(chunks.data))

    def fetch(self, references):
        """Read those chunks into the cache that it does not hold yet."""
        missing = self.cache.missing(references)
        for reference, chunk in zip(
            missing, self._run_all(self._read_chunk, missing), strict=True
        ):
            self.cache.put(reference, chunk)

    def apply(self, change):
        """Replace one whole scope.

        Parameters
        ----------
        change : Change
            The change to apply.

        Returns
        -------
        AuditEntry
            The audit entry of the change. If the same change was accepted
            before, that is the earlier entry.

        Raises
        ------
        InvalidFileError
            If the file is not valid.
        ConflictError
            If another change came first, or the change id was used before
            for other content.
        OutcomeUnknownError
            If it could not be determined whether the change is in force.
        ServiceUnavailableError
            If the service failed before anything came into force.
        """
        deadline = self._retry.clock.monotonic() + APPLY_TIMEOUT_SECONDS
        scope_file = load_scope_file(change.text, change.scope)
        digest = _digest(change.text)
        root, version = self._retry_call(deadline, self.read_root)
        existing_entry = self._retry_call(
            deadline, self._find_entry, root, change.change_id
        )
        if existing_entry is not None:
            return _require_same_change(existing_entry, change, digest)
        _require_base(root, change)
        draft = self._make_draft(root, change, scope_file, digest, deadline)
        try:
            draft.write(deadline)
            self._retry_call(
                deadline, self._markers.add, change.change_id, root.revision
            )
            winner = self._swap_root(version, draft, deadline)
        except AnswerLostError as error:
            raise _service_unavailable(error) from None
        except (ConflictError, ServiceUnavailableError):
            draft.discard()
            raise
        if winner != draft.entry:
            draft.discard()
            return _require_same_change(winner, change, digest)
        for reference, chunk in draft.data_chunks:
            self.cache.put(reference, chunk)
        self._on_accepted(draft.root)
        return winner

    def find_change(self, change_id):
        """Return the audit entry of an accepted change id, or None."""
        deadline = self._deadline()
        root, _ = self._retry_call(deadline, self.read_root)
        return self._retry_call(deadline, self._find_entry, root, change_id)

    def list_changes(self, before=None, limit=50):
        """Return the audit entries of accepted changes, newest first.

        Parameters
        ----------
        before : int, optional
            Only entries of lower revisions are returned; None for all.
        limit : int, optional
            Maximum number of entries.

        Returns
        -------
        list of AuditEntry

        Raises
        ------
        InvalidRequestError
            If the limit is out of range.
        ServiceUnavailableError
            If the service does not answer.
        """
        deadline = self._deadline()
        root, _ = self._retry_call(deadline, self.read_root)
        return self._retry_call(
            deadline, self._audit_trail.list, root, before, limit
        )

    def _make_draft(self, root, change, scope_file, digest, deadline):
        attempt_tag = secrets.token_hex(4)
        entry = AuditEntry(
            revision=root.revision + 1,
            change_id=change.change_id,
            operator=change.operator,
            source=change.source,
            wall_time=change.wall_time,
            scope=change.scope,
            outcome="accepted",
            digest=digest,
            attempt=attempt_tag,
            difference=self._retry_call(
                deadline, self._compare_with_current, root, scope_file
            ),
        )
        kept_entries = self._retry_call(
            deadline, self._audit_trail.move_oldest_to_segment, root
        )
        self._delete_oldest_changes(root, kept_entries)
        return self._writer.draft(
            root, entry, kept_entries, change.text, scope_file
        )

    def _swap_root(self, version, draft, deadline):
        def find_winner():
            root, current_version = self.read_root()
            if current_version == version:
                return None
            return self._audit_trail.entry_at(root, draft.entry.revision)

        swap = RootSwap(self._service, self.root_key, self._retry)
        return swap.run(
            version, draft.encoded, draft.entry, find_winner, deadline
        )

    def _delete_oldest_changes(self, root, kept_entries):
        """Delete the changes that exceed the retention of the audit trail.

        This is only necessary if a segment was just written, that is, if
        the root keeps fewer entries than before.
        """
        if len(kept_entries) == len(root.audit):
            return
        try:
            for entry in self._audit_trail.delete_expired_segment(root):
                self._markers.remove(entry.change_id)
        except (AnswerLostError, ServiceUnavailableError):
            return

    def _find_entry(self, root, change_id):
        for entry in root.audit:
            if entry.change_id == change_id:
                return entry
        for base in self._markers.read(change_id):
            if base >= root.revision:
                continue
            entry = self._audit_trail.entry_at(root, base + 1)
            if entry is not None and entry.change_id == change_id:
                return entry
        return None

    def _compare_with_current(self, root, new):
        chunks = root.scopes.get(new.scope)
        old = self.load_scope(chunks) if chunks is not None else None
        return compare_scopes(old, new)

    def _retry_call(self, deadline, function, *arguments):
        """Retry an idempotent call that does not change the root.

        If its answer is lost, nothing has come into force yet, so the
        error is reported as `ServiceUnavailableError`.
        """
        try:
            return self._retry.call(deadline, function, *arguments)
        except AnswerLostError as error:
            raise _service_unavailable(error) from None

    def _deadline(self):
        return self._retry.clock.monotonic() + READ_TIMEOUT_SECONDS

    def _join_chunks(self, references):
        return b"".join(self._run_all(self._read_chunk, references))

    def _read_chunk(self, reference):
        chunk = self.cache.get(reference)
        if chunk is not None:
            return chunk
        found = self._service.get(self._writer.key(reference))
        if found is None or not is_intact(reference, found.value):
            raise ServiceUnavailableError(
                f"chunk {reference[:12]} is missing or corrupt",
                "read the newest revision; if that fails too, apply the file"
                " again",
            )
        return found.value


def _digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


def _service_unavailable(error):
    return ServiceUnavailableError(
        f"the key-value service did not answer: {error.found}",
        "repeat the call when the service is available",
        retry_after=5,
    )


def _require_base(root, change):
    if change.base is not None and change.base != root.revision:
        raise ConflictError(
            f"revision {root.revision} is in force, not {change.base}",
            "review that revision with `apricotseam diff` and apply again",
        )


def _require_same_change(entry, change, digest):
    """Return an earlier entry with the same change id and content."""
    if (entry.scope, entry.digest) != (change.scope, digest):
        raise ConflictError(
            f"change id {change.change_id} was already used for other content"
            f" at revision {entry.revision}",
            "apply with a new change id",
        )
    return entry
