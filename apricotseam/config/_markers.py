"""Index from change ids to the revisions that they may have created."""

import hashlib

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError

from apricotseam.config._records import ChangeMarker

MAX_ATTEMPTS = 8


class ChangeMarkers:
    """Stores one marker for each change id.

    A marker lists the base revisions at which a change was attempted. If
    the change was accepted, its revision is one above one of them.

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
        """Return the base revisions at which a change id was attempted."""
        marker, _ = self._read_marker(change_id)
        return marker.bases

    def add(self, change_id, base):
        """Record that a change id is about to be attempted at a revision.

        The call is idempotent and returns only after the marker is known
        to be stored.

        Parameters
        ----------
        change_id : str
            Identifier of the change.
        base : int
            Revision on which the change is based.

        Raises
        ------
        ConflictError
            If the change id was attempted `MAX_ATTEMPTS` times before.
        AnswerLostError, ServiceUnavailableError
            If it is not known whether the marker was stored.
        """
        marker, version = self._read_marker(change_id)
        if base in marker.bases:
            return
        if len(marker.bases) >= MAX_ATTEMPTS:
            raise ConflictError(
                f"change id {change_id} was attempted {MAX_ATTEMPTS} times",
                "apply with a new change id",
            )
        updated = ChangeMarker(bases=[*marker.bases, base])
        if not self._service.compare_and_swap(
            self._key(change_id), version, msgspec.json.encode(updated)
        ):
            raise AnswerLostError(
                f"the marker of change {change_id} was changed concurrently",
                "repeat the call",
            )

    def remove(self, change_id):
        """Delete the marker of a change id."""
        self._service.delete(self._key(change_id))

    def _read_marker(self, change_id):
        found = self._service.get(self._key(change_id))
        if found is None:
            return ChangeMarker(), 0
        marker = msgspec.json.decode(found.value, type=ChangeMarker)
        return marker, found.version

    def _key(self, change_id):
        digest = hashlib.sha256(change_id.encode()).hexdigest()
        return self._prefix + digest[:40]
