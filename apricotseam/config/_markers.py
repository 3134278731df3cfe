"""Index from change ids to the revisions they may have become."""

import hashlib

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError

from apricotseam.config._records import ChangeMarker

MAX_BASES = 8


class ChangeMarkers:
    """One marker for each change id.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of the markers' keys.
    """

    def __init__(self, service, prefix):
        self._service = service
        self._prefix = prefix

    def read(self, change_id):
        """Return the base revisions that a change id was tried at."""
        marker, _ = self._read(change_id)
        return marker.bases

    def add(self, change_id, base):
        """Note that a change id is about to be tried at a base revision.

        May be repeated. Returns only when the marker is known to hold.

        Raises
        ------
        ConflictError
            If the change id was tried too often.
        AnswerLostError, ServiceUnavailableError
            If the marker is not known to hold.
        """
        marker, version = self._read(change_id)
        if base in marker.bases:
            return
        if len(marker.bases) >= MAX_BASES:
            raise ConflictError(
                f"change id {change_id} was tried {MAX_BASES} times",
                "apply with a new change id",
            )
        added = ChangeMarker(bases=[*marker.bases, base])
        if not self._service.compare_and_swap(
            self._key(change_id), version, msgspec.json.encode(added)
        ):
            raise AnswerLostError(
                f"the marker of change {change_id} changed meanwhile",
                "repeat the call",
            )

    def remove(self, change_id):
        """Forget a change id."""
        self._service.delete(self._key(change_id))

    def _read(self, change_id):
        found = self._service.get(self._key(change_id))
        if found is None:
            return ChangeMarker(), 0
        marker = msgspec.json.decode(found.value, type=ChangeMarker)
        return marker, found.version

    def _key(self, change_id):
        digest = hashlib.sha256(change_id.encode()).hexdigest()
        return self._prefix + digest[:40]
