"""Writes this host into the store, so that others find it."""

import asyncio
import logging

import msgspec

from apricotseam.errors import ConflictError
from apricotseam.platform import Item
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = 30.0
RENEW_SECONDS = 10.0
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# How often it is looked for in the mirror, and how long it may be missing
# there before it is written again.
LOOK_SECONDS = 1.0
MISSING_LOOKS = 4


class Registration:
    """Keeps a host's record in the store while the host runs.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        Where the record shows, also to others.
    key : str
        Key of the record.
    record : HostRecord
        What is written.
    """

    def __init__(self, store, mirror, key, record):
        self._store = store
        self._mirror = mirror
        self._key = key
        self._record = record
        self._lease = None
        self._is_withdrawn = False

    async def run(self):
        """Keep the record there until it is withdrawn."""
        retry_seconds = FIRST_RETRY_SECONDS
        while not self._is_withdrawn:
            try:
                await self._keep()
                retry_seconds = FIRST_RETRY_SECONDS
            except LeaseEndedError:
                self._lease = None
            except (StoreError, ConflictError) as error:
                _LOG.debug("registration_failed", extra={"error": str(error)})
                await asyncio.sleep(retry_seconds)
                retry_seconds = min(MAX_RETRY_SECONDS, 2 * retry_seconds)

    async def withdraw(self):
        """Take the record away for good."""
        self._is_withdrawn = True
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _keep(self):
        if self._lease is None:
            await self._register()
        if await self._is_missing():
            self._lease = None
        if self._lease is not None:
            await self._store.keep_lease(self._lease)

    async def _is_missing(self):
        """Watch the record until its lease is due; return whether it went.

        All records may lapse while the store is away.
        """
        loop = asyncio.get_running_loop()
        renew_at = loop.time() + RENEW_SECONDS
        missing = 0
        while loop.time() < renew_at and not self._is_withdrawn:
            await asyncio.sleep(LOOK_SECONDS)
            missing += 1
            if self._mirror.get(self._key) is not None:
                missing = 0
            if missing >= MISSING_LOOKS:
                return True
        return False

    async def _register(self):
        lease = await self._store.grant_lease(LEASE_SECONDS)
        if self._is_withdrawn:
            await self._store.end_lease(lease)
            return
        value = msgspec.json.encode(self._record)
        self._lease = lease
        try:
            await self._store.change(puts=[Item(self._key, value, 0, lease)])
        except (StoreError, ConflictError):
            self._lease = None
            raise
