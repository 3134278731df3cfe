"""Generates answers over chains of stages, token by token."""

import time

import msgspec

from apricotseam.delivery import ReorderBuffer
from apricotseam.pipelines._budget import MAX_TOTAL_RECORDED_BYTES
from apricotseam.pipelines._budget import RecordedInputBudget
from apricotseam.pipelines._cancel import Canceller
from apricotseam.pipelines._carrier import StepBatcher
from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._choosing import NoReplacement
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import MAX_RECORDED_BYTES
from apricotseam.pipelines._progress import StreamProgress
from apricotseam.pipelines._recovery import Recovery
from apricotseam.pipelines._recovery import RestartNeeded
from apricotseam.pipelines._stages import StageCalls
from apricotseam.pipelines._stages import StepFailure
from apricotseam.pipelines._timeouts import StepTimeEstimator


class Token(msgspec.Struct, frozen=True):
    """One token of an answer with its position."""

    position: int
    text: str
    end: bool


class StreamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Input and limits of one answer.

    For a resumed answer, ``delivered`` are the tokens that the caller
    sent back and ``first_position`` is the position of the first token
    that it still needs. ``layers`` is the number of layers of the model,
    0 if not known.
    """

    stream: str
    chain: Chain
    prompt: str
    max_tokens: int
    priority: int = 0
    prefix: str = ""
    layers: int = 0
    delivered: tuple[str, ...] = ()
    first_position: int = 0


class ChainRunner:
    """Generates answers over chains of stages.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    clock : Clock
        Source of monotonic time.
    max_step_timeout_seconds : float
        Longest step timeout in seconds.
    batcher : StepBatcher, optional
        Sends steps to the stages; by default a new one over ``engine``.
    wait : callable, optional
        Sleeps for a number of seconds.
    max_recorded_bytes : int, optional
        Limit on the recorded inputs of one stream in bytes.
    max_total_recorded_bytes : int, optional
        Limit on the recorded inputs of all streams in bytes.
    """

    def __init__(
        self,
        engine,
        clock,
        max_step_timeout_seconds,
        batcher=None,
        wait=time.sleep,
        max_recorded_bytes=MAX_RECORDED_BYTES,
        max_total_recorded_bytes=MAX_TOTAL_RECORDED_BYTES,
    ):
        self._engine = engine
        self._clock = clock
        self._batcher = batcher or StepBatcher(engine)
        self._step_times = StepTimeEstimator(max_step_timeout_seconds)
        self._canceller = Canceller(engine, clock)
        self._wait = wait
        self._max_recorded_bytes = max_recorded_bytes
        self.budget = RecordedInputBudget(max_total_recorded_bytes)

    def step_seconds(self, address):
        """Return the smoothed step time of a stage in seconds, or None."""
        return self._step_times.mean(address)

    def run(self, plan, chooser=None):
        """Yield the tokens of an answer in order, each exactly once.

        Parameters
        ----------
        plan : StreamPlan
            Chain, prompt and limits.
        chooser : StageChooser, optional
            Chooses replacements of failed stages; without it none are
            replaced.

        Yields
        ------
        Token

        Raises
        ------
        FailedError
            If a stage failed and could not be replaced.
        """
        stream_run = _StreamRun(self, plan, chooser or NoReplacement())
        buffer = ReorderBuffer(plan.first_position)
        try:
            while not buffer.is_ended:
                for token in stream_run.advance():
                    yield from buffer.accept(token.position, token, token.end)
        finally:
            stream_run.close()

    def new_calls_and_recovery(self, plan, chooser):
        """Return a new `StageCalls` and `Recovery` for one stream."""
        calls = StageCalls(
            self._engine, self._batcher, self._step_times, self._clock, plan
        )
        recovery = Recovery(
            self._engine,
            calls,
            self._step_times,
            self._clock,
            self._wait,
            plan,
            chooser,
        )
        return calls, recovery

    def new_progress(self, stages):
        """Return an empty `StreamProgress` over stages."""
        return StreamProgress(stages, self._max_recorded_bytes, self.budget)

    def now(self):
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def cancel(self, stages, stream):
        """Cancel a stream at stages without blocking this thread."""
        addresses = list(dict.fromkeys(stage.address for stage in stages))
        self._canceller.cancel(addresses, stream)


class _StreamRun:
    """Execution of one answer, with its state between tokens."""

    __slots__ = (
        "_calls",
        "_chooser",
        "_plan",
        "_progress",
        "_recovery",
        "_restarts",
        "_runner",
        "_tokens",
    )

    def __init__(self, runner, plan, chooser):
        self._runner = runner
        self._chooser = chooser
        self._tokens = list(plan.delivered)
        self._restarts = 0
        self._start_stream(plan, plan.chain.stages)

    def advance(self):
        """Return the next tokens, which may repeat delivered positions."""
        try:
            return self._advance()
        except RestartNeeded:
            self._restart()
            return []

    def close(self):
        """Cancel the stream at all stages and drop its recorded inputs."""
        self._progress.drop_inputs()
        stages = [*self._progress.stages, *self._recovery.abandoned]
        self._runner.cancel(stages, self._plan.stream)

    def _start_stream(self, plan, stages):
        self._plan = plan
        self._calls, self._recovery = self._runner.new_calls_and_recovery(
            plan, self._chooser
        )
        self._progress = self._runner.new_progress(stages)

    def _restart(self):
        """Start a new stream that recomputes the answer from the prompt."""
        self.close()
        excluded = self._progress.excluded
        self._restarts += 1
        name = f"{self._plan.stream.partition('~')[0]}~{self._restarts}"
        plan = msgspec.structs.replace(self._plan, stream=name)
        self._start_stream(plan, self._progress.stages)
        self._progress.excluded = excluded

    def _advance(self):
        if self._progress.inputs(0):
            payloads = [self._tokens[-1]]
        else:
            payloads = [self._plan.prompt, *self._tokens]
        first = len(self._progress.inputs(0))
        results = self._run_stages(first, payloads)
        known_count = len(self._tokens)
        for result in results:
            if result.position >= known_count:
                self._tokens.append(result.token)
        return [self._to_token(result) for result in results]

    def _to_token(self, result):
        is_last = result.end or result.position + 1 >= self._plan.max_tokens
        return Token(result.position, result.token, is_last)

    def _run_stages(self, first, payloads):
        """Run inputs through all stages; return the last stage's results."""
        index = 0
        results = []
        while index < len(self._progress.stages):
            self._progress.record(index, payloads)
            index, results = self._run_stage(index, first, payloads)
            payloads = [result.payload for result in results]
            index += 1
        return results

    def _run_stage(self, index, first, payloads):
        started = self._runner.now()
        stage = self._progress.stages[index]
        attempt = self._progress.attempt(index)
        stream = self._plan.stream
        position = first + len(payloads) - 1
        try:
            if len(payloads) > 1:
                results = self._calls.send_all(
                    stage, stream, attempt, payloads
                )
                return index, results
            result = self._calls.send(
                stage, stream, attempt, position, payloads[0]
            )
            return index, [result]
        except StepFailure as failure:
            arguments = (self._progress, index, position)
            if len(payloads) > 1:
                return self._recovery.rebuild(
                    *arguments, Decision.REPLAY, failure, started
                )
            last_index, results = self._recovery.recover(
                *arguments, failure, started
            )
            return last_index, results[-1:]
