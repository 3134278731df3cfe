"""Writes this host into the store, so that others find it."""

import asyncio
import logging

import msgspec

from apricotseam.errors import ConflictError
from apricotseam.platform import Item
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = 12.0
RENEW_SECONDS = 4.0
RETRY_SECONDS = 0.5


class Registration:
    """Keeps a host's record in the store while the host runs.

    Parameters
    ----------
    store : StoreClient
        The store.
    key : str
        Key of the record.
    record : HostRecord
        What is written.
    """

    def __init__(self, store, key, record):
        self._store = store
        self._key = key
        self._record = record
        self._lease = None
        self._is_withdrawn = False

    async def run(self):
        """Keep the record there until it is withdrawn."""
        while not self._is_withdrawn:
            try:
                await self._keep()
            except LeaseEndedError:
                self._lease = None
            except (StoreError, ConflictError) as error:
                _LOG.debug("registration_failed", extra={"error": str(error)})
                await asyncio.sleep(RETRY_SECONDS)

    async def withdraw(self):
        """Take the record away for good."""
        self._is_withdrawn = True
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _keep(self):
        if self._lease is None:
            await self._register()
        await asyncio.sleep(RENEW_SECONDS)
        if self._lease is not None:
            await self._store.keep_lease(self._lease)

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
