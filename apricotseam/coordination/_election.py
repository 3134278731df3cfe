"""One host at a time holds a duty, by a lease in the store."""

import asyncio
import logging
import time

from apricotseam.errors import ConflictError
from apricotseam.platform import Item
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = 3.0
RENEW_SECONDS = 0.9
# The holder stops this long before the store could end its lease.
MARGIN_SECONDS = 0.5
CANDIDATE_DELAY_SECONDS = 0.25
CHECK_SECONDS = 0.25


class Election:
    """Takes part in the election of a duty's holder.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        Where the present holder shows.
    key : str
        Key of the duty.
    name : str
        Name of this host.
    rank : callable
        Returns this host's place among the candidates, from 0.
    """

    def __init__(self, store, mirror, key, name, rank):
        self._store = store
        self._mirror = mirror
        self._key = key
        self._name = name
        self._rank = rank
        self._lease = None
        self._held_until = 0.0
        self._has_resigned = False
        self.fence = 0

    @property
    def is_holder(self):
        """Whether this host holds the duty, also after a suspension."""
        if self._has_resigned:
            return False
        return self.fence > 0 and _boot_time() < self._held_until

    async def run(self):
        """Take part until this host resigns."""
        while not self._has_resigned:
            try:
                await self._take_part()
            except (StoreError, ConflictError) as error:
                _LOG.debug("election_call_failed", extra={"error": str(error)})
                await asyncio.sleep(CHECK_SECONDS)

    async def resign(self):
        """Give the duty up at once, and take it no more."""
        self._has_resigned = True
        lease, self._lease = self._lease, None
        if self.fence:
            _LOG.info("duty_resigned", extra={"duty": self._key})
        self.fence = 0
        if lease is not None:
            await self._store.end_lease(lease)

    async def _take_part(self):
        if self.fence and not self.is_holder:
            _LOG.warning("duty_lapsed", extra={"duty": self._key})
            self.fence = 0
            self._lease = None
        if self.fence:
            await self._renew()
            await asyncio.sleep(RENEW_SECONDS)
            return
        if (
            self._mirror.get(self._key) is not None
            or not self._mirror.revision
        ):
            await asyncio.sleep(CHECK_SECONDS)
            return
        await asyncio.sleep(self._rank() * CANDIDATE_DELAY_SECONDS)
        if self._mirror.get(self._key) is None and not self._has_resigned:
            await self._claim()

    async def _claim(self):
        asked_at = _boot_time()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        if self._has_resigned:
            await self._store.end_lease(lease)
            return
        self._lease = lease
        item = Item(self._key, self._name.encode(), 0, lease)
        self.fence = await self._store.change([(self._key, 0)], [item])
        self._held_until = asked_at + LEASE_SECONDS - MARGIN_SECONDS
        _LOG.info("duty_taken", extra={"duty": self._key, "fence": self.fence})

    async def _renew(self):
        asked_at = _boot_time()
        try:
            await self._store.keep_lease(self._lease)
        except LeaseEndedError:
            self._held_until = 0.0
            raise
        self._held_until = asked_at + LEASE_SECONDS - MARGIN_SECONDS


def _boot_time():
    return time.clock_gettime(time.CLOCK_BOOTTIME)
