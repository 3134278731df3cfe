"""Permits to send requests to targets that state a limit.

A target in need states how many requests a second it accepts from all hosts
together. One live host owns the limit and issues a permit for each request;
the others ask it. Hence the number of hosts does not matter, and a host that
gets no answer sends nothing.
"""

import collections

import msgspec

from apricotseam.clock import TokenBucket
from apricotseam.membership import Ownership

# Longest time between two hosts' detection of the same membership change,
# and from a permit to the request sent with it.
HANDOVER_SECONDS = 2.0
# Lower bound of a limit: a target that gets no requests at all cannot say
# that its limit has ended.
MIN_REQUESTS_PER_SECOND = 0.2
# A higher limit counts as this one.
MAX_REQUESTS_PER_SECOND = 1e6
# Longest time for which a host is asked to wait before it asks again.
MAX_WAIT_SECONDS = 4.0
MIN_WAIT_SECONDS = 0.01
# Wait of a host that asked a host which is not the owner by its own list.
NOT_OWNER_WAIT_SECONDS = 0.2
# Target processes whose permits are counted at a time.
MAX_TARGETS = 1000


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for one permit.

    ``target`` and ``born_ms`` identify the process of the target, as in
    `TargetRecord`. ``requests_per_second`` is its limit, as the asking host
    knows it.
    """

    target: str
    born_ms: int
    requests_per_second: float


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Whether a request may be sent now, else when to ask again."""

    is_granted: bool
    wait_seconds: float = 0.0


class _Issued:
    """Permits issued for one target process.

    ``return_at`` is the time at which the last of the refused hosts was
    asked to return, in monotonic seconds.
    """

    __slots__ = ("bucket", "return_at")

    def __init__(self, rate, now):
        # The previous owner may have just issued a burst.
        self.bucket = TokenBucket(rate, now, is_empty=True)
        self.return_at = now


class PermitIssuer:
    """Issues permits for the targets whose limits this host owns.

    Parameters
    ----------
    host : str
        Peer address of this host.
    now : float
        Monotonic time in seconds at which the process started.
    """

    __slots__ = ("_issued", "_ownership")

    def __init__(self, host, now):
        self._ownership = Ownership(host, HANDOVER_SECONDS, now)
        self._issued = collections.OrderedDict()

    def set_members(self, members, hosts, now):
        """Update the live hosts; see `Ownership.set_members`."""
        self._ownership.set_members(members, hosts, now)

    def owner(self, target, born_ms):
        """Return the address of the host that issues a target's permits."""
        return self._ownership.owners.owner(_key(target, born_ms))

    def answer(self, request, now):
        """Return the `PermitAnswer` to a `PermitRequest`.

        Parameters
        ----------
        request : PermitRequest
            Request of this or another host.
        now : float
            Monotonic time in seconds.
        """
        key = _key(request.target, request.born_ms)
        if not self._ownership.is_owner(key):
            return PermitAnswer(False, NOT_OWNER_WAIT_SECONDS)
        rate = self._rate(request.requests_per_second)
        issued = self._issued_for(key, rate, now)
        sole_from = self._ownership.sole_from(key, now)
        issued.bucket.set_rate(rate, now)
        if now >= sole_from and issued.bucket.take(1, now):
            return PermitAnswer(True)
        available_in = issued.bucket.seconds_until_available(now)
        available_at = max(now + available_in, sole_from)
        # Those that are refused one after another return one after another.
        issued.return_at = max(available_at, issued.return_at + 1.0 / rate)
        wait = issued.return_at - now
        if wait > MAX_WAIT_SECONDS:
            issued.return_at = available_at
            wait = MAX_WAIT_SECONDS
        return PermitAnswer(False, max(MIN_WAIT_SECONDS, wait))

    def _rate(self, requests_per_second):
        """Return the rate of permits, of which each partition has a part."""
        reachable = (
            self._ownership.min_recent_members / self._ownership.host_count
        )
        rate = min(requests_per_second, MAX_REQUESTS_PER_SECOND)
        return max(rate, MIN_REQUESTS_PER_SECOND) * min(1.0, reachable)

    def _issued_for(self, key, rate, now):
        issued = self._issued.get(key)
        if issued is None:
            issued = _Issued(rate, now)
            self._issued[key] = issued
            if len(self._issued) > MAX_TARGETS:
                self._issued.popitem(last=False)
        self._issued.move_to_end(key)
        return issued


def _key(target, born_ms):
    return f"{target}/{born_ms}"
