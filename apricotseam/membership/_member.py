"""Records of entry hosts and the immutable table of them."""

import enum

import msgspec


class Health(enum.IntEnum):
    """What other hosts observed of a member; the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberState(enum.Enum):
    """State of a member as the rest of the program sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry host.

    ``incarnation`` is fixed for a process and higher for a later process
    at the same address. ``sequence`` is raised by the member itself with
    each fact that it publishes. ``health`` is set by others. ``load`` is
    the number of requests in progress.
    """

    name: str
    peers_address: str
    callers_address: str
    operators_address: str
    availability_zone: str
    incarnation: int
    sequence: int = 0
    health: int = 0
    is_leaving: bool = False
    revision: int = 0
    load: int = 0

    @property
    def state(self):
        """State as a `MemberState`."""
        if self.health == Health.DEAD:
            return MemberState.DEAD
        if self.health == Health.SUSPECT:
            return MemberState.SUSPECT
        if self.is_leaving:
            return MemberState.LEAVING
        return MemberState.LIVE

    @property
    def order(self):
        """Key by which the newer of two records is found."""
        return (self.incarnation, self.sequence, self.health)

    def supersedes(self, other):
        """Return whether this record replaces another of its address."""
        return other is None or self.order > other.order


class Facts(msgspec.Struct, frozen=True, kw_only=True):
    """What a host tells of itself with each probe.

    ``revision`` is that of the configuration, ``listed`` that of the
    listed hosts and ``load`` the number of requests in progress.
    """

    revision: int = 0
    listed: int = 0
    load: int = 0


class MemberTable:
    """Immutable snapshot of all known members.

    Parameters
    ----------
    members : iterable of Member
        One record for each peers' address.
    own_address : str
        Peers' address of this host.
    """

    __slots__ = ("_by_address", "_live", "own_address")

    def __init__(self, members=(), own_address=""):
        self._by_address = {m.peers_address: m for m in members}
        # Made with the first question, since it is asked often.
        self._live = None
        self.own_address = own_address

    def __len__(self):
        return len(self._by_address)

    @property
    def all(self):
        """All members, dead ones included."""
        return list(self._by_address.values())

    @property
    def own(self):
        """Record of this host, or None."""
        return self._by_address.get(self.own_address)

    def live(self):
        """Return the members that may get new work."""
        if self._live is None:
            self._live = tuple(
                m for m in self.all if m.state is MemberState.LIVE
            )
        return list(self._live)

    def present(self):
        """Return the members that are not dead."""
        return [m for m in self.all if m.health != Health.DEAD]

    def find(self, address):
        """Return the member of a peers' address, or None."""
        return self._by_address.get(address)
