"""Member records and the immutable member table."""

import enum

import msgspec


class Health(enum.IntEnum):
    """Health of a member as observed by other hosts.

    Between records of equal incarnation and sequence, the higher value
    takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberState(enum.Enum):
    """State of a member, derived from its health and its own record."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class Member(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Record of one entry host.

    Attributes
    ----------
    name : str
        Name of the host.
    peers_address : str
        Address for messages between hosts; identifies the member.
    callers_address : str
        Address for callers.
    operators_address : str
        Address for operators.
    availability_zone : str
        Availability zone of the host.
    incarnation : int
        Number of the process, which is the wall-clock time of its start in
        milliseconds since 1970. A later process at the same address has a
        higher one. A process raises its own only if it finds that an
        earlier process had a higher one, as the clock was set back.
    sequence : int
        Version of the record, incremented by the member itself with each
        change that it publishes.
    health : int
        Value of `Health`, set by other hosts.
    is_leaving : bool
        Whether the host is draining before it shuts down.
    revision : int
        Revision of the host's configuration, or 0 if it has none.
    load : int
        Number of requests in progress.
    relay_address : str
        Address at which the host takes requests that others pass on, empty
        if it takes none.
    lost_services : tuple of str
        Services of which the host itself finds that it reaches no target.
    link_mbps : float
        Bandwidth of its link in 10**6 bits a second, 0 if it is not known.
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
    relay_address: str = ""
    lost_services: tuple[str, ...] = ()
    link_mbps: float = 0.0

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
        """Sort key, which is greater for the newer of two records."""
        return (self.incarnation, self.sequence, self.health)

    def supersedes(self, other):
        """Return whether this record replaces one of the same address.

        `other` may be None if there is no such record.
        """
        return other is None or self.order > other.order


class Facts(msgspec.Struct, frozen=True, kw_only=True):
    """State that a host publishes about itself.

    Attributes
    ----------
    revision : int
        Revision of its configuration.
    host_list_revision : int
        Revision of its host list, the addresses at which hosts look for
        one another.
    load : int
        Number of requests in progress.
    """

    revision: int = 0
    host_list_revision: int = 0
    load: int = 0


class MemberTable:
    """Immutable snapshot of all known members.

    Parameters
    ----------
    members : iterable of Member
        One record for each peer address.
    own_address : str
        Peer address of this host.
    """

    __slots__ = ("_by_address", "_live", "own_address")

    def __init__(self, members=(), own_address=""):
        self._by_address = {m.peers_address: m for m in members}
        # Computed on the first call of `live`, which is called often.
        self._live = None
        self.own_address = own_address

    def __len__(self):
        return len(self._by_address)

    @property
    def all(self):
        """All members, including dead ones."""
        return list(self._by_address.values())

    @property
    def own(self):
        """Record of this host, or None."""
        return self._by_address.get(self.own_address)

    def live(self):
        """Return the members that accept new requests."""
        if self._live is None:
            self._live = tuple(
                m for m in self.all if m.state is MemberState.LIVE
            )
        return list(self._live)

    def present(self):
        """Return the members that are not dead."""
        return [m for m in self.all if m.health != Health.DEAD]

    def find(self, address):
        """Return the member with this peer address, or None."""
        return self._by_address.get(address)
