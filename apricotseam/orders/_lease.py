"""Lease of one group of targets, with a fencing number and a deadline."""

import secrets

import msgspec

from apricotseam.errors import ApricotseamError

LEASE_SECONDS = 4.0
MARGIN_SECONDS = 0.8
RENEW_SECONDS = 1.0
NONCE_BYTES = 9


class OrdererRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds the lease, as it stands in the key-value service."""

    host: str
    nonce: str


class OrderLease:
    """Lease on the orders to one group.

    The deadline counts from before the call that granted or renewed it,
    so that it passes here before the lease lapses at the service.

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
        "_renew_at",
        "_service",
        "deadline",
        "fencing",
    )

    def __init__(self, service, clock, key, host):
        self._service = service
        self._clock = clock
        self._key = key
        self._host = host
        self._nonce = secrets.token_urlsafe(NONCE_BYTES)
        self._lease = None
        self._renew_at = 0.0
        self.fencing = 0
        self.deadline = 0.0

    @property
    def is_held(self):
        """Whether orders may be given now."""
        return self.fencing > 0 and self._clock.monotonic() < self.deadline

    def hold(self):
        """Renew the lease or try to take it; return whether it is held.

        Raises
        ------
        ApricotseamError
            If the service gave no answer.
        """
        if self.is_held:
            self._renew()
        else:
            self._take()
        return self.is_held

    def release(self):
        """Give the lease back."""
        lease, self._lease = self._lease, None
        self.fencing = 0
        if lease is None:
            return
        try:
            self._service.revoke(lease)
        except ApricotseamError:
            return

    def _renew(self):
        begun = self._clock.monotonic()
        if begun < self._renew_at:
            return
        if self._service.keep_alive(self._lease):
            self._extend(begun)
        else:
            self.fencing = 0

    def _take(self):
        self.fencing = 0
        found = self._service.get(self._key)
        if found is not None and not self._is_mine(found):
            return
        if found is None:
            begun = self._clock.monotonic()
            self._nonce = secrets.token_urlsafe(NONCE_BYTES)
            self._lease = self._service.grant_lease(LEASE_SECONDS)
            self._service.compare_and_swap(
                self._key, 0, self._record(), self._lease
            )
            found = self._service.get(self._key)
            if found is None or not self._is_mine(found):
                return
        else:
            begun = self._clock.monotonic()
            if not self._service.keep_alive(self._lease):
                return
        self.fencing = found.version
        self._extend(begun)

    def _extend(self, begun):
        self.deadline = begun + LEASE_SECONDS - MARGIN_SECONDS
        self._renew_at = begun + RENEW_SECONDS

    def _record(self):
        return msgspec.json.encode(
            OrdererRecord(host=self._host, nonce=self._nonce)
        )

    def _is_mine(self, found):
        record = msgspec.json.decode(found.value, type=OrdererRecord)
        return record.nonce == self._nonce and self._lease is not None
