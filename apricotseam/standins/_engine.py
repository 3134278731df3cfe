"""Stand-in of a model engine that holds a range of layers."""

import collections
import heapq
import itertools
import threading
import time
import urllib.parse

from apricotseam.errors import InvalidRequestError
from apricotseam.errors import UnknownNameError
from apricotseam.external import CacheEvent
from apricotseam.external import EngineReport
from apricotseam.external import Order
from apricotseam.external import Step
from apricotseam.external import StepResult
from apricotseam.external import StreamPosition
from apricotseam.standins._enginerecords import ExportedCache
from apricotseam.standins._enginerecords import PendingSteps
from apricotseam.standins._enginerecords import Stream
from apricotseam.standins._loads import EngineLoads
from apricotseam.standins._loads import held_by
from apricotseam.standins._model import LayerStates
from apricotseam.standins._model import token_text
from apricotseam.standins._server import StandIn
from apricotseam.web import Response

MAX_STREAMS = 10_000
MAX_CACHED_PREFIXES = 64


class EngineStandIn(StandIn):
    """An engine that batches continuously and honours priorities.

    Parameters
    ----------
    options : EngineOptions
        Model, range of layers, speed and habits.
    address : str
        ``ip:port``; port 0 takes a free one.
    """

    def __init__(self, options, address="127.0.0.1:0", threads=32):
        super().__init__(address, threads)
        self._options = options
        self._lock = threading.Condition()
        self._queue = []
        self._order = itertools.count()
        self._streams = collections.OrderedDict()
        self._prefixes = collections.OrderedDict()
        self._events = []
        self._event_number = 0
        self._loads = EngineLoads(options)
        self._stopped = False
        self.executions = collections.Counter()
        self.orders = []
        self._add_routes()
        self._worker = threading.Thread(target=self._work, daemon=True)

    @property
    def stream_count(self):
        """Number of streams that are held."""
        with self._lock:
            return len(self._streams)

    @property
    def running(self):
        """Number of streams that the engine holds."""
        return len(self._streams)

    def start(self):
        """Start to serve; return the stand-in itself."""
        self._worker.start()
        return super().start()

    def stop(self):
        """Stop as a killed process would."""
        with self._lock:
            self._stopped = True
            for _, _, pending, _ in self._queue:
                pending.done.set()
            self._lock.notify_all()
        super().stop()

    def _add_routes(self):
        route = self.application.route
        route("POST", "/engine/v1/steps", self._run_steps)
        route("GET", "/engine/v1/report", self._report)
        route("GET", "/engine/v1/events", self._cache_events)
        route("POST", "/engine/v1/orders", self._take_order)
        route("GET", "/engine/v1/streams/{stream}", self._position)
        route("DELETE", "/engine/v1/streams/{stream}", self._cancel)
        route("GET", "/engine/v1/streams/{stream}/cache", self._export)
        route("PUT", "/engine/v1/streams/{stream}/cache", self._import)

    def _run_steps(self, request):
        pending = PendingSteps(request.json(list[Step]))
        with self._lock:
            for index, step in enumerate(pending.steps):
                entry = (step.priority, next(self._order), pending, index)
                heapq.heappush(self._queue, entry)
            self._lock.notify_all()
            if self._stopped or not pending.steps:
                pending.done.set()
        pending.done.wait()
        return Response.of(
            [
                result or _failed(step, "stopped")
                for step, result in zip(
                    pending.steps, pending.results, strict=True
                )
            ]
        )

    def _work(self):
        while True:
            with self._lock:
                while not self._queue and not self._stopped:
                    self._lock.wait()
                if self._stopped:
                    return
            time.sleep(self._options.step_seconds)
            with self._lock:
                self._run_batch()

    def _run_batch(self):
        room = self._options.max_batch
        while self._queue and room > 0:
            _, _, pending, index = heapq.heappop(self._queue)
            step = pending.steps[index]
            pending.results[index] = self._run_one(step)
            pending.left -= 1
            room -= 1
            if pending.left == 0:
                pending.done.set()

    def _run_one(self, step):
        self._loads.finish()
        error = self._mismatch(step)
        if error is not None:
            return _failed(step, error)
        stream = self._stream_of(step)
        if step.attempt < stream.attempt:
            return _failed(step, "stale_attempt")
        stream.attempt = step.attempt
        if step.position == stream.next_position - 1:
            return stream.last
        if step.position != stream.next_position:
            return _failed(step, "wrong_position")
        self.executions[(step.stream, step.position)] += 1
        self._remember_prefix(step.prefix)
        return self._advance(stream, step)

    def _mismatch(self, step):
        """Return the error of a step that its stream cannot take.

        A stream that began under another version goes on under it.
        """
        stream = self._streams.get(step.stream)
        held = stream.held if stream is not None else held_by(self._options)
        if (step.model, step.version) != held[:2]:
            return "wrong_version"
        if (step.first, step.last) != held[2:]:
            return "wrong_layers"
        return None

    def _advance(self, stream, step):
        output = stream.states.run(step.payload)
        is_last = step.last == self._options.layers - 1
        stream.next_position = step.position + 1
        limit = self._options.end_after
        stream.last = StepResult(
            stream=step.stream,
            attempt=step.attempt,
            position=step.position,
            payload=output,
            token=token_text(output) if is_last else None,
            end=is_last and limit > 0 and step.position + 1 >= limit,
        )
        return stream.last

    def _stream_of(self, step):
        stream = self._streams.get(step.stream)
        if stream is None:
            states = LayerStates(
                self._options.version, self._options.first, self._options.last
            )
            stream = Stream(
                step.attempt,
                self._options.version,
                states,
                held_by(self._options),
            )
            self._streams[step.stream] = stream
            if len(self._streams) > MAX_STREAMS:
                self._streams.popitem(last=False)
        return stream

    def _remember_prefix(self, prefix):
        if not prefix:
            return
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return
        self._prefixes[prefix] = True
        self._publish(prefix, True)
        if len(self._prefixes) > MAX_CACHED_PREFIXES:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(evicted, False)

    def _publish(self, prefix, held):
        self._event_number += 1
        gap = self._options.event_gap_every
        if gap and self._event_number % gap == 0:
            return
        self._events.append(
            CacheEvent(sequence=self._event_number, prefix=prefix, held=held)
        )
        del self._events[:-1000]

    def _report(self, request):
        options = self._options
        with self._lock:
            self._loads.finish()
            return Response.of(
                EngineReport(
                    name=options.name,
                    model=options.model,
                    version=options.version,
                    first=options.first,
                    last=options.last,
                    accelerator=options.accelerator,
                    queued_steps=len(self._queue),
                    running_streams=len(self._streams),
                    max_batch=options.max_batch,
                    step_seconds=options.step_seconds,
                    versions=self._versions(),
                    adapters=list(options.adapters),
                    role=options.role,
                    loading=self._loads.version,
                    leaving=options.leaving,
                )
            )

    def _cache_events(self, request):
        query = urllib.parse.parse_qs(request.query)
        after = int(query.get("after", ["0"])[0])
        with self._lock:
            return Response.of([e for e in self._events if e.sequence > after])

    def _position(self, request):
        with self._lock:
            stream = self._known_stream(request)
            return Response.of(
                StreamPosition(
                    next_position=stream.next_position, last=stream.last
                )
            )

    def _cancel(self, request):
        with self._lock:
            self._streams.pop(request.arguments["stream"], None)
        return Response.of({})

    def _export(self, request):
        with self._lock:
            stream = self._known_stream(request)
            return Response.of(
                ExportedCache(
                    version=stream.version,
                    first=self._options.first,
                    states=stream.states.states,
                    next_position=stream.next_position,
                    last=stream.last,
                )
            )

    def _import(self, request):
        cache = request.json(ExportedCache)
        query = urllib.parse.parse_qs(request.query)
        options = self._options
        wanted = (options.version, options.first)
        if (cache.version, cache.first) != wanted:
            raise InvalidRequestError(
                "a cache of another version or range", "rebuild by replay"
            )
        states = LayerStates(
            options.version, options.first, options.last, cache.states
        )
        stream = Stream(
            int(query["attempt"][0]),
            options.version,
            states,
            held_by(options),
        )
        stream.next_position = cache.next_position
        stream.last = cache.last
        with self._lock:
            self._streams[request.arguments["stream"]] = stream
        return Response.of({})

    def _versions(self):
        running = {stream.version for stream in self._streams.values()}
        return sorted(running | {self._options.version})

    def _take_order(self, request):
        order = request.json(Order)
        with self._lock:
            self._loads.take(order)
            self.orders.append(order)
        return Response.of({})

    def _known_stream(self, request):
        stream = self._streams.get(request.arguments["stream"])
        if stream is None:
            raise UnknownNameError("unknown stream", "rebuild it")
        return stream


def _failed(step, error):
    return StepResult(
        stream=step.stream,
        attempt=step.attempt,
        position=step.position,
        error=error,
    )
