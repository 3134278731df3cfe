"""Discrete-event simulation of routing and admission.

It uses the choosers and schedulers of the router itself, with a manual
clock. Sockets and models are not simulated: an engine is a queue that
runs one batch per step.
"""

import collections
import heapq
import itertools
import random

import msgspec

from apricotseam.admission import pool_capacity
from apricotseam.admission import PoolScheduler
from apricotseam.admission import QueueBounds
from apricotseam.admission import Work
from apricotseam.clock import ManualClock
from apricotseam.config import Choice
from apricotseam.config import Model
from apricotseam.config import TargetKind
from apricotseam.errors import ApricotseamError
from apricotseam.external import CacheEvent
from apricotseam.routing import build_chooser
from apricotseam.routing import Demand
from apricotseam.routing import TargetLoad
from apricotseam.routing import TargetState
from apricotseam.routing import TargetTable

LAYERS = 8
LAYER_RANGES = ((0, 3), (4, 7))
REPORT_INTERVAL_SECONDS = 0.5
MAX_FIRST_TOKEN_SECONDS = 1.3
ZONES = ("a", "b")


class EngineSpec(msgspec.Struct, kw_only=True):
    """Speed and cache size of one engine.

    ``step_seconds`` is the time of one batch, ``max_batch`` the slots in a
    batch, and ``cached_prefixes`` the number of prefixes in the cache.
    """

    step_seconds: float = 0.02
    max_batch: int = 16
    cached_prefixes: int = 48


class Request(msgspec.Struct, kw_only=True):
    """One request.

    ``at`` is its arrival time in seconds from the start, and ``tokens`` the
    length of the answer. ``rank`` is that of its priority class and
    ``weight`` that of the customer.
    """

    at: float
    customer: str = "c"
    prefix: str = ""
    tokens: int = 32
    rank: int = 1
    weight: float = 1.0


class Result(msgspec.Struct, kw_only=True):
    """Outcome of one request; a refused request has no tokens.

    Times are in seconds from the start of the simulation.
    """

    request: Request
    token_times: list[float] = []
    refused_at: float | None = None

    @property
    def first_token_seconds(self):
        """Seconds from arrival to the first token, or None without tokens."""
        if not self.token_times:
            return None
        return self.token_times[0] - self.request.at


class _Stream:
    """One admitted request that runs through its chain of engines.

    ``path`` lists the engines of the chain and ``stage`` is the index of
    the current one.
    """

    __slots__ = ("entry", "host", "number", "path", "result", "stage")

    def __init__(self, host, entry, result, path):
        self.host = host
        self.entry = entry
        self.result = result
        self.path = path
        self.stage = 0


class Engine:
    """Simulated engine: a queue of jobs that run in batches, one per step.

    A batch takes up to ``max_batch`` slots, the jobs of the lowest rank
    first. The engine caches the most recently used prefixes.
    """

    def __init__(self, number, spec, layers):
        self.spec = spec
        self.state = TargetState(
            name=f"e{number}",
            address=f"10.0.0.{number}:1",
            availability_zone=ZONES[0],
            scope="s",
            group="g",
            kind=TargetKind.ENGINE,
            first=layers[0],
            last=layers[1],
            version="v1",
            max_batch=spec.max_batch,
            step_seconds=spec.step_seconds,
        )
        self.streams = 0
        self.is_stepping = False
        self.queue = []
        self.prefixes = collections.OrderedDict()
        self.sequence = 0
        self.cache_events = []
        self.queue_order = itertools.count()

    def push(self, job):
        """Add a job ``(rank, slots, stream, queued_at)`` to the queue."""
        heapq.heappush(self.queue, (job[0], next(self.queue_order), job))

    def prefill_slots(self, prefix, slots, now):
        """Return the slots to compute a prefix, and put it into the cache.

        Parameters
        ----------
        prefix : str
            The prefix.
        slots : int
            Slots that the prefix takes if it is not in the cache.
        now : float
            Time of the cache events, in seconds.
        """
        if prefix in self.prefixes:
            self.prefixes.move_to_end(prefix)
            return 0
        self.prefixes[prefix] = True
        self._record_cache_event(prefix, True, now)
        if len(self.prefixes) > self.spec.cached_prefixes:
            old, _ = self.prefixes.popitem(last=False)
            self._record_cache_event(old, False, now)
        return slots

    def take_batch(self):
        """Remove the jobs of one batch from the queue.

        A job that needs more slots than the batch has left stays in the
        queue with the rest of its slots.

        Returns
        -------
        list of tuple
            Jobs ``(rank, slots, stream, queued_at)`` that end with this
            batch.
        """
        room = self.spec.max_batch
        finished = []
        while self.queue and room > 0:
            rank, queue_order, job = heapq.heappop(self.queue)
            _, slots, stream, queued_at = job
            used = min(room, slots)
            room -= used
            if used < slots:
                rest = (rank, slots - used, stream, queued_at)
                heapq.heappush(self.queue, (rank, queue_order, rest))
            else:
                finished.append(job)
        return finished

    def _record_cache_event(self, prefix, is_cached, now):
        self.sequence += 1
        event = CacheEvent(
            sequence=self.sequence, prefix=prefix, held=is_cached
        )
        self.cache_events.append((now, event))


class Host:
    """Target chooser and admission scheduler of one entry host."""

    def __init__(self, number, choice, clock, hosts, seed):
        self.chooser = build_chooser(
            Choice(choice),
            host=f"h{number}",
            zone=ZONES[0],
            clock=clock,
            generator=random.Random(seed * 1000 + number),
            hosts=lambda: hosts,
        )
        bounds = QueueBounds(requests=512, size_bytes=1 << 23)
        self.pool = PoolScheduler(bounds, clock.monotonic())


class RoutingSimulation:
    """Simulates requests to entry hosts and engines.

    Each host has every engine as a possible target. Requests arrive at a
    random host.

    Parameters
    ----------
    specs : list of EngineSpec
        Engines that hold each range of layers.
    hosts : int
        Number of entry hosts.
    choice : str
        Policy by which hosts choose targets.
    seed : int
        Seed of all random numbers.
    report_lag_seconds : float
        Delay of load reports and cache events.
    lost_event_share : float
        Fraction of cache events that are lost.
    prefill_slots : int
        Slots that a prefix takes on an engine without it in its cache.
    uses_admission : bool
        Whether hosts apply admission limits; otherwise every request
        starts at once.
    """

    def __init__(
        self,
        specs,
        *,
        hosts=6,
        choice="least_cost",
        seed=1,
        report_lag_seconds=2.0,
        lost_event_share=0.1,
        prefill_slots=8,
        uses_admission=True,
    ):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.engines = [
            Engine(number, spec, layers)
            for number, (layers, spec) in enumerate(
                itertools.product(LAYER_RANGES, specs), 1
            )
        ]
        self._by_address = {e.state.address: e for e in self.engines}
        self.hosts = [
            Host(n, choice, self.clock, hosts, seed) for n in range(hosts)
        ]
        self._report_lag_seconds = report_lag_seconds
        self._lost_event_share = lost_event_share
        self._prefill_slots = prefill_slots
        self._uses_admission = uses_admission
        self._model = Model(
            name="m", layers=LAYERS, versions=["v1"], serving="v1"
        )
        self._load_history = collections.deque()
        self._table = TargetTable([e.state for e in self.engines])
        self._scheduled_events = []
        self._schedule_order = itertools.count()
        self._waiting = []
        self.results = []
        capacity = pool_capacity(self._table.usable("s", "g"))
        for host in self.hosts:
            host.pool.limit.resize(capacity.streams, hosts)
            host.pool.first_token_delay_seconds = 2.0 * capacity.token_seconds

    @property
    def bound(self):
        """Most tokens per second that the engines can generate.

        Prefill, which reduces this rate, is not counted.
        """
        one_range = self.engines[: len(self.engines) // len(LAYER_RANGES)]
        return sum(e.spec.max_batch / e.spec.step_seconds for e in one_range)

    def run(self, requests, seconds):
        """Simulate the requests and return their results.

        Parameters
        ----------
        requests : list of Request
            Requests to send.
        seconds : float
            Simulated time after which the simulation ends.

        Returns
        -------
        list of Result
            Results in order of arrival; unfinished requests are included.
        """
        for request in requests:
            self._schedule(request.at, self._offer, request)
        self._schedule(0.0, self._publish_reports)
        while self._scheduled_events:
            at, _, action, arguments = heapq.heappop(self._scheduled_events)
            if at > seconds:
                break
            self.clock.advance(at - self.clock.monotonic())
            action(*arguments)
        return self.results

    def _schedule(self, at, action, *arguments):
        heapq.heappush(
            self._scheduled_events,
            (at, next(self._schedule_order), action, arguments),
        )

    def _offer(self, request):
        now = self.clock.monotonic()
        host = self.random.choice(self.hosts)
        result = Result(request=request)
        self.results.append(result)
        work = Work(
            request="r",
            scope="s",
            customer=request.customer,
            customer_weight=request.weight,
            pool="g",
            priority=f"p{request.rank}",
            rank=request.rank,
            weight=1.0,
            deadline=now + MAX_FIRST_TOKEN_SECONDS,
            tokens=request.tokens,
        )
        try:
            entry = host.pool.offer(work, now)
        except ApricotseamError:
            result.refused_at = now
            return
        entry.on_decision = lambda: self._record_refusal(result)
        self._waiting.append((host, entry, result))
        self._schedule(entry.start_deadline, self._expire, host, entry, result)
        self._start_admitted(host)

    def _record_refusal(self, result):
        result.refused_at = self.clock.monotonic()

    def _expire(self, host, entry, result):
        if not entry.is_started and not entry.is_removed:
            host.pool.refuse_late(entry)
            result.refused_at = self.clock.monotonic()

    def _start_admitted(self, host):
        now = self.clock.monotonic()
        if not self._uses_admission:
            # Without an effective limit, the pool starts every request.
            host.pool.limit.resize(1e9, 1)
            host.pool.limit._value = 1e9
        started = set(map(id, host.pool.take(now)))
        if not started:
            return
        remaining = []
        for waiting in self._waiting:
            _, entry, result = waiting
            if id(entry) in started:
                self._start_stream(host, entry, result)
            elif not entry.is_removed:
                remaining.append(waiting)
        self._waiting = remaining

    def _start_stream(self, host, entry, result):
        request = result.request
        demand = Demand(
            scope="s",
            group="g",
            customer=request.customer,
            prefix=request.prefix,
            tokens=request.tokens,
            prompt_tokens=self._prefill_slots,
        )
        chain = host.chooser.choose_chain(self._table, self._model, demand)
        path = [self._by_address[s.address] for s in chain.stages]
        stream = _Stream(host, entry, result, path)
        for engine in path:
            engine.streams += 1
            host.chooser.started(engine.state.address)
        self._queue_step(stream)

    def _queue_step(self, stream):
        now = self.clock.monotonic()
        engine = stream.path[stream.stage]
        slots = 1
        request = stream.result.request
        if not stream.result.token_times and request.prefix:
            slots += engine.prefill_slots(
                request.prefix, self._prefill_slots, now
            )
        engine.push((request.rank, slots, stream, now))
        if not engine.is_stepping:
            engine.is_stepping = True
            self._schedule(
                now + engine.spec.step_seconds, self._finish_step, engine
            )

    def _finish_step(self, engine):
        now = self.clock.monotonic()
        for _, _, stream, queued_at in engine.take_batch():
            host = stream.host
            host.pool.limit.observed(
                now - queued_at,
                engine.spec.step_seconds,
                host.pool.running,
                now,
            )
            self._advance_stream(stream, now)
        engine.is_stepping = bool(engine.queue)
        if engine.is_stepping:
            self._schedule(
                now + engine.spec.step_seconds, self._finish_step, engine
            )

    def _advance_stream(self, stream, now):
        stream.stage += 1
        if stream.stage == len(stream.path):
            stream.stage = 0
            stream.result.token_times.append(now)
            if len(stream.result.token_times) >= stream.result.request.tokens:
                self._end_stream(stream)
                return
        self._queue_step(stream)

    def _end_stream(self, stream):
        for engine in stream.path:
            engine.streams -= 1
            stream.host.chooser.ended(engine.state.address)
        stream.host.pool.ended(stream.entry, len(stream.result.token_times))
        self._start_admitted(stream.host)

    def _publish_reports(self):
        """Send the hosts the load reports and cache events that are due.

        They are due `report_lag_seconds` after they were read. This runs
        every `REPORT_INTERVAL_SECONDS`.
        """
        now = self.clock.monotonic()
        self._load_history.append((now, [e.streams for e in self.engines]))
        while len(self._load_history) > 1 and (
            self._load_history[1][0] <= now - self._report_lag_seconds
        ):
            self._load_history.popleft()
        read_at, running = self._load_history[0]
        if read_at <= now - self._report_lag_seconds:
            self._publish_loads(read_at, running)
        self._publish_cache_events(now)
        for host in self.hosts:
            self._start_admitted(host)
        self._schedule(now + REPORT_INTERVAL_SECONDS, self._publish_reports)

    def _publish_loads(self, read_at, running):
        states = []
        for engine, streams in zip(self.engines, running, strict=True):
            state = engine.state
            states.append(
                msgspec.structs.replace(state, running_streams=streams)
            )
            load = TargetLoad(
                running=streams,
                max_batch=engine.spec.max_batch,
                step_seconds=engine.spec.step_seconds,
                read_at=read_at,
            )
            for host in self.hosts:
                host.chooser.reported(state.address, load)
        self._table = TargetTable(states)

    def _publish_cache_events(self, now):
        for engine in self.engines:
            due = [
                e
                for at, e in engine.cache_events
                if at <= now - self._report_lag_seconds
            ]
            engine.cache_events = engine.cache_events[len(due) :]
            for host in self.hosts:
                delivered = [
                    e
                    for e in due
                    if self.random.random() > self._lost_event_share
                ]
                host.chooser.cache_changed(engine.state.address, delivered)


def poisson(generator, rate, start, end):
    """Return the event times of a Poisson process.

    Parameters
    ----------
    generator : random.Random
        Source of random numbers.
    rate : float
        Events per second.
    start, end : float
        Interval of the times in seconds.

    Returns
    -------
    list of float
        Times in seconds, ascending.
    """
    times = []
    at = start
    while True:
        at += generator.expovariate(rate)
        if at >= end:
            return times
        times.append(at)
