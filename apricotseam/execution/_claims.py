"""Claims idempotency keys by compare-and-swap, batched by shard."""

import asyncio
import collections
import concurrent.futures
import threading

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.errors import ServiceUnavailableError
from apricotseam.execution._messages import ASK_TIMEOUT_SECONDS
from apricotseam.execution._metrics import CLAIM_BATCHES
from apricotseam.execution._metrics import CLAIMS
from apricotseam.execution._shards import decode_shard
from apricotseam.execution._shards import encode_shard
from apricotseam.execution._shards import Entry
from apricotseam.execution._shards import Holder
from apricotseam.execution._shards import merge_claims
from apricotseam.execution._shards import Shard
from apricotseam.membership import rendezvous_score

MAX_SWAP_ATTEMPTS = 8
MAX_BATCH_CLAIMS = 256
MAX_CACHED_SHARDS = 8
# Threads that swap batches of claims.
FLUSH_THREADS = 4
CLAIM_TIMEOUT_SECONDS = 8.0


class ClaimQuestion(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the host that batches claims of a shard to claim a key."""

    entry: Entry


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Holder of the key; None if it is unknown or the shard is full."""

    holder: Holder | None = None


class ShardFullError(ServiceUnavailableError):
    """The shard of a key has no room for one more claim."""

    code = "claims_full"


class ShardStore:
    """Stores claims in shards of the key-value service.

    It is the compare-and-swap of a whole shard that guarantees that each
    key has only one holder; batching and caching merely save calls.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    prefix : str
        Prefix of all entries of this system in the service.
    clock : Clock
        Source of time.
    """

    def __init__(self, service, prefix, clock):
        self._service = service
        self._prefix = prefix
        self._clock = clock
        self._cache = collections.OrderedDict()
        self._lock = threading.Lock()

    def claim(self, number, entries):
        """Claim a batch of keys of one shard.

        Parameters
        ----------
        number : int
            Number of the shard.
        entries : list of Entry
            Claims to add.

        Returns
        -------
        list of Holder or None
            Holder of each entry's key; None if the shard is full.

        Raises
        ------
        ServiceUnavailableError
            If no swap of this batch can have taken effect.
        AnswerLostError
            If a swap may have taken effect but could not be confirmed by
            reading the shard, or if swaps repeatedly conflicted.
        """
        may_have_swapped = False
        cached = self._cached_shard(number)
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                shard, version = cached or self._read(number)
            except ApricotseamError as error:
                raise (
                    _claim_uncertain(error) if may_have_swapped else error
                ) from None
            cached = None
            merged, holders = merge_claims(shard, entries, self._clock.wall())
            if merged is shard:
                self._cache_shard(number, shard, version)
                return holders
            self._drop_cached(number)
            try:
                new_version = self._swap(number, version, merged)
            except AnswerLostError:
                may_have_swapped = True
                continue
            except ServiceUnavailableError as error:
                raise (
                    _claim_uncertain(error) if may_have_swapped else error
                ) from None
            if new_version:
                self._cache_shard(number, merged, new_version)
                return holders
        raise _claim_uncertain(None)

    def _key(self, number):
        return f"{self._prefix}claims/{number:04d}"

    def _read(self, number):
        stored = self._service.get(self._key(number))
        if stored is None:
            return Shard(), 0
        return decode_shard(stored.value), stored.version

    def _swap(self, number, version, shard):
        return self._service.compare_and_swap(
            self._key(number), version, encode_shard(shard)
        )

    def _cached_shard(self, number):
        with self._lock:
            return self._cache.get(number)

    def _cache_shard(self, number, shard, version):
        with self._lock:
            self._cache[number] = (shard, version)
            self._cache.move_to_end(number)
            if len(self._cache) > MAX_CACHED_SHARDS:
                self._cache.popitem(last=False)

    def _drop_cached(self, number):
        with self._lock:
            self._cache.pop(number, None)


def _claim_uncertain(error):
    reason = (
        error.found
        if error is not None
        else "the compare-and-swap did not complete"
    )
    return AnswerLostError(
        f"it is unknown whether the key was claimed: {reason}",
        "send the request again with the same key",
    )


class ClaimBatches:
    """Batches claims by shard, with one swap per shard at a time.

    A claim for an idle shard is sent immediately. Claims that arrive while
    a swap of their shard is in progress are sent together in the next one.

    Parameters
    ----------
    store : ShardStore
        Claims a batch.
    threads : int
        Number of threads that swap shards.
    """

    def __init__(self, store, threads=FLUSH_THREADS):
        self._store = store
        self._lock = threading.Lock()
        self._waiting = {}
        self._threads = concurrent.futures.ThreadPoolExecutor(
            threads, thread_name_prefix="claims"
        )

    def submit(self, entry):
        """Queue a claim; return a future of its `Holder`, None if full."""
        number = entry.shard
        future = concurrent.futures.Future()
        with self._lock:
            is_idle = number not in self._waiting
            self._waiting.setdefault(number, []).append((entry, future))
        if is_idle:
            self._threads.submit(self._flush, number)
        return future

    def close(self):
        """Let the threads exit after their current swaps, without waiting."""
        self._threads.shutdown(wait=False)

    def _flush(self, number):
        while True:
            batch = self._take(number)
            if batch is None:
                return
            if not batch:
                continue
            CLAIM_BATCHES.inc()
            CLAIMS.inc(len(batch))
            try:
                holders = self._store.claim(number, [e for e, _ in batch])
            except Exception as error:
                for _, future in batch:
                    future.set_exception(error)
                continue
            for (_, future), holder in zip(batch, holders, strict=True):
                future.set_result(holder)

    def _take(self, number):
        """Return the next batch, or None if no claim of the shard waits.

        Claims that were cancelled are left out. The others can no longer be
        cancelled: the store may have the claim when its caller gives up.
        """
        with self._lock:
            waiting = self._waiting[number]
            if not waiting:
                del self._waiting[number]
                return None
            taken = waiting[:MAX_BATCH_CLAIMS]
            del waiting[:MAX_BATCH_CLAIMS]
        return [
            (entry, future)
            for entry, future in taken
            if future.set_running_or_notify_cancel()
        ]


class ShardClaims:
    """Claims keys through the host that batches their shard.

    If that host cannot claim a key, this host claims it directly in the
    key-value service.

    Parameters
    ----------
    link : PeerLink
        Sends and receives messages between hosts.
    batches : ClaimBatches
        Batches of this host.
    members : callable
        Returns the peer addresses of the live hosts, including this one.
    """

    def __init__(self, link, batches, members):
        self._link = link
        self._batches = batches
        self._members = members
        link.handle(ClaimQuestion, self._answer, ClaimAnswer)

    def claim(self, entry):
        """Claim a key and return its holder.

        Raises
        ------
        ServiceUnavailableError
            If the claim cannot have taken effect, or the shard is full.
        AnswerLostError
            If the claim may have taken effect.
        """
        host = self._host_of(entry.shard)
        holder = None
        if host != self._link.address:
            holder = self._ask(host, entry)
        if holder is None:
            holder = self._claim_here(entry)
        return holder

    def _claim_here(self, entry):
        future = self._batches.submit(entry)
        try:
            holder = future.result(CLAIM_TIMEOUT_SECONDS)
        except TimeoutError:
            raise _claim_uncertain(None) from None
        if holder is None:
            raise ShardFullError(
                "too many keys are claimed at present",
                "use a ticket from GET /v1/addresses, or retry later",
            )
        return holder

    def _ask(self, host, entry):
        try:
            answer = self._link.ask(host, ClaimQuestion(entry=entry))
        except ApricotseamError:
            return None
        return answer.holder

    async def _answer(self, sender, question):
        future = asyncio.wrap_future(self._batches.submit(question.entry))
        try:
            holder = await asyncio.wait_for(future, ASK_TIMEOUT_SECONDS)
        except (ApricotseamError, TimeoutError):
            return ClaimAnswer()
        return ClaimAnswer(holder=holder)

    def _host_of(self, number):
        members = self._members() or [self._link.address]
        return max(members, key=lambda a: rendezvous_score(a, number))
