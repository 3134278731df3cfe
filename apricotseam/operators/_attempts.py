"""Refused attempts at changes, kept on this host and logged."""

import collections
import logging
import threading

from apricotseam.config import AuditEntry

_LOG = logging.getLogger(__name__)

MAX_REFUSED_ATTEMPTS = 256
MAX_TEXT_CHARACTERS = 200


class RefusedAttempts:
    """Newest refused attempts of one host.

    They are kept in memory only, so they end with the process; the log
    keeps each of them. What was accepted is in the audit trail.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._entries = collections.deque(maxlen=MAX_REFUSED_ATTEMPTS)

    @property
    def newest(self):
        """Entries of refused attempts, newest first."""
        with self._lock:
            return list(reversed(self._entries))

    def add(self, *, operator, source, scope, change_id, wall_time, error):
        """Note an attempt that ended with an error."""
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
