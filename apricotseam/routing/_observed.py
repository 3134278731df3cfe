"""Model engine client that reports load and failures to the chooser."""

import collections
import threading

from apricotseam.errors import ApricotseamError
from apricotseam.external import ModelEngine
from apricotseam.routing._chooser import TargetLoad

MAX_STREAMS = 8192
IDLE_STREAM_SECONDS = 10.0
# At most one success of each target is reported in this period.
SUCCESS_SAMPLE_SECONDS = 0.05


class ObservedEngine(ModelEngine):
    """Forwards calls to an engine client and reports their results.

    A stream counts as running at a stage from its first step there until
    it is cancelled or has had no step for `IDLE_STREAM_SECONDS`.

    Parameters
    ----------
    engine : ModelEngine
        Client that makes the calls.
    chooser : Chooser
        Notified of streams, steps, reports and cache events.
    clock : Clock
        Source of time.
    report_lag : float
        Age of a report when it is read, in seconds.
    on_step : callable, optional
        ``on_step(address, is_success, seconds)`` is called for each
        failed batch of steps and for a sample of the successful ones.
    """

    def __init__(self, engine, chooser, clock, report_lag=0.0, on_step=None):
        self._engine = engine
        self._chooser = chooser
        self._clock = clock
        self._report_lag = report_lag
        self._on_step = on_step or (lambda address, ok, seconds: None)
        self._lock = threading.Lock()
        self._idle_deadlines = collections.OrderedDict()
        self._next_success_times = {}

    def run_steps(self, address, steps, deadline):
        """Run a batch of steps and return a `StepResult` for each."""
        before = self._clock.monotonic()
        for step in steps:
            self._record_step(address, step, before)
        try:
            results = self._engine.run_steps(address, steps, deadline)
        except ApricotseamError:
            self._record_result(address, False, before)
            raise
        self._record_result(address, True, before)
        return results

    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""
        return self._engine.position(address, stream, deadline)

    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""
        return self._engine.export_cache(address, stream, deadline)

    def import_cache(self, address, stream, attempt, cache, deadline):
        """Import a KV cache into an engine under a new attempt."""
        return self._engine.import_cache(
            address, stream, attempt, cache, deadline
        )

    def cancel(self, address, stream, deadline):
        """Drop a stream."""
        self._end_stream((address, stream))
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
        """Return the `CacheEvent` records after a sequence number."""
        events = self._engine.cache_events(address, after, deadline)
        self._chooser.cache_changed(address, events)
        return events

    def order(self, address, order, deadline):
        """Send an order that changes the engine's state."""
        return self._engine.order(address, order, deadline)

    def _record_step(self, address, step, now):
        """Renew a stream's idle deadline; notify if the stream is new.

        A deadline that is more than half of `IDLE_STREAM_SECONDS` away is
        left as it is, so that most steps need no lock.
        """
        key = (address, step.stream)
        idle_deadline = self._idle_deadlines.get(key)
        if (
            idle_deadline is not None
            and idle_deadline - now > IDLE_STREAM_SECONDS / 2
        ):
            return
        with self._lock:
            is_new = key not in self._idle_deadlines
            self._idle_deadlines[key] = now + IDLE_STREAM_SECONDS
            self._idle_deadlines.move_to_end(key)
            idle = self._remove_idle(now)
        if is_new:
            self._chooser.started(address)
        if step.prefix:
            self._chooser.prefix_sent(address, step.prefix)
        for old_address, _ in idle:
            self._chooser.ended(old_address)

    def _remove_idle(self, now):
        """Remove and return the idle streams, and the oldest if too many.

        Returns
        -------
        list of tuple
            Pairs of address and stream.
        """
        idle = []
        while self._idle_deadlines:
            key, deadline = next(iter(self._idle_deadlines.items()))
            if deadline > now and len(self._idle_deadlines) <= MAX_STREAMS:
                break
            del self._idle_deadlines[key]
            idle.append(key)
        return idle

    def _end_stream(self, key):
        with self._lock:
            idle_deadline = self._idle_deadlines.pop(key, None)
        if idle_deadline is not None:
            self._chooser.ended(key[0])

    def _record_result(self, address, is_success, before):
        """Report every failure and a sample of the successes.

        ``before`` is the monotonic time in seconds at which the call began.
        """
        now = self._clock.monotonic()
        if is_success:
            if now < self._next_success_times.get(address, 0.0):
                return
            if len(self._next_success_times) > MAX_STREAMS:
                self._next_success_times.clear()
            self._next_success_times[address] = now + SUCCESS_SAMPLE_SECONDS
        seconds = now - before
        self._chooser.observed(address, is_success, seconds)
        self._on_step(address, is_success, seconds)
