"""Claims of callers' keys: calls to the service, and time of a claim."""

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

MILLISECONDS = 1000
EXPIRES_SECONDS = 600.0
WINDOW_SECONDS = 0.005
MADE_SECONDS = 1000.0


class _Single:
    """Claims each key with a swap of its own."""

    def __init__(self, store):
        self._store = store
        self._lock = threading.Lock()

    def claim(self, entry):
        """Claim one key; swaps of one host go one after the other."""
        with self._lock:
            return self._store.claim(entry.shard, [entry])[0]


class _Batched:
    """Claims keys in batches, as the product does."""

    def __init__(self, store):
        self._batches = ClaimBatches(store)

    def claim(self, entry):
        """Claim one key."""
        return self._batches.submit(entry).result(30)


class _WindowBatches(ClaimBatches):
    """Waits for a while before each swap to gather claims."""

    def _take(self, number):
        time.sleep(WINDOW_SECONDS)
        return super()._take(number)


class _Windowed(_Batched):
    """Claims keys in batches that are gathered for a fixed time."""

    def __init__(self, store):
        self._batches = _WindowBatches(store)


_WAYS = {
    "spread": _Batched,
    "windowed": _Windowed,
    "batched": _Batched,
    "single": _Single,
}


def run(parameters, variant, seed):
    """Claim keys that were made at one moment from many threads."""
    service = KeyValueStandIn().start()
    service.faults.set(FaultOrder(delay_seconds=parameters["service_seconds"]))
    client = EtcdService(HttpClient(), [service.address])
    store = ShardStore(client, "/measured/", SystemClock())
    way = _WAYS[variant](store)
    seconds = []
    won = []
    entries = [
        _entry(seed, number, variant) for number in range(parameters["claims"])
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


def _entry(seed, number, variant):
    text = f"{seed}/{number}".encode()
    identifier = hashlib.blake2b(text, digest_size=16).digest()
    made = None if variant == "spread" else MADE_SECONDS
    holder = Holder(
        address="127.0.0.1:1",
        incarnation=1,
        attempt=f"attempt-{number}",
        digest=b"12345678",
        expires=time.time() + EXPIRES_SECONDS,
    )
    return Entry(shard_of(identifier, made), identifier, holder)
