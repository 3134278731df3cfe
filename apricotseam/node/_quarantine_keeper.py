"""Keeps what is held back in the store, so that it outlives the hosts."""

import asyncio
import hashlib
import itertools
import logging
import time
from typing import Annotated

import msgspec

from apricotseam.decoding import Amount
from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.decoding import Name
from apricotseam.errors import ConflictError
from apricotseam.errors import InvalidInputError
from apricotseam.platform import Item
from apricotseam.platform import ROUTER_PREFIX
from apricotseam.platform import StoreError
from apricotseam.positions import NO_POSITION
from apricotseam.quarantine import TargetEnd

_LOG = logging.getLogger(__name__)

QUARANTINE_PREFIX = ROUTER_PREFIX + "quarantine/"
CHECK_PERIOD_SECONDS = 0.5
# Each host by rank writes this much later than the one before, so that the
# first one that reaches the store usually is the only one.
RANK_DELAY_SECONDS = 1.0
MAX_DELAY_SECONDS = 4.0
MS_PER_SECOND = 1000.0
# Hosts write this many ends of a trait, and read entries with more.
WRITTEN_ENDS = 8
MAX_STORED_ENDS = 256


class StoredEnd(msgspec.Struct, frozen=True):
    """A `TargetEnd`; its times are in milliseconds since the epoch."""

    target: Name
    born_ms: Count
    request_key: Name
    customer: Name
    sent_at_ms: Amount
    at_ms: Amount
    is_begun: bool = False
    is_late: bool = False


class StoredTrait(msgspec.Struct, frozen=True):
    """Entry of a trait that is held back."""

    trait: Name
    ends: Annotated[list[StoredEnd], msgspec.Meta(max_length=MAX_STORED_ENDS)]


_DECODER = msgspec.json.Decoder(StoredTrait)


class QuarantineKeeper:
    """Writes the traits that are held back to the store, and reads them.

    Any host may write; the hosts wait for each other by their rank. An entry
    that the store has lost is written again.

    Parameters
    ----------
    store : StoreClient
        The store.
    mirror : Mirror
        Copy of the store's items, in which the entries should appear.
    quarantine : Quarantine
        What this host knows.
    rank : callable
        Returns the index of this host among the live ones.
    now : callable
        Returns monotonic time in seconds.
    wall_now : callable, optional
        Returns wall-clock time in seconds.
    """

    def __init__(
        self, store, mirror, quarantine, rank, now, wall_now=time.time
    ):
        self._store = store
        self._mirror = mirror
        self._quarantine = quarantine
        self._rank = rank
        self._now = now
        self._wall_now = wall_now
        # Time from which this host brings an entry up to date, by key.
        self._due_at = {}
        # Set while there may be entries to write, delete or keep.
        self._is_needed = asyncio.Event()
        quarantine.on_hold_change = self._is_needed.set

    async def run(self):
        """Keep the entries up to date, forever."""
        while True:
            await self._is_needed.wait()
            for key, value in self._outdated().items():
                await self._write(key, value)
            if not self._has_entries():
                self._is_needed.clear()
            await asyncio.sleep(CHECK_PERIOD_SECONDS)

    def apply(self, item):
        """Add what an entry of the store says; see `MirrorItem`."""
        self._is_needed.set()
        if item.value is None:
            return
        try:
            stored = decode_json(_DECODER, item.value)
        except InvalidInputError as error:
            _LOG.warning(
                "quarantine_entry_refused",
                extra={"key": item.key, "error": str(error)},
            )
            return
        self._quarantine.merge(
            stored.trait, [self._read_end(end) for end in stored.ends]
        )

    def _has_entries(self):
        """Return whether anything is held back, or stored as such."""
        return bool(
            self._quarantine.held
            or self._mirror.with_prefix(QUARANTINE_PREFIX)
        )

    def _outdated(self):
        """Return the new value by key, None to delete it, of due entries."""
        wanted = {
            trait_key(trait): self._encode(trait, evidence)
            for trait, evidence in self._quarantine.held.items()
        }
        known = {
            item.key: item.value
            for item in self._mirror.with_prefix(QUARANTINE_PREFIX)
        }
        outdated = {
            key: wanted.get(key)
            for key in {*wanted, *known}
            if _end_count(wanted.get(key)) != _end_count(known.get(key))
        }
        now = self._now()
        delay = min(MAX_DELAY_SECONDS, RANK_DELAY_SECONDS * self._rank())
        self._due_at = {
            key: self._due_at.get(key, now + delay) for key in outdated
        }
        return {k: v for k, v in outdated.items() if now >= self._due_at[k]}

    async def _write(self, key, value):
        """Write or delete an entry, unless another host was faster."""
        item = self._mirror.get(key)
        position = NO_POSITION if item is None else item.position
        try:
            await self._store.change(
                expected=[(key, position)],
                puts=[] if value is None else [Item(key, value)],
                deletes=[key] if value is None else [],
            )
        except (StoreError, ConflictError) as error:
            _LOG.info(
                "quarantine_not_stored",
                extra={"key": key, "error": str(error)},
            )
        self._due_at[key] = self._now() + MAX_DELAY_SECONDS

    def _encode(self, trait, evidence):
        ahead = self._wall_now() - self._now()
        ends = [
            StoredEnd(
                target=end.process[0],
                born_ms=end.process[1],
                request_key=end.request_key,
                customer=end.customer,
                sent_at_ms=round((end.sent_at + ahead) * MS_PER_SECOND),
                at_ms=round((end.at + ahead) * MS_PER_SECOND),
                is_begun=end.is_begun,
                is_late=end.is_late,
            )
            for end in itertools.islice(evidence.ends.values(), WRITTEN_ENDS)
        ]
        return msgspec.json.encode(StoredTrait(trait, ends))

    def _read_end(self, end):
        ahead = self._wall_now() - self._now()
        at = min(self._now(), end.at_ms / MS_PER_SECOND - ahead)
        sent_at = min(at, end.sent_at_ms / MS_PER_SECOND - ahead)
        return TargetEnd(
            process=(end.target, end.born_ms),
            request_key=end.request_key,
            customer=end.customer,
            sent_at=sent_at,
            at=at,
            is_begun=end.is_begun,
            is_late=end.is_late,
        )


def trait_key(trait):
    """Return the key of a trait's entry in the store.

    Callers choose the hashes of parts, so they are not used in keys.
    """
    digest = hashlib.blake2b(trait.encode(), digest_size=12).hexdigest()
    return QUARANTINE_PREFIX + digest


def _end_count(value):
    """Return the number of ends in an entry, 0 for none."""
    if value is None:
        return 0
    try:
        return len(decode_json(_DECODER, value).ends)
    except InvalidInputError:
        return 0
