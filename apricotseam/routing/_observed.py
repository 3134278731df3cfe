"""A model engine's client that tells what it sees of load and failures."""

import collections
import threading

from apricotseam.errors import ApricotseamError
from apricotseam.external import ModelEngine
from apricotseam.routing._chooser import TargetLoad

MAX_STREAMS = 8192
IDLE_STREAM_SECONDS = 10.0
SAMPLE_SECONDS = 0.05


class ObservedEngine(ModelEngine):
    """Passes calls on and gives their results to observers.

    A stream counts as running at a stage from its first step there until
    it is cancelled there or no step of it was seen for some time.

    Parameters
    ----------
    engine : ModelEngine
        Carries the calls.
    chooser : Chooser
        Told of streams, steps, reports and cache events.
    clock : Clock
        Source of time.
    report_lag : float
        Seconds that a report is old when it is read.
    on_step : callable, optional
        ``on_step(address, is_success, seconds)`` is called for each call
        with steps.
    """

    def __init__(self, engine, chooser, clock, report_lag=0.0, on_step=None):
        self._engine = engine
        self._chooser = chooser
        self._clock = clock
        self._report_lag = report_lag
        self._on_step = on_step or (lambda address, ok, seconds: None)
        self._lock = threading.Lock()
        self._streams = collections.OrderedDict()
        self._sample_deadlines = {}

    def run_steps(self, address, steps, deadline):
        """Run a batch of steps and return one `StepResult` each."""
        before = self._clock.monotonic()
        for step in steps:
            self._note_step(address, step, before)
        try:
            results = self._engine.run_steps(address, steps, deadline)
        except ApricotseamError:
            self._note_result(address, False, before)
            raise
        self._note_result(address, True, before)
        return results

    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""
        return self._engine.position(address, stream, deadline)

    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""
        return self._engine.export_cache(address, stream, deadline)

    def import_cache(self, address, stream, attempt, cache, deadline):
        """Give a KV cache to an engine under a new attempt."""
        return self._engine.import_cache(
            address, stream, attempt, cache, deadline
        )

    def cancel(self, address, stream, deadline):
        """Drop a stream."""
        self._forget((address, stream))
        return self._engine.cancel(address, stream, deadline)

    def report(self, address, deadline):
        """Return the `EngineReport`."""
        report = self._engine.report(address, deadline)
        load = TargetLoad(
            running=report.running_streams,
            max_batch=report.max_batch,
            step_seconds=report.step_seconds,
            read_at=self._clock.monotonic() - self._report_lag,
        )
        self._chooser.reported(address, load)
        return report

    def cache_events(self, address, after, deadline):
        """Return `CacheEvent` records past a sequence number."""
        events = self._engine.cache_events(address, after, deadline)
        self._chooser.cached(address, events)
        return events

    def order(self, address, order, deadline):
        """Give a state-setting order."""
        return self._engine.order(address, order, deadline)

    def _note_step(self, address, step, now):
        key = (address, step.stream)
        known = self._streams.get(key)
        if known is not None and known - now > IDLE_STREAM_SECONDS / 2:
            return
        with self._lock:
            is_new = key not in self._streams
            self._streams[key] = now + IDLE_STREAM_SECONDS
            self._streams.move_to_end(key)
            idle = self._idle(now)
        if is_new:
            self._chooser.started(address)
        if step.prefix:
            self._chooser.sent(address, step.prefix)
        for old_address, _ in idle:
            self._chooser.ended(old_address)

    def _idle(self, now):
        idle = []
        while self._streams:
            key, deadline = next(iter(self._streams.items()))
            if deadline > now and len(self._streams) <= MAX_STREAMS:
                break
            del self._streams[key]
            idle.append(key)
        return idle

    def _forget(self, key):
        with self._lock:
            known = self._streams.pop(key, None)
        if known is not None:
            self._chooser.ended(key[0])

    def _note_result(self, address, is_success, before):
        """Tell of every failure and of a sample of successes."""
        now = self._clock.monotonic()
        if is_success:
            if now < self._sample_deadlines.get(address, 0.0):
                return
            if len(self._sample_deadlines) > MAX_STREAMS:
                self._sample_deadlines.clear()
            self._sample_deadlines[address] = now + SAMPLE_SECONDS
        seconds = now - before
        self._chooser.observed(address, is_success, seconds)
        self._on_step(address, is_success, seconds)
