"""Audit trail: newest entries in the root record, older ones in segments."""

import msgspec

from apricotseam.errors import InvalidRequestError

from apricotseam.config._records import AuditEntry

SEGMENT_ENTRIES = 16
# When the root holds this many entries, the oldest ones move to a segment.
MAX_ROOT_AUDIT_ENTRIES = 2 * SEGMENT_ENTRIES
MAX_SEGMENTS = 8192
MAX_LISTED_ENTRIES = 500


class AuditTrail:
    """Reads entries by revision and writes segments.

    A segment holds the entries of a fixed range of `SEGMENT_ENTRIES`
    revisions. It is written before the entries are removed from the root.
    Accepted entries never change, so concurrent writers of a segment write
    the same bytes.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of the segments' keys.
    """

    def __init__(self, service, prefix):
        self._service = service
        self._prefix = prefix

    def entry_at(self, root, revision):
        """Return the audit entry of a revision, or None if there is none."""
        for entry in root.audit:
            if entry.revision == revision:
                return entry
        if not 0 < revision < root.revision:
            return None
        for entry in self._read_segment(_segment_of(revision)):
            if entry.revision == revision:
                return entry
        return None

    def list(self, root, before, limit):
        """Return entries below a revision, newest first.

        Parameters
        ----------
        root : Root
            The newest root.
        before : int or None
            Only entries of lower revisions are returned; None for all.
        limit : int
            Maximum number of entries, at most `MAX_LISTED_ENTRIES`.

        Returns
        -------
        list of AuditEntry

        Raises
        ------
        InvalidRequestError
            If the limit is out of range.
        """
        if not 1 <= limit <= MAX_LISTED_ENTRIES:
            raise InvalidRequestError(
                f"limit is {limit}, allowed is 1 to {MAX_LISTED_ENTRIES}",
                "request fewer entries and continue with `before`",
            )
        end_revision = root.revision + 1 if before is None else before
        found = [
            entry for entry in root.audit if entry.revision < end_revision
        ]
        oldest_in_root = min((e.revision for e in root.audit), default=1)
        revision = min(end_revision, oldest_in_root) - 1
        while revision > 0 and len(found) < limit:
            segment = _segment_of(revision)
            entries = self._read_segment(segment)
            if not entries:
                break
            entries = [e for e in entries if e.revision <= revision]
            found.extend(sorted(entries, key=_revision_of, reverse=True))
            revision = segment * SEGMENT_ENTRIES
        return found[:limit]

    def move_oldest_to_segment(self, root):
        """Move the oldest entries of a full root to a segment.

        Returns
        -------
        list of AuditEntry
            The entries that stay in the root.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If it is not known whether the segment was written.
        """
        if len(root.audit) < MAX_ROOT_AUDIT_ENTRIES:
            return root.audit
        oldest = min(entry.revision for entry in root.audit)
        segment = _segment_of(oldest)
        last_moved = (segment + 1) * SEGMENT_ENTRIES
        moved = [entry for entry in root.audit if entry.revision <= last_moved]
        self._service.put(self._key(segment), msgspec.json.encode(moved))
        return [entry for entry in root.audit if entry.revision > last_moved]

    def delete_expired_segment(self, root):
        """Delete the segment that exceeds `MAX_SEGMENTS`, if there is one.

        Returns
        -------
        list of AuditEntry
            The entries of the deleted segment.
        """
        segment = _segment_of(root.revision) - MAX_SEGMENTS
        if segment < 0:
            return []
        entries = self._read_segment(segment)
        self._service.delete(self._key(segment))
        return entries

    def _read_segment(self, segment):
        found = self._service.get(self._key(segment))
        if found is None:
            return []
        return msgspec.json.decode(found.value, type=list[AuditEntry])

    def _key(self, segment):
        return f"{self._prefix}{segment:012d}"


def _segment_of(revision):
    return (revision - 1) // SEGMENT_ENTRIES


def _revision_of(entry):
    return entry.revision
