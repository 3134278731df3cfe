"""Leader election: a lease in the store lets one host hold a duty."""

import asyncio
import logging
import time

from apricotseam.errors import ConflictError
from apricotseam.platform import Item
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StoreError
from apricotseam.positions import NO_POSITION

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 0.9
# The holder stops acting this long before the store could end its lease, so
# that it never acts at the same time as its successor.
EXPIRY_MARGIN_SECONDS = 0.5
# Candidates claim a vacant duty one after the other, ordered by rank.
CANDIDATE_DELAY_SECONDS = 0.25
CHECK_INTERVAL_SECONDS = 0.25
# An entry that names this host although it does not hold the duty is deleted
# after this time, which exceeds the time to live of an own lease.
ORPHAN_SECONDS = 4.0


class Election:
    """Candidate for a duty, which at most one host holds at a time.

    A candidate claims the duty by writing the duty's key with a lease, if
    the key does not exist. It holds the duty while it renews the lease.

    The duty ends at once when the store goes back, as the store then may
    have lost the lease and let another host claim the duty. Only the host
    that held it until then claims it at once; the others wait until a holder
    that has not heard of the new era has stopped.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        Copy of the store's items, which shows the present holder.
    key : str
        Key of the duty.
    name : str
        Name of this host.
    rank : callable
        Returns this host's rank among the candidates, from 0. A higher
        rank delays the claim.
    is_able : callable, optional
        Returns whether this host can carry out the duty. If not, it gives
        the duty up, and doesn't claim it.

    Attributes
    ----------
    fence : Position
        Position of the claim in the store, for use as a fencing token;
        `NO_POSITION` if this host does not hold the duty. It is higher than
        all earlier ones, also if the store has gone back in between.
    """

    def __init__(self, store, mirror, key, name, rank, is_able=None):
        self._is_able = is_able or (lambda: True)
        self._store = store
        self._mirror = mirror
        self._key = key
        self._name = name
        self._rank = rank
        self._lease = None
        self._held_until = 0.0
        self._has_resigned = False
        # Latest era that this candidate has seen, None before the first one,
        # and the time after which it may claim the duty in that era.
        self._seen_era = None
        self._claims_after = 0.0
        # Position of an entry that names this host without holding the duty,
        # and the time at which it is deleted.
        self._orphan = NO_POSITION
        self._orphan_due_at = 0.0
        self.fence = NO_POSITION

    @property
    def is_holder(self):
        """Whether this host holds the duty.

        The time that the host was suspended counts as well, so a holder
        whose lease ended meanwhile does not act on it. A claim of an earlier
        era of the store does not count.
        """
        if self._has_resigned or self.fence.era != self._store.era:
            return False
        return self._holds_lease and self._is_able()

    @property
    def _holds_lease(self):
        """Whether the lease lasts, if the store has not gone back."""
        return self.fence > NO_POSITION and _boot_time() < self._held_until

    async def run(self):
        """Claim the duty when it is vacant and renew it, until `resign`."""
        while not self._has_resigned:
            try:
                await self._run_once()
            except (StoreError, ConflictError) as error:
                _LOG.debug("election_call_failed", extra={"error": str(error)})
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def resign(self):
        """Give up the duty immediately and do not claim it again."""
        self._has_resigned = True
        await self._give_up()

    async def _give_up(self):
        """Let another host claim the duty at once."""
        lease, self._lease = self._lease, None
        if self.fence:
            _LOG.info("duty_resigned", extra={"duty": self._key})
        self.fence = NO_POSITION
        if lease is not None:
            await self._store.end_lease(lease)

    async def _run_once(self):
        if self.fence and self._holds_lease and not self._is_able():
            await self._give_up()
        if self.fence and not self.is_holder:
            self._lapse()
        if self.fence:
            await self._renew()
            await asyncio.sleep(RENEW_INTERVAL_SECONDS)
            return
        if not self._may_claim() or not self._is_vacant():
            await self._delete_orphan()
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            return
        await asyncio.sleep(self._rank() * CANDIDATE_DELAY_SECONDS)
        if self._may_claim() and self._is_vacant():
            await self._claim()

    def _lapse(self):
        """Give up a duty whose lease has ended."""
        _LOG.warning(
            "duty_lapsed",
            extra={
                "duty": self._key,
                "fence": self.fence,
                "era": self._store.era,
            },
        )
        if self._holds_lease:
            # No other host can hold the duty in the earlier era.
            self._seen_era = self._store.era
            self._claims_after = 0.0
        self.fence = NO_POSITION
        self._lease = None

    def _is_vacant(self):
        """Return whether nobody holds the duty in the store's era."""
        is_of_era = self._mirror.position.era == self._store.era
        return is_of_era and self._mirror.get(self._key) is None

    def _may_claim(self):
        """Return whether to claim, as holders of earlier eras have stopped.

        A host that starts in an era does not know when it began, and relies
        on the fencing tokens.
        """
        if self._has_resigned or self._mirror.position == NO_POSITION:
            return False
        if not self._is_able():
            return False
        if self._seen_era is None:
            self._seen_era = self._mirror.position.era
        if self._seen_era != self._store.era:
            self._seen_era = self._store.era
            self._claims_after = _boot_time() + LEASE_SECONDS
        return _boot_time() >= self._claims_after

    async def _delete_orphan(self):
        """Delete an entry that names this host but that it does not hold.

        If the store goes back while it executes a claim, the entry may be
        bound to a lease of another host.
        """
        item = self._mirror.get(self._key)
        if item is None or not self._store.era:
            return
        if item.value != self._name.encode() or self._has_resigned:
            return
        if item.position != self._orphan:
            self._orphan = item.position
            self._orphan_due_at = _boot_time() + ORPHAN_SECONDS
        if _boot_time() < self._orphan_due_at:
            return
        _LOG.warning("duty_orphan_deleted", extra={"duty": self._key})
        await self._store.change(
            expected=[(self._key, item.position)], deletes=[self._key]
        )

    async def _claim(self):
        # The store counts the lease from a later time than this, so the holder
        # never assumes a longer lease than was granted.
        requested_at = _boot_time()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        # The store may have gone back before it granted the lease.
        if not self._may_claim():
            await self._store.end_lease(lease)
            return
        self._lease = lease
        item = Item(self._key, self._name.encode(), lease=lease)
        self.fence = await self._store.change(
            [(self._key, NO_POSITION)], [item]
        )
        self._held_until = requested_at + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS
        _LOG.info("duty_taken", extra={"duty": self._key, "fence": self.fence})

    async def _renew(self):
        requested_at = _boot_time()
        try:
            await self._store.keep_lease(self._lease)
        except LeaseEndedError:
            # A lease of an earlier era lasted until the store went back.
            if self._lease.era == self._store.era:
                self._held_until = 0.0
            raise
        self._held_until = requested_at + LEASE_SECONDS - EXPIRY_MARGIN_SECONDS


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
