"""Bounds on what all clients together make a process hold."""

import abc
import enum
import logging
import operator
import resource

import msgspec
import prometheus_client

from apricotseam.logs import LogPeriods

_LOG = logging.getLogger(__name__)

# Part of the process's open files that clients may use; the others are for
# targets, hosts and the store.
CLIENT_FILES_SHARE = 0.5
# One closed connection of each cause is logged in this time.
LOG_PERIOD_SECONDS = 1.0
_RELEASABLE_BYTES = operator.attrgetter("releasable_bytes")
_PROGRESS = operator.attrgetter("progress")


class ClientBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what clients make a process hold.

    Attributes
    ----------
    max_connections : int
        Open connections of all listeners; 0 for half of the files that the
        process may open.
    max_held_bytes : int
        Bytes that were received and not handled, or not sent yet, on all
        connections.
    max_connection_bytes : int
        Bytes that one connection may send ahead while a request is handled,
        before the process reads no further.
    """

    max_connections: int = 0
    max_held_bytes: int = 48 << 20
    max_connection_bytes: int = 64 << 10


class CutCause(enum.StrEnum):
    """Why the connection of a client is closed."""

    CONNECTIONS = "connections"
    HELD_BYTES = "held_bytes"
    UNREAD = "unread"


class Budget(abc.ABC):
    """Watches what clients make a process hold."""

    bounds = ClientBounds()

    @abc.abstractmethod
    def add(self, connection):
        """Add a new connection; close another one if there are too many."""

    @abc.abstractmethod
    def remove(self, connection):
        """Remove a connection that was closed."""

    @abc.abstractmethod
    def record(self, connection, held_bytes):
        """Record how many bytes a connection makes this process hold."""

    @abc.abstractmethod
    def count(self, connection, cause):
        """Count and log a connection that is closed for a `CutCause`."""


class NoBudget(Budget):
    """Closes no connection, for servers with a few known clients."""

    def add(self, connection):
        """Ignore a new connection."""

    def remove(self, connection):
        """Ignore a closed connection."""

    def record(self, connection, held_bytes):
        """Ignore what a connection holds."""

    def count(self, connection, cause):
        """Ignore a connection that is closed."""


class ConnectionBudget(Budget):
    """Closes connections of clients that exceed the bounds together.

    Connections that hold the most or make no progress are closed first, not
    the newest ones, and none whose request is handled.

    Parameters
    ----------
    bounds : ClientBounds
        The bounds.
    now : callable
        Returns monotonic time in seconds.
    registry : prometheus_client.CollectorRegistry, optional
        Registry of the metrics.
    """

    def __init__(self, bounds, now, registry=None):
        self._bounds = bounds
        self._max_connections = bounds.max_connections or _default_files()
        # Bytes held by connection, and those that are being closed.
        self._held = {}
        self._closing = set()
        self._total = 0
        self._log_periods = LogPeriods(LOG_PERIOD_SECONDS, now)
        self._make_metrics(registry)

    @property
    def bounds(self):
        """The `ClientBounds`."""
        return self._bounds

    def add(self, connection):
        """Add a new connection; close another one if there are too many."""
        self._held[connection] = 0
        if len(self._held) - len(self._closing) > self._max_connections:
            self._cut(self._least_useful(connection), CutCause.CONNECTIONS)

    def remove(self, connection):
        """Remove a connection that was closed."""
        self._total -= self._held.pop(connection, 0)
        self._closing.discard(connection)

    def record(self, connection, held_bytes):
        """Record how many bytes a connection makes this process hold."""
        if connection not in self._held:
            return
        self._total += held_bytes - self._held[connection]
        self._held[connection] = held_bytes
        if connection in self._closing:
            return
        if self._total > self._bounds.max_held_bytes:
            self._release_bytes()

    def _release_bytes(self):
        """Close connections that hold the most until the bound is kept."""
        excess = self._total - self._bounds.max_held_bytes
        while excess > 0:
            victim = max(self._open(), key=_RELEASABLE_BYTES, default=None)
            if victim is None or not victim.releasable_bytes:
                return
            excess -= victim.releasable_bytes
            self._cut(victim, CutCause.HELD_BYTES)

    def _least_useful(self, newest):
        """Return the connection to close, which is the newest one at last."""
        others = (c for c in self._open() if c is not newest and not c.is_busy)
        return min(others, key=_PROGRESS, default=newest)

    def _open(self):
        return (c for c in self._held if c not in self._closing)

    def count(self, connection, cause):
        """Count and log a connection that is closed for a `CutCause`."""
        self._cuts.labels(cause).inc()
        if not self._log_periods.is_due(cause):
            return
        _LOG.warning(
            "client_cut",
            extra={
                "cause": str(cause),
                "client": connection.client_ip,
                "held_bytes": self._held.get(connection, 0),
                "total_bytes": self._total,
                "connections": len(self._held),
            },
        )

    def _cut(self, connection, cause):
        self.count(connection, cause)
        self._closing.add(connection)
        connection.cut()

    def _make_metrics(self, registry):
        self._cuts = prometheus_client.Counter(
            "apricotseam_clients_cut",
            "Connections of clients that were closed for a bound, by cause.",
            ["cause"],
            registry=registry,
        )
        prometheus_client.Gauge(
            "apricotseam_client_connections",
            "Open connections of clients, on all listeners.",
            registry=registry,
        ).set_function(lambda: len(self._held))
        prometheus_client.Gauge(
            "apricotseam_client_held_bytes",
            "Bytes that were received and not handled, or not sent yet.",
            registry=registry,
        ).set_function(lambda: self._total)


def _default_files():
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(1, int(CLIENT_FILES_SHARE * files))
