"""Lease of one group of targets, with a fencing token and a deadline."""

import secrets

import msgspec

from apricotseam.errors import ApricotseamError

LEASE_SECONDS = 4.0
# Time by which the deadline precedes the end of the lease.
SAFETY_MARGIN_SECONDS = 0.8
RENEW_INTERVAL_SECONDS = 1.0
NONCE_BYTES = 9


class OrdererRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of the lease, as stored in the key-value service."""

    host: str
    nonce: str


class OrderLease:
    """Lease that permits one host to send orders to a group.

    The deadline is counted from the start of the call that granted or
    renewed the lease, so that it passes at this host before the lease
    expires at the service.

    Parameters
    ----------
    service : KeyValueService
        Grants the lease.
    clock : Clock
        Source of time.
    key : str
        Key of the group.
    host : str
        Name of this host.
    """

    __slots__ = (
        "_clock",
        "_key",
        "_lease",
        "_nonce",
        "_host",
        "_renew_after",
        "_service",
        "deadline",
        "fencing_token",
    )

    def __init__(self, service, clock, key, host):
        self._service = service
        self._clock = clock
        self._key = key
        self._host = host
        self._nonce = secrets.token_urlsafe(NONCE_BYTES)
        self._lease = None
        self._renew_after = 0.0
        self.fencing_token = 0
        self.deadline = 0.0

    @property
    def is_held(self):
        """Whether orders may be sent now."""
        return (
            self.fencing_token > 0 and self._clock.monotonic() < self.deadline
        )

    def renew_or_acquire(self):
        """Renew or try to acquire the lease; return whether it is held.

        Raises
        ------
        ApricotseamError
            If the service gave no answer.
        """
        if self.is_held:
            self._renew()
        else:
            self._acquire()
        return self.is_held

    def release(self):
        """Revoke the lease; errors are ignored since it expires anyway."""
        lease, self._lease = self._lease, None
        self.fencing_token = 0
        if lease is None:
            return
        try:
            self._service.revoke(lease)
        except ApricotseamError:
            return

    def _renew(self):
        started = self._clock.monotonic()
        if started < self._renew_after:
            return
        if self._service.keep_alive(self._lease):
            self._extend(started)
        else:
            self.fencing_token = 0

    def _acquire(self):
        self.fencing_token = 0
        stored = self._service.get(self._key)
        if stored is not None and not self._is_own(stored):
            return
        if stored is None:
            started = self._clock.monotonic()
            self._nonce = secrets.token_urlsafe(NONCE_BYTES)
            self._lease = self._service.grant_lease(LEASE_SECONDS)
            self._service.compare_and_swap(
                self._key, 0, self._encode_record(), self._lease
            )
            stored = self._service.get(self._key)
            if stored is None or not self._is_own(stored):
                return
        else:
            # The record is still this host's: either the answer to a call
            # was lost, or the deadline passed before a renewal.
            started = self._clock.monotonic()
            if not self._service.keep_alive(self._lease):
                return
        self.fencing_token = stored.version
        self._extend(started)

    def _extend(self, started):
        self.deadline = started + LEASE_SECONDS - SAFETY_MARGIN_SECONDS
        self._renew_after = started + RENEW_INTERVAL_SECONDS

    def _encode_record(self):
        return msgspec.json.encode(
            OrdererRecord(host=self._host, nonce=self._nonce)
        )

    def _is_own(self, stored):
        record = msgspec.json.decode(stored.value, type=OrdererRecord)
        return record.nonce == self._nonce and self._lease is not None
