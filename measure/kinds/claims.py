"""Idempotency keys: key-value calls for each claim, and time of a claim."""

import concurrent.futures
import hashlib
import statistics
import threading
import time

from apricotseam.clock import SystemClock
from apricotseam.execution._shards import Entry
from apricotseam.execution._shards import Holder
from apricotseam.execution._shards import shard_of
from apricotseam.execution import ClaimBatches
from apricotseam.execution import ShardStore
from apricotseam.external import EtcdService
from apricotseam.standins import FaultOrder
from apricotseam.standins import KeyValueStandIn
from apricotseam.web import HttpClient
from measure._figure import Figure

MILLISECONDS_PER_SECOND = 1000
CLAIM_VALID_SECONDS = 600.0
BATCH_WINDOW_SECONDS = 0.005
KEY_CREATED_SECONDS = 1000.0


class _UnbatchedClaims:
    """Claims each key with a compare-and-swap of its own."""

    def __init__(self, store):
        self._store = store
        self._lock = threading.Lock()

    def claim(self, entry):
        """Claim one key; a host sends one compare-and-swap at a time."""
        with self._lock:
            return self._store.claim(entry.shard, [entry])[0]


class _BatchedClaims:
    """Claims keys in batches, as the product does."""

    def __init__(self, store):
        self._batches = ClaimBatches(store)

    def claim(self, entry):
        """Claim one key."""
        return self._batches.submit(entry).result(30)


class _DelayedClaimBatches(ClaimBatches):
    """Waits before each compare-and-swap to collect more claims."""

    def _take(self, number):
        time.sleep(BATCH_WINDOW_SECONDS)
        return super()._take(number)


class _DelayedClaims(_BatchedClaims):
    """Claims keys in batches that are collected for a fixed time."""

    def __init__(self, store):
        self._batches = _DelayedClaimBatches(store)


_CLAIMERS = {
    "spread": _BatchedClaims,
    "windowed": _DelayedClaims,
    "batched": _BatchedClaims,
    "single": _UnbatchedClaims,
}


def run(parameters, variant, seed):
    """Claim keys from many threads at once and measure the claims.

    Parameters
    ----------
    parameters : dict
        Number of ``claims``, number of ``threads``, and
        ``service_seconds``, the delay of each key-value call.
    variant : str
        ``batched`` is the product; its keys were all created at the same
        time and so share a few shards. ``single`` claims without batches,
        ``windowed`` waits for more claims before each batch, and
        ``spread`` has keys without a time of creation, which fall into
        more shards.
    seed : int
        Makes the keys of different runs differ.
    """
    service = KeyValueStandIn().start()
    service.faults.set(FaultOrder(delay_seconds=parameters["service_seconds"]))
    client = EtcdService(HttpClient(), [service.address])
    store = ShardStore(client, "/measured/", SystemClock())
    claimer = _CLAIMERS[variant](store)
    durations = []
    is_own_claim = []
    entries = [
        _entry(seed, number, variant) for number in range(parameters["claims"])
    ]

    def claim(entry):
        started = time.monotonic()
        holder = claimer.claim(entry)
        durations.append(time.monotonic() - started)
        is_own_claim.append(holder.attempt == entry.holder.attempt)

    with concurrent.futures.ThreadPoolExecutor(parameters["threads"]) as pool:
        started = time.monotonic()
        list(pool.map(claim, entries))
        elapsed_seconds = time.monotonic() - started
    calls = sum(service.calls.values())
    service.stop()
    count = len(entries)
    sorted_durations = sorted(durations)
    return [
        Figure(name="calls a claim", value=calls / count, unit="calls"),
        Figure(
            name="claims a second", value=count / elapsed_seconds, unit="1/s"
        ),
        Figure(
            name="time of a claim, median",
            value=statistics.median(sorted_durations)
            * MILLISECONDS_PER_SECOND,
            unit="ms",
        ),
        Figure(
            name="time of a claim, 99th percentile",
            value=sorted_durations[int(count * 0.99)]
            * MILLISECONDS_PER_SECOND,
            unit="ms",
        ),
        Figure(
            name="keys without a holder of their own",
            value=float(is_own_claim.count(False)),
            unit="keys",
            bound=0.0,
        ),
    ]


def _entry(seed, number, variant):
    text = f"{seed}/{number}".encode()
    identifier = hashlib.blake2b(text, digest_size=16).digest()
    created = None if variant == "spread" else KEY_CREATED_SECONDS
    holder = Holder(
        address="127.0.0.1:1",
        incarnation=1,
        attempt=f"attempt-{number}",
        digest=b"12345678",
        expires=time.time() + CLAIM_VALID_SECONDS,
    )
    return Entry(shard_of(identifier, created), identifier, holder)
