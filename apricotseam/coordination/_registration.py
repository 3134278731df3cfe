"""Registration of this host in the store, so that other hosts find it."""

import asyncio
import logging

import msgspec

from apricotseam.errors import ConflictError
from apricotseam.platform import Item
from apricotseam.platform import LeaseEndedError
from apricotseam.platform import StoreError

_LOG = logging.getLogger(__name__)

LEASE_SECONDS = 30.0
RENEW_INTERVAL_SECONDS = 10.0
FIRST_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 4.0
# Interval between checks whether the mirror contains the record, and number of
# failed checks in a row after which the record is written again.
CHECK_INTERVAL_SECONDS = 1.0
MAX_MISSING_CHECKS = 4


class Registration:
    """Keeps a host's record in the store while the host runs.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        Copy of the store's items, in which the record should appear.
    key : str
        Key of the record.
    record : HostRecord
        The record to write.
    is_needed : callable, optional
        Returns whether other hosts need the record. If they do not, it
        lapses after the start, which saves renewals of its lease.
    """

    def __init__(self, store, mirror, key, record, is_needed=None):
        self._is_needed = is_needed or (lambda: True)
        self._was_registered = False
        self._store = store
        self._mirror = mirror
        self._key = key
        self._record = record
        self._lease = None
        self._is_withdrawn = False

    async def run(self):
        """Write the record and renew its lease until `withdraw`."""
        retry_seconds = FIRST_RETRY_SECONDS
        while not self._is_withdrawn:
            try:
                await self._run_once()
                retry_seconds = FIRST_RETRY_SECONDS
            except LeaseEndedError as error:
                _LOG.info("registration_ended", extra={"error": str(error)})
                self._lease = None
            except (StoreError, ConflictError) as error:
                _LOG.debug("registration_failed", extra={"error": str(error)})
                await asyncio.sleep(retry_seconds)
                retry_seconds = min(MAX_RETRY_SECONDS, 2 * retry_seconds)

    async def withdraw(self):
        """Remove the record and do not write it again."""
        self._is_withdrawn = True
        lease, self._lease = self._lease, None
        if lease is not None:
            await self._store.end_lease(lease)

    async def _run_once(self):
        if self._lease is None:
            if self._was_registered and not self._is_needed():
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                return
            await self._register()
        if await self._is_missing() or not self._is_needed():
            self._lease = None
        if self._lease is not None:
            await self._store.keep_lease(self._lease)

    async def _is_missing(self):
        """Check the record until its lease is to be renewed.

        All records may expire while the store is unreachable. If the store
        goes back, it loses the lease, or the record with it.

        Returns
        -------
        bool
            Whether the record disappeared from the mirror, or its lease is
            of an earlier era of the store.
        """
        loop = asyncio.get_running_loop()
        renew_at = loop.time() + RENEW_INTERVAL_SECONDS
        missing_checks = 0
        while loop.time() < renew_at and not self._is_withdrawn:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self._lease is None or self._lease.era != self._store.era:
                return True
            missing_checks += 1
            if self._mirror.get(self._key) is not None:
                missing_checks = 0
            if missing_checks >= MAX_MISSING_CHECKS:
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
            await self._store.change(
                puts=[Item(self._key, value, lease=lease)]
            )
        except (StoreError, ConflictError):
            self._lease = None
            raise
        self._was_registered = True
