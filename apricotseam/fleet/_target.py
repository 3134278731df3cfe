"""Types of targets."""

import msgspec

from apricotseam.fleet._health import Health


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

    __slots__ = ("health", "held_until", "is_present", "record")

    def __init__(self, record):
        self.record = record
        self.health = Health()
        self.is_present = True
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
