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

    async def run(self):
        """Keep the record there for ever."""
        while True:
            try:
                await self._register()
                while True:
                    await asyncio.sleep(RENEW_SECONDS)
                    await self._store.keep_lease(self._lease)
            except LeaseEndedError:
                self._lease = None
            except (StoreError, ConflictError) as error:
                _LOG.debug("registration_failed", extra={"error": str(error)})
                await asyncio.sleep(RETRY_SECONDS)

    async def withdraw(self):
        """Take the record away."""
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _register(self):
        if self._lease is not None:
            return
        lease = await self._store.grant_lease(LEASE_SECONDS)
        value = msgspec.json.encode(self._record)
        await self._store.change(puts=[Item(self._key, value, 0, lease)])
        self._lease = lease
