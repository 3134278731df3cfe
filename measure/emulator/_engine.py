"""Emulated engine: requests, orders and reports."""

import collections

import msgspec

from apricotseam.platform import Placement
from apricotseam.platform import REPORT_PATH
from apricotseam.platform import StalledRequest
from apricotseam.platform.standins import decode_forwarded_request
from apricotseam.platform.standins import decode_order
from apricotseam.platform.standins import encode_report
from apricotseam.platform.standins import not_run_headers
from apricotseam.platform import TargetReport
from measure.emulator._memory import TokenMemory
from measure.emulator._passes import PassRunner
from measure.emulator._stream import EngineStream
from measure.emulator._target import EmulatedTarget

# Requests that wait at an engine, as a fraction of those it runs at once.
QUEUE_FRACTION = 0.5
# A request that waits for memory of another engine tries again after this.
RETRY_SECONDS = 0.05
# Longest wait for streams that use layers which are to be given up.
GIVE_UP_SECONDS = 10.0


class Engine(EmulatedTarget):
    """One engine that runs a range of the model's layers.

    Parameters
    ----------
    site : Site
        Network, registry, profile and clock that all targets share.
    record : TargetRecord
        Its registration record.
    """

    def __init__(self, site, record):
        super().__init__(site, record)
        self._kind = site.profile.kind(record.kind)
        self._streams = {}
        self._waiting = collections.deque()
        self._retry = None
        self._placement = None
        self._report = TargetReport()
        self.memory = TokenMemory(self._capacity)
        self.passes = PassRunner(site, self._kind)

    @property
    def is_unused(self):
        """Whether it runs no request, as first engine or as a later one."""
        return not self._streams and not self.memory.holders

    def accepts(self, layers):
        """Return whether it takes new work on a range of layers."""
        held = self.record.layers
        if self.is_dead or held is None or not held.covers(layers):
            return False
        return self._placement is None or self._placement.covers(layers)

    def submit(self, job):
        """Take a job that has arrived."""
        if job.is_void:
            return
        if self.is_dead:
            job.stream.stall(self)
        else:
            self.passes.submit(job)

    def receive(self, connection, headers):
        """Handle a request whose chain begins here."""
        request = decode_forwarded_request(headers)
        now = self._site.loop.time()
        self._site.fatal.receive(request.prompt_parts, connection.host, now)
        if request.target != self.identity:
            refusal = not_run_headers(request.request_id)
            connection.answer(421, refusal, b"")
            return
        failed = self._unusable_address(request.chain)
        if failed:
            refusal = not_run_headers(request.request_id, failed)
            connection.answer(503, refusal, b"")
            return
        size = self._site.size_of(request.request_id)
        parts = self._parts(request.chain)
        stream = EngineStream(self._site, request, size, connection, parts)
        self._admit(stream)

    def receive_call(self, connection, path, body):
        """Handle a request for a report, or an order."""
        if path == REPORT_PATH:
            connection.answer(200, (), encode_report(self._report), b"")
            return
        order = decode_order(body)
        if isinstance(order, Placement):
            status = self._accept_placement(order)
        else:
            status = self._accept_reroute(order)
        connection.answer(status, (), b"", b"")

    def cancel(self, connection):
        """Stop the stream of a connection that the host closed."""
        stream = self._streams.get(connection)
        if stream is not None:
            self.discard(stream)

    def discard(self, stream):
        """Forget a stream that has ended for any reason."""
        self._streams.pop(stream.connection, None)
        if stream in self._waiting:
            self._waiting.remove(stream)
        stream.stop()
        self._start_waiting()

    def requeue(self, stream):
        """Make a stream wait until it has memory again."""
        stream.stop()
        self._waiting.appendleft(stream)
        self._schedule_retry()

    def crash(self, is_silent):
        """End the process, with reset connections or in silence."""
        self.is_dead = True
        self.is_silent = is_silent
        for job in self.passes.stop():
            if job.stream.head is not self:
                job.stream.stall(self)
        for stream in list(self._streams.values()):
            if not is_silent:
                stream.connection.reset()
            stream.stop()
        self._streams.clear()
        self._waiting.clear()
        if not is_silent:
            self._site.network.detach(self)

    def update_report(self):
        """Replace what `REPORT_PATH` answers by the present state."""
        self._report = TargetReport(
            is_busy=self._placement is not None,
            orders=self.record.orders,
            running=len(self._streams) - len(self._waiting),
            queued=len(self._waiting),
            used_units=self.memory.used,
            total_units=self.memory.capacity,
            slowness=self.passes.slowdown,
            born_ms=self.record.born_ms,
            layers=self.record.layers,
            stalled=tuple(
                StalledRequest(stream.request_id, stream.stalled_on)
                for stream in self._streams.values()
                if stream.stalled_on
            ),
        )

    def _capacity(self):
        layers = self.record.layers
        if layers is None:
            return 0.0
        return self._site.profile.capacity_units(
            self._kind.memory_mb, layers.size
        )

    def _unusable_address(self, chain):
        """Return the address of the first stage that refuses, or None."""
        for stage in chain:
            engine = self._site.network.at(stage.address)
            if engine is None or not engine.accepts(stage.layers):
                return stage.address
        return None

    def _parts(self, chain):
        network = self._site.network
        return [(network.at(stage.address), stage.layers) for stage in chain]

    def _admit(self, stream):
        """Start a stream, make it wait, or refuse it."""
        unfit = stream.unfit_part()
        limit = self.record.slots * (1 + QUEUE_FRACTION)
        if unfit not in (None, self) or len(self._streams) >= limit:
            address = (unfit or self).address
            refusal = not_run_headers(stream.request_id, address)
            stream.connection.answer(503, refusal, b"")
            return
        self._streams[stream.connection] = stream
        self._waiting.append(stream)
        self._start_waiting()

    def _start_waiting(self):
        """Start waiting streams in order while there is room for them."""
        while self._waiting:
            running = len(self._streams) - len(self._waiting)
            if running >= self.record.slots:
                return
            if self._waiting[0].unfit_part() is not None:
                self._schedule_retry()
                return
            self._waiting.popleft().start()

    def _schedule_retry(self):
        if self._retry is None:
            self._retry = self._site.loop.call_later(
                RETRY_SECONDS, self._retry_waiting
            )

    def _retry_waiting(self):
        self._retry = None
        self._start_waiting()

    def _accept_reroute(self, order):
        """Move a stream to another chain; return the HTTP status."""
        stream = next(
            (
                stream
                for stream in self._streams.values()
                if stream.request_id == order.request_id
            ),
            None,
        )
        if stream is None or stream in self._waiting:
            return 404
        if self._unusable_address(order.chain):
            return 409
        parts = self._parts(order.chain)
        for engine, layers in parts:
            needed = stream.context * layers.size
            if needed - engine.memory.held_by(stream) > engine.memory.free:
                return 409
        stream.reroute(parts)
        return 200

    def _accept_placement(self, order):
        """Begin to load layers; return the HTTP status."""
        if order.after_orders not in (None, self.record.orders):
            return 409
        if self._placement is not None:
            return 409
        if self.record.layers == order.layers:
            return 200
        self._placement = order.layers
        self._publish(orders=self.record.orders + 1)
        held = self.record.layers
        kept = 0
        if held is not None:
            kept = max(
                0,
                min(held.last, order.layers.last)
                - max(held.first, order.layers.first),
            )
        seconds = self._site.begin_load(order.layers.size - kept)
        loop = self._site.loop
        loop.call_later(
            seconds, self._finish_load, loop.time() + GIVE_UP_SECONDS
        )
        return 202

    def _finish_load(self, give_up_at):
        if self.is_dead:
            self._site.end_load()
            return
        loop = self._site.loop
        if self._is_giving_up() and loop.time() < give_up_at:
            loop.call_later(RETRY_SECONDS, self._finish_load, give_up_at)
            return
        self._site.end_load()
        layers, self._placement = self._placement, None
        self._publish(layers=layers)

    def _is_giving_up(self):
        """Return whether a stream uses layers that are to be given up."""
        return any(
            engine is self and not self._placement.covers(layers)
            for stream in self.memory.holders
            for engine, layers in stream.parts
        )

    def _publish(self, **changes):
        self.record = msgspec.structs.replace(self.record, **changes)
        self._site.registry.publish(self)
