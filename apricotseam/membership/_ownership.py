"""Ownership of keys by hosts, and its hand-over when the members change.

Every host computes the owner of a key from its own list of live hosts, by
rendezvous hashing. Two hosts with different lists may both take themselves
for the owner, so a host acts as the owner only after every other list that
was valid lately has become outdated everywhere.
"""

import collections
import hashlib

# Maximum number of keys whose owner is cached.
MAX_KEYS = 20_000
# Lists of members that are kept until they are outdated everywhere.
MAX_PREVIOUS_LISTS = 64


def rendezvous_score(owner, name):
    """Return the rendezvous hashing score of a pair of names.

    It is an unsigned 64-bit integer and the same on all hosts.

    Examples
    --------
    >>> rendezvous_score("a", "b") == rendezvous_score("a", "b")
    True
    """
    digest = hashlib.blake2b(
        f"{owner}\n{name}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


class Owners:
    """Caches the owner of each key among the live hosts.

    When the members change, added members are compared with the cached
    owner. A key is hashed again over all members only if its owner was
    removed.
    """

    __slots__ = ("_members", "_owners")

    def __init__(self):
        self._members = frozenset()
        self._owners = collections.OrderedDict()

    @property
    def members(self):
        """Addresses of the live hosts."""
        return self._members

    def set_members(self, members):
        """Update the live hosts; return whether they changed."""
        members = frozenset(members)
        if members == self._members:
            return False
        added = members - self._members
        removed = self._members - members
        self._members = members
        for key, (score, owner) in list(self._owners.items()):
            if owner in removed:
                del self._owners[key]
                continue
            best = max([(score, owner), *_scores(key, added)])
            self._owners[key] = best
        return True

    def owner(self, key):
        """Return the address of the key's owner, or None."""
        if not self._members:
            return None
        scored_owner = self._owners.get(key)
        if scored_owner is None:
            scored_owner = max(_scores(key, self._members))
            self._owners[key] = scored_owner
            if len(self._owners) > MAX_KEYS:
                self._owners.popitem(last=False)
        return scored_owner[1]


def rendezvous_owner(key, members):
    """Return the owner of a key among the given members."""
    return max(_scores(key, members))[1]


def _scores(key, members):
    return [(rendezvous_score(m, key), m) for m in members]


class Ownership:
    """Tells which keys this host owns, and whether no other host may act.

    Parameters
    ----------
    host : str
        Address of this host.
    handover_seconds : float
        Time after a change of the members within which an earlier owner may
        still act.
    now : float
        Monotonic time in seconds at which the process started.
    """

    __slots__ = (
        "_handover_deadline",
        "_handover_seconds",
        "_host",
        "_host_count",
        "_owners",
        "_previous_members",
    )

    def __init__(self, host, handover_seconds, now):
        self._host = host
        self._handover_seconds = handover_seconds
        self._owners = Owners()
        # Earlier lists, each with the time at which it is outdated.
        self._previous_members = collections.deque()
        self._host_count = 1
        self._handover_deadline = now + handover_seconds

    @property
    def owners(self):
        """Owner of each key according to this host's member list."""
        return self._owners

    @property
    def host_count(self):
        """Number of hosts in the fleet, including unreachable ones."""
        return self._host_count

    @property
    def min_recent_members(self):
        """Smallest number of live hosts seen recently.

        Hosts that return after a network partition may still act on what
        the owner on their side of it said.
        """
        sizes = [len(members) for members, _ in self._previous_members]
        return min([len(self._owners.members), *sizes])

    def set_members(self, members, hosts, now):
        """Update the live hosts and the total number of hosts.

        Parameters
        ----------
        members : iterable of str
            Addresses of the live hosts, including this one.
        hosts : int
            Number of hosts in the fleet, including unreachable ones.
        now : float
            Monotonic time in seconds.
        """
        before = self._owners.members
        if self._owners.set_members(members) and before:
            outdated_at = now + self._handover_seconds
            if len(self._previous_members) == MAX_PREVIOUS_LISTS:
                # The oldest list is dropped, so its owners are now unknown.
                self._previous_members.popleft()
                self.postpone(outdated_at)
            self._previous_members.append((before, outdated_at))
        self._host_count = max(hosts, len(self._owners.members), 1)

    def postpone(self, until):
        """Own nothing alone before a time, as other owners are unknown."""
        self._handover_deadline = max(self._handover_deadline, until)

    def is_owner(self, key):
        """Return whether this host owns a key, by its member list."""
        return self._owners.owner(key) == self._host

    def is_sole_owner(self, key, now):
        """Return whether this host owns a key and no other may act on it."""
        return self.is_owner(key) and self.sole_from(key, now) <= now

    def sole_from(self, key, now):
        """Return from when on no other host may act as owner of a key.

        It assumes that this host owns the key by its present member list.
        """
        while self._previous_members and self._previous_members[0][1] <= now:
            self._previous_members.popleft()
        others = [
            outdated_at
            for members, outdated_at in self._previous_members
            if rendezvous_owner(key, members) != self._host
        ]
        return max([self._handover_deadline, *others])
