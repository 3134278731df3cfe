"""Carries steps of several streams to a stage in one call."""

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

MAX_LANES = 4096
MAX_STEPS_PER_CALL = 64
MAX_CALLS_PER_STAGE = 8
GATHER_SECONDS = 0.001


class _Entry:
    """One step that waits for its result."""

    __slots__ = (
        "batch",
        "deadline",
        "error",
        "is_left",
        "result",
        "step",
        "wake",
    )

    def __init__(self, step, deadline):
        self.step = step
        self.deadline = deadline
        self.wake = threading.Event()
        self.batch = None
        self.result = None
        self.error = None
        self.is_left = False


class _Lane:
    """Steps that wait for one stage and the calls under way to it."""

    __slots__ = ("calls", "gatherer", "lock", "most", "queue")

    def __init__(self):
        self.lock = threading.Lock()
        self.queue = []
        self.calls = 0
        self.most = 1
        self.gatherer = None

    def take(self, count):
        """Return up to a number of waiting entries, by priority."""
        batch = []
        while self.queue and len(batch) < count:
            entry = heapq.heappop(self.queue)[2]
            if not entry.is_left:
                batch.append(entry)
        return batch


class StepCarrier:
    """Sends steps for a stage together while a call to it is under way.

    A request thread that finds no call to its stage under way sends at
    once. Else it waits a short time for steps of others and sends all of
    them, urgent steps first. With too many calls under way it waits for
    one to end.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    max_calls : int
        Calls under way to one stage at a time.
    max_steps : int
        Steps in one call.
    gather_seconds : float
        Longest wait for steps of others while a slot is free.
    batch : callable, optional
        ``batch(address)`` returns how many steps an engine runs at once,
        0 if not known. More in one call would wait for each other.
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
        self._batch = batch or (lambda address: 0)
        self._lock = threading.Lock()
        self._lanes = collections.OrderedDict()
        self._order = itertools.count()

    def run(self, address, step, deadline):
        """Run one step and return its `StepResult`.

        Parameters
        ----------
        address : str
            Address of the stage.
        step : Step
            The step.
        deadline : float
            Monotonic time by which the result must be here.

        Raises
        ------
        UnreachableError
            If the step was not sent.
        AnswerLostError
            If it may have been sent and no result came.
        """
        lane = self._lane(address)
        lane.most = self._most(address)
        entry = _Entry(step, deadline)
        self._join(lane, entry)
        if lane.gatherer is entry:
            self._gather(lane, entry)
        if entry.batch is None:
            self._wait(lane, entry)
        if entry.batch is not None:
            self._lead(lane, address, entry.batch)
        if entry.error is not None:
            raise entry.error
        return entry.result

    def _join(self, lane, entry):
        """Give an entry its part: to send, to gather or to wait."""
        with lane.lock:
            is_free = lane.gatherer is None and lane.calls < self._max_calls
            if is_free and (lane.calls == 0 or self._gather_seconds <= 0):
                lane.calls += 1
                entry.batch = [entry]
            elif is_free:
                lane.calls += 1
                lane.gatherer = entry
            else:
                item = (entry.step.priority, next(self._order), entry)
                heapq.heappush(lane.queue, item)
                is_full = len(lane.queue) + 1 >= lane.most
                if lane.gatherer is not None and is_full:
                    lane.gatherer.wake.set()

    def _gather(self, lane, entry):
        entry.wake.wait(self._gather_seconds)
        with lane.lock:
            lane.gatherer = None
            entry.batch = [entry, *lane.take(lane.most - 1)]
            self._pass_on(lane)

    def _wait(self, lane, entry):
        left = entry.deadline - time.monotonic()
        if entry.wake.wait(max(0.0, left)):
            return
        with lane.lock:
            if entry.wake.is_set():
                return
            entry.is_left = True
            is_queued = any(item[2] is entry for item in lane.queue)
        if is_queued:
            entry.error = UnreachableError(
                "the step waited too long to be sent", "use another stage"
            )
            return
        entry.error = AnswerLostError(
            "the step was sent and no result came", "ask for the position"
        )

    def _lead(self, lane, address, batch):
        try:
            self._call(address, batch)
        finally:
            with lane.lock:
                lane.calls -= 1
                self._pass_on(lane)

    def _pass_on(self, lane):
        """Have waiting entries send what waits while slots are free."""
        while lane.gatherer is None and lane.calls < self._max_calls:
            following = lane.take(lane.most)
            if not following:
                return
            lane.calls += 1
            following[0].batch = following
            following[0].wake.set()

    def _most(self, address):
        return min(self._max_steps, self._batch(address) or self._max_steps)

    def _call(self, address, batch):
        steps = [entry.step for entry in batch]
        deadline = max(entry.deadline for entry in batch)
        STEP_CALLS.inc()
        STEPS.inc(len(steps))
        try:
            results = self._engine.run_steps(address, steps, deadline)
            if len(results) != len(steps):
                raise TargetError(
                    f"{len(results)} results for {len(steps)} steps",
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
                    "the call ended early", "ask for the position"
                )
            raise
        finally:
            for entry in batch[1:]:
                entry.wake.set()

    def _lane(self, address):
        with self._lock:
            lane = self._lanes.get(address)
            if lane is None:
                lane = self._lanes[address] = _Lane()
                self._shrink()
            return lane

    def _shrink(self):
        if len(self._lanes) <= MAX_LANES:
            return
        for address, lane in list(self._lanes.items()):
            if lane.calls == 0 and not lane.queue:
                del self._lanes[address]
                return
