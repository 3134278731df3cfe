"""Audit trail: newest entries in the root, older ones in segments."""

import msgspec

from apricotseam.errors import InvalidRequestError

from apricotseam.config._records import AuditEntry

SEGMENT_ENTRIES = 16
MAX_ROOT_AUDIT_ENTRIES = 2 * SEGMENT_ENTRIES
KEPT_SEGMENTS = 8192
MAX_LISTED_ENTRIES = 500


class AuditTrail:
    """Reads entries by revision and writes segments.

    A segment holds the entries of a fixed range of revisions. It is
    written before the root drops them, and whoever writes it writes the
    same bytes, since accepted entries never change.

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
        """Return the entry of a revision up to the root's, or None."""
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
            The root to start from.
        before : int or None
            Only entries of lower revisions; None for all.
        limit : int
            Greatest number of entries.

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
                f"limit {limit}, 1 to {MAX_LISTED_ENTRIES} allowed",
                "ask for fewer entries and go on with `before`",
            )
        upper = root.revision + 1 if before is None else before
        found = [entry for entry in root.audit if entry.revision < upper]
        lowest = min((e.revision for e in root.audit), default=1)
        revision = min(upper, lowest) - 1
        while revision > 0 and len(found) < limit:
            segment = _segment_of(revision)
            entries = self._read_segment(segment)
            if not entries:
                break
            entries = [e for e in entries if e.revision <= revision]
            found.extend(sorted(entries, key=_revision, reverse=True))
            revision = segment * SEGMENT_ENTRIES
        return found[:limit]

    def make_room(self, root):
        """Write a segment if it is due and return the entries to keep.

        Raises
        ------
        ServiceUnavailableError, AnswerLostError
            If the segment is not known to be written.
        """
        if len(root.audit) < MAX_ROOT_AUDIT_ENTRIES:
            return root.audit
        oldest = min(entry.revision for entry in root.audit)
        segment = _segment_of(oldest)
        last = (segment + 1) * SEGMENT_ENTRIES
        moved = [entry for entry in root.audit if entry.revision <= last]
        self._service.put(self._key(segment), msgspec.json.encode(moved))
        return [entry for entry in root.audit if entry.revision > last]

    def drop_oldest(self, root):
        """Delete the segment past what is kept and return its entries."""
        segment = _segment_of(root.revision) - KEPT_SEGMENTS
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


def _revision(entry):
    return entry.revision
