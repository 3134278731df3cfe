"""Types of targets."""

import msgspec

from apricotseam.fleet._health import Health


# How long a target's word on its load holds.
REPORT_SECONDS = 0.5
# Fewer requests than this may be between arrival and start.
MIN_QUEUED = 3


class LayerRange(msgspec.Struct, frozen=True, order=True):
    """Layers ``first`` to ``last``, the latter exclusive."""

    first: int
    last: int

    @property
    def size(self):
        """Number of layers."""
        return self.last - self.first

    def covers(self, other):
        """Return whether all layers of another range are in this one."""
        return self.first <= other.first and other.last <= self.last


class TargetRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself.

    ``born_ms`` is the wall-clock millisecond of its start, 0 if it does
    not say; ``orders`` the number of orders that it accepted since.
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
    revision: int = 0

    @property
    def incarnation(self):
        """What tells two processes of one identity apart."""
        return (self.identity, self.born_ms)


class Target:
    """One process of a target and what this host saw of it.

    Parameters
    ----------
    record : TargetRecord
        What it says of itself.
    """

    __slots__ = (
        "_queued",
        "_report_until",
        "_used_units",
        "health",
        "held_until",
        "is_present",
        "record",
    )

    def __init__(self, record):
        self.record = record
        self.health = Health()
        self.is_present = True
        self._used_units = 0.0
        self._queued = 0
        self._report_until = 0.0
        # Set while its entry is missing but may come back.
        self.held_until = None

    @property
    def identity(self):
        """Identifier that no other process has at this time."""
        return self.record.identity

    @property
    def incarnation(self):
        """Identity and start of this process."""
        return self.record.incarnation

    @property
    def address(self):
        """``ip:port``."""
        return self.record.address

    @property
    def takes_work(self):
        """Whether new work may be sent to it."""
        return self.is_present and not self.record.is_draining

    def note_load(self, used_units, queued, now):
        """Take what the target said of its memory and its queue."""
        self._used_units = used_units
        self._queued = queued
        self._report_until = now + REPORT_SECONDS

    def reported_units(self, now):
        """Return tokens times layers in use by the target's own word."""
        return self._used_units if now < self._report_until else 0.0

    def has_queue(self, now):
        """Return whether requests wait at the target for its memory."""
        return now < self._report_until and self._queued >= MIN_QUEUED
