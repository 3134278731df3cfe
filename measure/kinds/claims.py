"""Claims of callers' keys: calls to the service, and time of a claim."""

import concurrent.futures
import statistics
import threading
import time

from apricotseam.clock import SystemClock
from apricotseam.execution._shards import Entry
from apricotseam.execution._shards import Holder
from apricotseam.execution._shards import shard_of
from apricotseam.execution import ClaimBatches
from apricotseam.execution import ShardStore
from apricotseam.platform import EtcdService
from apricotseam.standins import FaultOrder
from apricotseam.standins import KeyValueStandIn
from apricotseam.web import HttpClient
from measure._figure import Figure

MILLISECONDS = 1000
EXPIRES_SECONDS = 600.0


class _Single:
    """Claims each key with a swap of its own."""

    def __init__(self, store):
        self._store = store
        self._lock = threading.Lock()

    def claim(self, entry):
        """Claim one key; swaps of one host go one after the other."""
        with self._lock:
            number = shard_of(entry.identifier)
            return self._store.claim(number, [entry])[0]


class _Batched:
    """Claims keys in batches, as the product does."""

    def __init__(self, store):
        self._batches = ClaimBatches(store)

    def claim(self, entry):
        """Claim one key."""
        return self._batches.submit(entry).result(30)


_WAYS = {"batched": _Batched, "single": _Single}


def run(parameters, variant, seed):
    """Claim keys of a few shards from many threads."""
    service = KeyValueStandIn().start()
    service.faults.set(FaultOrder(delay_seconds=parameters["service_seconds"]))
    client = EtcdService(HttpClient(), [service.address])
    store = ShardStore(client, "/measured/", SystemClock())
    way = _WAYS[variant](store)
    seconds = []
    won = []
    entries = [
        _entry(seed, number, parameters["shards"])
        for number in range(parameters["claims"])
    ]

    def claim(entry):
        begun = time.monotonic()
        holder = way.claim(entry)
        seconds.append(time.monotonic() - begun)
        won.append(holder.attempt == entry.holder.attempt)

    with concurrent.futures.ThreadPoolExecutor(parameters["threads"]) as pool:
        begun = time.monotonic()
        list(pool.map(claim, entries))
        elapsed = time.monotonic() - begun
    calls = sum(service.calls.values())
    service.stop()
    count = len(entries)
    ordered = sorted(seconds)
    return [
        Figure(name="calls a claim", value=calls / count, unit="calls"),
        Figure(name="claims a second", value=count / elapsed, unit="1/s"),
        Figure(
            name="time of a claim, median",
            value=statistics.median(ordered) * MILLISECONDS,
            unit="ms",
        ),
        Figure(
            name="time of a claim, 99th percentile",
            value=ordered[int(count * 0.99)] * MILLISECONDS,
            unit="ms",
        ),
        Figure(
            name="keys without a holder of their own",
            value=float(won.count(False)),
            unit="keys",
            bound=0.0,
        ),
    ]


def _entry(seed, number, shards):
    shard = number % shards
    identifier = shard.to_bytes(4, "big") + seed.to_bytes(4, "big")
    identifier += number.to_bytes(8, "big")
    holder = Holder(
        address="127.0.0.1:1",
        incarnation=1,
        attempt=f"attempt-{number}",
        digest=b"12345678",
        expires=time.time() + EXPIRES_SECONDS,
    )
    return Entry(identifier, holder)
