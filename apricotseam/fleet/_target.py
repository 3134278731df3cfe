"""Target records and the state that a host keeps for each target."""

import msgspec

from apricotseam.fleet._announcements import Announcements
from apricotseam.fleet._health import Health
from apricotseam.fleet._pace import Pace
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position


# Time for which a target's load report is valid.
REPORT_VALID_SECONDS = 0.5
# Shortest queue that counts as one. A shorter one may consist of requests that
# are just being started.
MIN_QUEUED_REQUESTS = 3


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Range of model layers from ``first`` up to, not including, ``last``."""

    first: int
    last: int

    @property
    def size(self):
        """Number of layers in the range."""
        return self.last - self.first

    def covers(self, other):
        """Return whether this range includes all layers of another one."""
        return self.first <= other.first and other.last <= self.last

    def within(self, layers):
        """Return the part that is in a model of some layers, None if none is.

        A target may hold layers of a model of which the operator has
        declared fewer since.

        Examples
        --------
        >>> LayerRange(2, 9).within(4)
        LayerRange(first=2, last=4)
        >>> LayerRange(4, 9).within(4) is None
        True
        """
        last = min(self.last, layers)
        return LayerRange(self.first, last) if self.first < last else None


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Registration record that a target publishes about itself.

    ``born_ms`` is the start time of its process in milliseconds of wall
    clock, or 0 if unknown. ``orders`` is the number of orders that it has
    accepted since then. ``position`` is the position of its entry in the
    store.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int = 1
    is_draining: bool = False
    kind: str = ""
    layers: LayerRange | None = None
    is_placeable: bool = False
    born_ms: int = 0
    orders: int = 0
    position: Position = NO_POSITION

    @property
    def incarnation(self):
        """Identity and start time, which differ for each process."""
        return (self.identity, self.born_ms)


class Target:
    """One target process with the state that this host keeps for it.

    Parameters
    ----------
    record : TargetRecord
        Its newest registration record.
    announcements : Announcements, optional
        What its process has said about itself so far.
    """

    __slots__ = (
        "_queued",
        "_report_valid_until",
        "_used_units",
        "announcements",
        "health",
        "removal_due_at",
        "is_present",
        "is_replaced",
        "pace",
        "record",
    )

    def __init__(self, record, announcements=None):
        self.record = record
        self.announcements = announcements or Announcements()
        self.health = Health()
        self.pace = Pace(record.born_ms)
        self.is_present = True
        # Whether another process has started under its identity.
        self.is_replaced = False
        self._used_units = 0.0
        self._queued = 0
        self._report_valid_until = 0.0
        # Monotonic time at which a missing entry leads to removal, or None.
        self.removal_due_at = None

    @property
    def identity(self):
        """Identifier that is unique among the running processes."""
        return self.record.identity

    @property
    def incarnation(self):
        """Identity and start time of this process."""
        return self.record.incarnation

    @property
    def address(self):
        """Address as ``ip:port``."""
        return self.record.address

    @property
    def accepts_requests(self):
        """Whether new requests may be sent to the target."""
        return self.is_present and not self.is_draining

    @property
    def is_draining(self):
        """Whether the target leaves, by its own word or by its record."""
        return self.record.is_draining or self.announcements.is_leaving

    @property
    def has_ended(self):
        """Whether its process is known to have ended, without having left.

        Nothing listens at its address, or another process has its identity.
        """
        if self.health.refuses_connections:
            return True
        return self.is_replaced and not self.is_draining

    def is_process(self, born_ms):
        """Return whether a start time may be that of the target's process.

        Parameters
        ----------
        born_ms : int
            Unix time in milliseconds, 0 if it is not known.
        """
        known_ms = self.record.born_ms
        return not (born_ms and known_ms) or born_ms == known_ms

    def may_send(self, now):
        """Return whether this host may send a new request at present."""
        return self.accepts_requests and not self.is_resting(now)

    @property
    def is_limited(self):
        """Whether each request to it needs a permit, see `SendPermits`."""
        return self.announcements.requests_per_second is not None

    def waits_for_permit(self, now):
        """Return whether its limit admits no request of this host now."""
        return now < self.announcements.permit_due_at

    def opens_at(self):
        """Return from when on neither a rest nor its limit keep it closed.

        It is a monotonic time in seconds, and may be in the past.
        """
        announcements = self.announcements
        return max(announcements.rests_until, announcements.permit_due_at)

    def is_resting(self, now):
        """Return whether the target wants no requests from this host."""
        return self.announcements.is_resting(now)

    def record_load(self, used_units, queued, now):
        """Record the load that the target reported.

        Parameters
        ----------
        used_units : float
            Memory in use, in units of tokens times layers.
        queued : int
            Number of requests that wait for memory.
        now : float
            Monotonic time in seconds.
        """
        self._used_units = used_units
        self._queued = queued
        self._report_valid_until = now + REPORT_VALID_SECONDS

    def reported_units(self, now):
        """Return the memory reported in use, in tokens times layers.

        Without a valid report it is 0.
        """
        return self._used_units if now < self._report_valid_until else 0.0

    def has_queue(self, now):
        """Return whether requests are queued for memory at the target."""
        return (
            now < self._report_valid_until
            and self._queued >= MIN_QUEUED_REQUESTS
        )
