"""A discrete-event loop around the product's choice and admission.

It holds no sockets and no model: engines are queues that run a batch for
each step. It drives the same choosers and schedulers as the program does.
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
RANGES = ((0, 3), (4, 7))
REPORT_SECONDS = 0.5
FIRST_TOKEN_SECONDS = 1.3
ZONES = ("a", "b")


class EngineSpec(msgspec.Struct, kw_only=True):
    """Speed and memory of one engine."""

    step_seconds: float = 0.02
    max_batch: int = 16
    cached_prefixes: int = 48


class Request(msgspec.Struct, kw_only=True):
    """One request that is offered at a time."""

    at: float
    customer: str = "c"
    prefix: str = ""
    tokens: int = 32
    rank: int = 1
    weight: float = 1.0


class Result(msgspec.Struct, kw_only=True):
    """What became of one request; a refused one has no token."""

    request: Request
    token_times: list[float] = []
    refused_at: float | None = None

    @property
    def first_token_seconds(self):
        """Seconds from the offer to the first token, or None."""
        if not self.token_times:
            return None
        return self.token_times[0] - self.request.at


class _Stream:
    """One admitted request on its way through its chain."""

    __slots__ = ("entry", "host", "number", "path", "result", "stage")

    def __init__(self, host, entry, result, path):
        self.host = host
        self.entry = entry
        self.result = result
        self.path = path
        self.stage = 0


class Engine:
    """A queue that runs up to a batch of slots for each step."""

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
        self.events = []
        self.order = itertools.count()

    def push(self, job):
        """Queue a job of ``(rank, slots, stream, queued_at)``."""
        heapq.heappush(self.queue, (job[0], next(self.order), job))

    def miss_slots(self, prefix, slots, now):
        """Return the slots that a prefix costs and note that it is held."""
        if prefix in self.prefixes:
            self.prefixes.move_to_end(prefix)
            return 0
        self.prefixes[prefix] = True
        self._event(prefix, True, now)
        if len(self.prefixes) > self.spec.cached_prefixes:
            old, _ = self.prefixes.popitem(last=False)
            self._event(old, False, now)
        return slots

    def batch(self):
        """Take the jobs of one step."""
        room = self.spec.max_batch
        done = []
        while self.queue and room > 0:
            rank, order, job = heapq.heappop(self.queue)
            _, slots, stream, queued_at = job
            used = min(room, slots)
            room -= used
            if used < slots:
                left = (rank, slots - used, stream, queued_at)
                heapq.heappush(self.queue, (rank, order, left))
            else:
                done.append(job)
        return done

    def _event(self, prefix, is_held, now):
        self.sequence += 1
        event = CacheEvent(sequence=self.sequence, prefix=prefix, held=is_held)
        self.events.append((now, event))


class Host:
    """Chooser and scheduler of one entry host."""

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


class Decisions:
    """Runs requests over hosts and engines.

    Parameters
    ----------
    specs : list of EngineSpec
        Engines of each range of layers.
    hosts : int
        Entry hosts.
    choice : str
        Policy of choice.
    seed : int
        Seed of all randomness.
    lag : float
        Seconds that reports and cache events are late.
    lost_events : float
        Share of cache events that are lost.
    miss_slots : int
        Slots that a prefix costs which is not held.
    is_admitted : bool
        Whether requests pass the scheduler; else all start at once.
    """

    def __init__(
        self,
        specs,
        *,
        hosts=6,
        choice="least_cost",
        seed=1,
        lag=2.0,
        lost_events=0.1,
        miss_slots=8,
        is_admitted=True,
    ):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.engines = [
            Engine(number, spec, layers)
            for number, (layers, spec) in enumerate(
                itertools.product(RANGES, specs), 1
            )
        ]
        self._by_address = {e.state.address: e for e in self.engines}
        self.hosts = [
            Host(n, choice, self.clock, hosts, seed) for n in range(hosts)
        ]
        self._lag = lag
        self._lost = lost_events
        self._miss_slots = miss_slots
        self._is_admitted = is_admitted
        self._model = Model(
            name="m", layers=LAYERS, versions=["v1"], serving="v1"
        )
        self._history = collections.deque()
        self._table = TargetTable([e.state for e in self.engines])
        self._events = []
        self._order = itertools.count()
        self._waiting = []
        self.results = []
        capacity = pool_capacity(self._table.usable("s", "g"))
        for host in self.hosts:
            host.pool.limit.resize(capacity.streams, hosts)
            host.pool.first_seconds = 2.0 * capacity.token_seconds

    @property
    def bound(self):
        """Tokens a second that the engines can make, without prefill."""
        specs = self.engines[: len(self.engines) // len(RANGES)]
        return sum(e.spec.max_batch / e.spec.step_seconds for e in specs)

    def run(self, requests, seconds):
        """Run all requests for a time and return their `Result` list."""
        for request in requests:
            self._at(request.at, self._offer, request)
        self._at(0.0, self._report)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            if at > seconds:
                break
            self.clock.advance(at - self.clock.monotonic())
            action(*arguments)
        return self.results

    def _at(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._order), action, arguments)
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
            deadline=now + FIRST_TOKEN_SECONDS,
            tokens=request.tokens,
        )
        try:
            entry = host.pool.offer(work, now)
        except ApricotseamError:
            result.refused_at = now
            return
        entry.on_decision = lambda: self._displaced(result)
        self._waiting.append((host, entry, result))
        self._at(entry.start_deadline, self._expire, host, entry, result)
        self._take(host)

    def _displaced(self, result):
        result.refused_at = self.clock.monotonic()

    def _expire(self, host, entry, result):
        if not entry.is_started and not entry.is_removed:
            host.pool.refuse_late(entry)
            result.refused_at = self.clock.monotonic()

    def _take(self, host):
        now = self.clock.monotonic()
        if not self._is_admitted:
            host.pool.limit.resize(1e9, 1)
            host.pool.limit._value = 1e9
        started = set(map(id, host.pool.take(now)))
        if not started:
            return
        left = []
        for waiting in self._waiting:
            _, entry, result = waiting
            if id(entry) in started:
                self._begin(host, entry, result)
            elif not entry.is_removed:
                left.append(waiting)
        self._waiting = left

    def _begin(self, host, entry, result):
        request = result.request
        demand = Demand(
            scope="s",
            group="g",
            customer=request.customer,
            prefix=request.prefix,
            tokens=request.tokens,
            prompt_tokens=self._miss_slots,
        )
        chain = host.chooser.choose_chain(self._table, self._model, demand)
        path = [self._by_address[s.address] for s in chain.stages]
        stream = _Stream(host, entry, result, path)
        for engine in path:
            engine.streams += 1
            host.chooser.started(engine.state.address)
        self._send(stream)

    def _send(self, stream):
        now = self.clock.monotonic()
        engine = stream.path[stream.stage]
        slots = 1
        request = stream.result.request
        if not stream.result.token_times and request.prefix:
            slots += engine.miss_slots(request.prefix, self._miss_slots, now)
        engine.push((request.rank, slots, stream, now))
        if not engine.is_stepping:
            engine.is_stepping = True
            self._at(now + engine.spec.step_seconds, self._step, engine)

    def _step(self, engine):
        now = self.clock.monotonic()
        for _, _, stream, queued_at in engine.batch():
            host = stream.host
            host.pool.limit.observed(
                now - queued_at,
                engine.spec.step_seconds,
                host.pool.running,
                now,
            )
            self._advance(stream, now)
        engine.is_stepping = bool(engine.queue)
        if engine.is_stepping:
            self._at(now + engine.spec.step_seconds, self._step, engine)

    def _advance(self, stream, now):
        stream.stage += 1
        if stream.stage == len(stream.path):
            stream.stage = 0
            stream.result.token_times.append(now)
            if len(stream.result.token_times) >= stream.result.request.tokens:
                self._end(stream)
                return
        self._send(stream)

    def _end(self, stream):
        for engine in stream.path:
            engine.streams -= 1
            stream.host.chooser.ended(engine.state.address)
        stream.host.pool.ended(stream.entry, len(stream.result.token_times))
        self._take(stream.host)

    def _report(self):
        """Give the hosts what the engines were like some time ago."""
        now = self.clock.monotonic()
        self._history.append((now, [e.streams for e in self.engines]))
        while len(self._history) > 1 and (
            self._history[1][0] <= now - self._lag
        ):
            self._history.popleft()
        read_at, running = self._history[0]
        if read_at <= now - self._lag:
            self._tell_loads(read_at, running)
        self._tell_events(now)
        for host in self.hosts:
            self._take(host)
        self._at(now + REPORT_SECONDS, self._report)

    def _tell_loads(self, read_at, running):
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

    def _tell_events(self, now):
        for engine in self.engines:
            ready = [e for at, e in engine.events if at <= now - self._lag]
            engine.events = engine.events[len(ready) :]
            for host in self.hosts:
                kept = [e for e in ready if self.random.random() > self._lost]
                host.chooser.cached(engine.state.address, kept)


def poisson(generator, rate, start, end):
    """Return the times of a Poisson process."""
    times = []
    at = start
    while True:
        at += generator.expovariate(rate)
        if at >= end:
            return times
        times.append(at)
