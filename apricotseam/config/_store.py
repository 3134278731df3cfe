"""Configuration kept in the platform's key-value service.

Scopes are stored as content-addressed chunks; one root record, swapped by
compare-and-swap, names the chunk of each scope, the revision, the change
id and the newest audit entries.
"""

import hashlib

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import ServiceUnavailableError

MAX_CHUNK_BYTES = 512 << 10
MAX_ROOT_AUDIT_ENTRIES = 64
MAX_SWAP_ATTEMPTS = 8


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One change: who, when, from where, which scope and outcome."""

    revision: int
    change_id: str
    operator: str
    source: str
    wall_time: float
    scope: str
    outcome: str
    digest: str


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root record; `revision` grows by one with each change."""

    revision: int = 0
    change_id: str = ""
    scopes: dict[str, list[str]] = {}
    audit: list[AuditEntry] = []


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A requested replacement of one scope."""

    change_id: str
    operator: str
    source: str
    wall_time: float
    scope: str
    text: str
    base: int | None = None


class ConfigurationStore:
    """Reads and swaps the configuration root.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of all keys.
    """

    def __init__(self, service, prefix):
        self._service = service
        self._prefix = prefix

    @property
    def root_key(self):
        """Key of the root record."""
        return self._prefix + "config/root"

    def read_root(self):
        """Return the root and the service's version of it.

        Returns
        -------
        (Root, int)
            An empty root and version 0 if there is none yet.
        """
        found = self._service.get(self.root_key)
        if found is None:
            return Root(), 0
        return msgspec.json.decode(found.value, type=Root), found.version

    def read_scope(self, digests):
        """Return the text of a scope from its chunks.

        Raises
        ------
        ServiceUnavailableError
            If a chunk is missing or damaged.
        """
        parts = [self._read_chunk(digest) for digest in digests]
        return b"".join(parts).decode()

    def apply(self, change):
        """Replace one scope whole.

        Returns
        -------
        AuditEntry
            The accepted entry, also when the change id was applied before.

        Raises
        ------
        ConflictError
            If another change won.
        OutcomeUnknownError
            If the answer of the service stays unknown.
        ServiceUnavailableError
            If nothing was written.
        """
        digests = self._write_chunks(change.text.encode())
        lost = False
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                entry, lost = self._try_swap(change, digests, lost)
            except (AnswerLostError, ServiceUnavailableError):
                if not lost:
                    raise
                continue
            if entry is not None:
                return entry
        raise OutcomeUnknownError(
            f"the answer to change {change.change_id} was lost",
            f"run `apricotseam change {change.change_id}` later",
        )

    def find_change(self, change_id):
        """Return the audit entry of a change id, or None."""
        root, _ = self.read_root()
        return _find(root, change_id)

    def _try_swap(self, change, digests, lost):
        root, version = self.read_root()
        known = _find(root, change.change_id)
        if known is not None:
            return known, lost
        if change.base is not None and change.base != root.revision:
            raise ConflictError(
                f"revision {root.revision} is in force, not {change.base}",
                "read that revision with `apricotseam diff` and apply again",
            )
        entry = _entry(change, digests, root.revision + 1)
        swapped = _next_root(root, entry, digests)
        try:
            done = self._service.compare_and_swap(
                self.root_key, version, msgspec.json.encode(swapped)
            )
        except AnswerLostError:
            return None, True
        if done:
            return entry, lost
        if lost:
            return None, lost
        raise ConflictError(
            f"another change took revision {root.revision + 1}",
            "read it with `apricotseam diff` and apply again",
        )

    def _write_chunks(self, body):
        digests = []
        for start in range(0, max(len(body), 1), MAX_CHUNK_BYTES):
            part = body[start : start + MAX_CHUNK_BYTES]
            digest = hashlib.sha256(part).hexdigest()
            self._service.put(self._chunk_key(digest), part)
            digests.append(digest)
        return digests

    def _read_chunk(self, digest):
        found = self._service.get(self._chunk_key(digest))
        if found is None or _digest(found.value) != digest:
            raise ServiceUnavailableError(
                f"chunk {digest[:12]} is missing or damaged",
                "apply the scope's file again",
            )
        return found.value

    def _chunk_key(self, digest):
        return f"{self._prefix}config/chunk/{digest}"


def _digest(value):
    return hashlib.sha256(value).hexdigest()


def _find(root, change_id):
    for entry in root.audit:
        if entry.change_id == change_id:
            return entry
    return None


def _entry(change, digests, revision):
    return AuditEntry(
        revision=revision,
        change_id=change.change_id,
        operator=change.operator,
        source=change.source,
        wall_time=change.wall_time,
        scope=change.scope,
        outcome="accepted",
        digest="+".join(digests),
    )


def _next_root(root, entry, digests):
    audit = [entry, *root.audit][:MAX_ROOT_AUDIT_ENTRIES]
    return Root(
        revision=entry.revision,
        change_id=entry.change_id,
        scopes={**root.scopes, entry.scope: digests},
        audit=audit,
    )
