"""Stand-in for a model engine that holds a range of layers."""

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
from apricotseam.standins._loads import placement_of
from apricotseam.standins._model import LayerStates
from apricotseam.standins._model import token_text
from apricotseam.standins._server import StandIn
from apricotseam.web import Response

# When this number is exceeded, the oldest stream is dropped.
MAX_STREAMS = 10_000
MAX_CACHED_PREFIXES = 64


class EngineStandIn(StandIn):
    """An engine with continuous batching and priorities.

    Steps with a smaller priority value run first; those of equal priority
    run in order of arrival.

    Parameters
    ----------
    options : EngineOptions
        Model, range of layers, speed and optional behaviour. Orders change
        it while the engine runs.
    address : str
        ``ip:port`` to listen on; port 0 selects a free one.
    threads : int
        Number of worker threads of the server.

    Attributes
    ----------
    executions : collections.Counter
        Number of executions, by pairs of a stream and a position.
    orders : list of Order
        All accepted orders.
    """

    def __init__(self, options, address="127.0.0.1:0", threads=32):
        super().__init__(address, threads)
        self._options = options
        self._condition = threading.Condition()
        self._queue = []
        self._arrivals = itertools.count()
        self._streams = collections.OrderedDict()
        self._prefixes = collections.OrderedDict()
        self._events = []
        self._event_number = 0
        self._loads = EngineLoads(options)
        self._stopped = False
        self.executions = collections.Counter()
        self.orders = []
        self._add_routes()
        self._worker = threading.Thread(target=self._run_batches, daemon=True)

    @property
    def stream_count(self):
        """Number of streams that the engine holds."""
        with self._condition:
            return len(self._streams)

    @property
    def approximate_stream_count(self):
        """Number of streams that the engine holds, read without the lock."""
        return len(self._streams)

    def start(self):
        """Start to run batches and to serve; return the stand-in itself."""
        self._worker.start()
        return super().start()

    def stop(self):
        """Stop at once, as a killed process does."""
        with self._condition:
            self._stopped = True
            for _, _, pending, _ in self._queue:
                pending.done.set()
            self._condition.notify_all()
        super().stop()

    def _add_routes(self):
        route = self.application.route
        route("POST", "/engine/v1/steps", self._run_steps)
        route("GET", "/engine/v1/report", self._report)
        route("GET", "/engine/v1/events", self._cache_events)
        route("POST", "/engine/v1/orders", self._accept_order)
        route("GET", "/engine/v1/streams/{stream}", self._position)
        route("DELETE", "/engine/v1/streams/{stream}", self._cancel)
        route("GET", "/engine/v1/streams/{stream}/cache", self._export)
        route("PUT", "/engine/v1/streams/{stream}/cache", self._import)

    def _run_steps(self, request):
        pending = PendingSteps(request.json(list[Step]))
        with self._condition:
            for index, step in enumerate(pending.steps):
                entry = (step.priority, next(self._arrivals), pending, index)
                heapq.heappush(self._queue, entry)
            self._condition.notify_all()
            if self._stopped or not pending.steps:
                pending.done.set()
        pending.done.wait()
        return Response.of(
            [
                result or _failed_result(step, "stopped")
                for step, result in zip(
                    pending.steps, pending.results, strict=True
                )
            ]
        )

    def _run_batches(self):
        while True:
            with self._condition:
                while not self._queue and not self._stopped:
                    self._condition.wait()
                if self._stopped:
                    return
            time.sleep(self._options.step_seconds)
            with self._condition:
                self._run_batch()

    def _run_batch(self):
        free_slots = self._options.max_batch
        while self._queue and free_slots > 0:
            _, _, pending, index = heapq.heappop(self._queue)
            step = pending.steps[index]
            pending.results[index] = self._run_step(step)
            pending.remaining -= 1
            free_slots -= 1
            if pending.remaining == 0:
                pending.done.set()

    def _run_step(self, step):
        self._loads.finish_due_load()
        error = self._placement_error(step)
        if error is not None:
            return _failed_result(step, error)
        stream = self._get_or_create_stream(step)
        if step.attempt < stream.attempt:
            return _failed_result(step, "stale_attempt")
        stream.attempt = step.attempt
        if step.position == stream.next_position - 1:
            return stream.last_result
        if step.position != stream.next_position:
            return _failed_result(step, "wrong_position")
        self.executions[(step.stream, step.position)] += 1
        self._record_prefix(step.prefix)
        return self._advance(stream, step)

    def _placement_error(self, step):
        """Return the error of a step for another version or other layers.

        A stream keeps the version and layers with which it was started,
        even after the engine has loaded others.

        Returns
        -------
        str or None
            Error code, or None if the version and layers match.
        """
        stream = self._streams.get(step.stream)
        placement = (
            stream.placement
            if stream is not None
            else placement_of(self._options)
        )
        if (step.model, step.version) != placement[:2]:
            return "wrong_version"
        if (step.first, step.last) != placement[2:]:
            return "wrong_layers"
        return None

    def _advance(self, stream, step):
        output = stream.states.run(step.payload)
        is_last = step.last == self._options.layers - 1
        stream.next_position = step.position + 1
        limit = self._options.end_after
        stream.last_result = StepResult(
            stream=step.stream,
            attempt=step.attempt,
            position=step.position,
            payload=output,
            token=token_text(output) if is_last else None,
            end=is_last and limit > 0 and step.position + 1 >= limit,
        )
        return stream.last_result

    def _get_or_create_stream(self, step):
        stream = self._streams.get(step.stream)
        if stream is None:
            states = LayerStates(
                self._options.version, self._options.first, self._options.last
            )
            stream = Stream(
                step.attempt,
                self._options.version,
                states,
                placement_of(self._options),
            )
            self._streams[step.stream] = stream
            if len(self._streams) > MAX_STREAMS:
                self._streams.popitem(last=False)
        return stream

    def _record_prefix(self, prefix):
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
        """Add a cache event, or omit it to simulate a gap in the sequence."""
        self._event_number += 1
        omit_interval = self._options.event_gap_every
        if omit_interval and self._event_number % omit_interval == 0:
            return
        self._events.append(
            CacheEvent(sequence=self._event_number, prefix=prefix, held=held)
        )
        del self._events[:-1000]

    def _report(self, request):
        options = self._options
        with self._condition:
            self._loads.finish_due_load()
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
                    versions=self._running_versions(),
                    adapters=list(options.adapters),
                    role=options.role,
                    loading=self._loads.loading_version,
                    leaving=options.leaving,
                )
            )

    def _cache_events(self, request):
        query = urllib.parse.parse_qs(request.query)
        after = int(query.get("after", ["0"])[0])
        with self._condition:
            return Response.of([e for e in self._events if e.sequence > after])

    def _position(self, request):
        with self._condition:
            stream = self._require_stream(request)
            return Response.of(
                StreamPosition(
                    next_position=stream.next_position, last=stream.last_result
                )
            )

    def _cancel(self, request):
        with self._condition:
            self._streams.pop(request.arguments["stream"], None)
        return Response.of({})

    def _export(self, request):
        with self._condition:
            stream = self._require_stream(request)
            return Response.of(
                ExportedCache(
                    version=stream.version,
                    first=self._options.first,
                    states=stream.states.states,
                    next_position=stream.next_position,
                    last=stream.last_result,
                )
            )

    def _import(self, request):
        cache = request.json(ExportedCache)
        query = urllib.parse.parse_qs(request.query)
        options = self._options
        expected = (options.version, options.first)
        if (cache.version, cache.first) != expected:
            raise InvalidRequestError(
                "the cache is of another version or range of layers",
                "rebuild the stream by replay",
            )
        states = LayerStates(
            options.version, options.first, options.last, cache.states
        )
        stream = Stream(
            int(query["attempt"][0]),
            options.version,
            states,
            placement_of(options),
        )
        stream.next_position = cache.next_position
        stream.last_result = cache.last
        with self._condition:
            self._streams[request.arguments["stream"]] = stream
        return Response.of({})

    def _running_versions(self):
        running = {stream.version for stream in self._streams.values()}
        return sorted(running | {self._options.version})

    def _accept_order(self, request):
        order = request.json(Order)
        with self._condition:
            self._loads.accept(order)
            self.orders.append(order)
        return Response.of({})

    def _require_stream(self, request):
        stream = self._streams.get(request.arguments["stream"])
        if stream is None:
            raise UnknownNameError(
                "unknown stream", "rebuild the stream by replay"
            )
        return stream


def _failed_result(step, error):
    return StepResult(
        stream=step.stream,
        attempt=step.attempt,
        position=step.position,
        error=error,
    )
