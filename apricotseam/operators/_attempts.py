"""Record of the configuration changes that this host refused."""

import collections
import logging
import threading

from apricotseam.config import AuditEntry

_LOG = logging.getLogger(__name__)

MAX_REFUSED_CHANGES = 256
MAX_TEXT_CHARACTERS = 200


class RefusedChanges:
    """The most recent configuration changes that this host refused.

    They are kept in memory only and lost when the process ends, but each
    of them is also logged. Accepted changes are in the audit trail in the
    key-value service.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._entries = collections.deque(maxlen=MAX_REFUSED_CHANGES)

    @property
    def newest(self):
        """Audit entries of the refused changes, newest first."""
        with self._lock:
            return list(reversed(self._entries))

    def add(self, *, operator, source, scope, change_id, wall_time, error):
        """Record and log a change that was refused with an error."""
        entry = AuditEntry(
            revision=0,
            change_id=change_id[:MAX_TEXT_CHARACTERS],
            operator=operator,
            source=source,
            wall_time=wall_time,
            scope=scope[:MAX_TEXT_CHARACTERS],
            outcome=f"{error.code}: {error.found}"[:MAX_TEXT_CHARACTERS],
            digest="",
        )
        with self._lock:
            self._entries.append(entry)
        _LOG.warning(
            "change_refused",
            extra={
                "operator": operator,
                "source": source,
                "scope": entry.scope,
                "change": entry.change_id,
                "outcome": error.code,
            },
        )
