"""Batches steps of several streams into one call to a stage."""

import collections
import heapq
import itertools
import threading
import time

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.errors import TargetError
from apricotseam.pipelines._metrics import STEP_CALLS
from apricotseam.pipelines._metrics import STEPS
from apricotseam.web import UnreachableError

MAX_STAGE_QUEUES = 4096
MAX_STEPS_PER_CALL = 64
MAX_CALLS_PER_STAGE = 8
GATHER_SECONDS = 0.001


class _Entry:
    """One step whose request thread waits for the result.

    ``batch`` is set on the entry whose thread sends the call, and is None
    on the other entries of that call.
    """

    __slots__ = (
        "batch",
        "deadline",
        "error",
        "is_abandoned",
        "result",
        "step",
        "wake_event",
    )

    def __init__(self, step, deadline):
        self.step = step
        self.deadline = deadline
        self.wake_event = threading.Event()
        self.batch = None
        self.result = None
        self.error = None
        self.is_abandoned = False


class _StageQueue:
    """Steps that wait for one stage, and the number of calls in flight.

    ``gatherer`` is the entry that collects the next batch, or None.
    """

    __slots__ = ("active_calls", "gatherer", "lock", "step_limit", "waiting")

    def __init__(self):
        self.lock = threading.Lock()
        self.waiting = []
        self.active_calls = 0
        self.step_limit = 1
        self.gatherer = None

    def pop_batch(self, count):
        """Remove and return up to ``count`` entries, by priority."""
        batch = []
        while self.waiting and len(batch) < count:
            entry = heapq.heappop(self.waiting)[2]
            if not entry.is_abandoned:
                batch.append(entry)
        return batch


class StepBatcher:
    """Sends steps for a stage in batches while calls are in flight.

    A request thread that finds no call to its stage in flight sends its
    step at once. Otherwise it gathers steps of other threads for a short
    time and sends them in one call, urgent steps first. With
    ``max_calls`` in flight it waits until one of them ends.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    max_calls : int
        Maximum number of concurrent calls to one stage.
    max_steps : int
        Maximum number of steps in one call.
    gather_seconds : float
        Longest time in seconds to gather steps while another call is
        permitted.
    batch : callable, optional
        ``batch(address)`` returns how many steps an engine runs at once,
        0 if not known. Further steps in one call would queue at the
        engine and delay the results of the others.
    """

    def __init__(
        self,
        engine,
        max_calls=MAX_CALLS_PER_STAGE,
        max_steps=MAX_STEPS_PER_CALL,
        gather_seconds=GATHER_SECONDS,
        batch=None,
    ):
        self._engine = engine
        self._max_calls = max_calls
        self._max_steps = max_steps
        self._gather_seconds = gather_seconds
        self._engine_batch_size = batch or (lambda address: 0)
        self._lock = threading.Lock()
        self._stage_queues = collections.OrderedDict()
        self._sequence = itertools.count()

    def run(self, address, step, deadline):
        """Run one step and return its `StepResult`.

        Parameters
        ----------
        address : str
            Address of the stage.
        step : Step
            The step.
        deadline : float
            Monotonic time in seconds by which the result must arrive.

        Raises
        ------
        UnreachableError
            If the step was not sent.
        AnswerLostError
            If the step may have been sent and no result arrived.
        """
        stage_queue = self._stage_queue(address)
        stage_queue.step_limit = self._step_limit(address)
        entry = _Entry(step, deadline)
        self._assign_role(stage_queue, entry)
        if stage_queue.gatherer is entry:
            self._gather(stage_queue, entry)
        if entry.batch is None:
            self._wait(stage_queue, entry)
        if entry.batch is not None:
            self._send_batch(stage_queue, address, entry.batch)
        if entry.error is not None:
            raise entry.error
        return entry.result

    def _assign_role(self, stage_queue, entry):
        """Decide whether an entry sends at once, gathers a batch or waits."""
        with stage_queue.lock:
            is_free = (
                stage_queue.gatherer is None
                and stage_queue.active_calls < self._max_calls
            )
            if is_free and (
                stage_queue.active_calls == 0 or self._gather_seconds <= 0
            ):
                stage_queue.active_calls += 1
                entry.batch = [entry]
            elif is_free:
                stage_queue.active_calls += 1
                stage_queue.gatherer = entry
            else:
                item = (entry.step.priority, next(self._sequence), entry)
                heapq.heappush(stage_queue.waiting, item)
                is_full = (
                    len(stage_queue.waiting) + 1 >= stage_queue.step_limit
                )
                if stage_queue.gatherer is not None and is_full:
                    stage_queue.gatherer.wake_event.set()

    def _gather(self, stage_queue, entry):
        entry.wake_event.wait(self._gather_seconds)
        with stage_queue.lock:
            stage_queue.gatherer = None
            entry.batch = [
                entry,
                *stage_queue.pop_batch(stage_queue.step_limit - 1),
            ]
            self._start_waiting_batches(stage_queue)

    def _wait(self, stage_queue, entry):
        remaining_seconds = entry.deadline - time.monotonic()
        if entry.wake_event.wait(max(0.0, remaining_seconds)):
            return
        with stage_queue.lock:
            if entry.wake_event.is_set():
                return
            entry.is_abandoned = True
            is_queued = any(item[2] is entry for item in stage_queue.waiting)
        if is_queued:
            entry.error = UnreachableError(
                "deadline passed before the step was sent", "use another stage"
            )
            return
        entry.error = AnswerLostError(
            "no result of the sent step before its deadline",
            "ask for the position",
        )

    def _send_batch(self, stage_queue, address, batch):
        try:
            self._run_batch(address, batch)
        finally:
            with stage_queue.lock:
                stage_queue.active_calls -= 1
                self._start_waiting_batches(stage_queue)

    def _start_waiting_batches(self, stage_queue):
        """Start calls for waiting entries while the limit permits.

        The first entry of a batch is woken up and sends the batch from
        its own thread. The caller holds the lock.
        """
        while (
            stage_queue.gatherer is None
            and stage_queue.active_calls < self._max_calls
        ):
            next_batch = stage_queue.pop_batch(stage_queue.step_limit)
            if not next_batch:
                return
            stage_queue.active_calls += 1
            next_batch[0].batch = next_batch
            next_batch[0].wake_event.set()

    def _step_limit(self, address):
        """Return the maximum number of steps in one call to a stage."""
        return min(
            self._max_steps,
            self._engine_batch_size(address) or self._max_steps,
        )

    def _run_batch(self, address, batch):
        steps = [entry.step for entry in batch]
        deadline = max(entry.deadline for entry in batch)
        STEP_CALLS.inc()
        STEPS.inc(len(steps))
        try:
            results = self._engine.run_steps(address, steps, deadline)
            if len(results) != len(steps):
                raise TargetError(
                    f"got {len(results)} results for {len(steps)} steps",
                    "read the engine's log",
                )
            for entry, result in zip(batch, results, strict=True):
                entry.result = result
        except ApricotseamError as error:
            for entry in batch:
                entry.error = error
        except BaseException:
            for entry in batch:
                entry.error = AnswerLostError(
                    "call to the stage was aborted", "ask for the position"
                )
            raise
        finally:
            for entry in batch[1:]:
                entry.wake_event.set()

    def _stage_queue(self, address):
        with self._lock:
            stage_queue = self._stage_queues.get(address)
            if stage_queue is None:
                stage_queue = self._stage_queues[address] = _StageQueue()
                self._evict_idle_queue()
            return stage_queue

    def _evict_idle_queue(self):
        if len(self._stage_queues) <= MAX_STAGE_QUEUES:
            return
        for address, stage_queue in list(self._stage_queues.items()):
            if stage_queue.active_calls == 0 and not stage_queue.waiting:
                del self._stage_queues[address]
                return
