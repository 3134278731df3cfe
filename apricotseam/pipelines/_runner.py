"""Runs one answer over a chain, token by token."""

import time

import msgspec

from apricotseam.delivery import ReorderBuffer
from apricotseam.pipelines._budget import RecordBudget
from apricotseam.pipelines._budget import TOTAL_RECORDED_BYTES
from apricotseam.pipelines._cancel import Canceller
from apricotseam.pipelines._carrier import StepCarrier
from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._choosing import NoReplacement
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import RECORDED_BYTES
from apricotseam.pipelines._progress import StreamProgress
from apricotseam.pipelines._recovery import Recovery
from apricotseam.pipelines._recovery import RestartNeeded
from apricotseam.pipelines._stages import StageCalls
from apricotseam.pipelines._stages import StepFailure
from apricotseam.pipelines._timeouts import StepTimes


class Token(msgspec.Struct, frozen=True):
    """One token of an answer at its position."""

    position: int
    text: str
    end: bool


class StreamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer is computed from.

    ``delivered`` are tokens that the caller sent back to go on after
    them; ``first_position`` is the first token that it still wants.
    ``layers`` is the number of layers of the model, 0 if not known.
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
    """Runs answers over chains of stages.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    clock : Clock
        Source of deadlines.
    step_timeout : float
        Seconds that one step may take.
    carrier : StepCarrier, optional
        Carries the steps; one of its own without it.
    wait : callable, optional
        Waits for a number of seconds.
    recorded_bytes : int, optional
        Bound on the recorded inputs of one stream in bytes.
    total_recorded_bytes : int, optional
        Bound on those of all streams in bytes.
    """

    def __init__(
        self,
        engine,
        clock,
        step_timeout,
        carrier=None,
        wait=time.sleep,
        recorded_bytes=RECORDED_BYTES,
        total_recorded_bytes=TOTAL_RECORDED_BYTES,
    ):
        self._engine = engine
        self._clock = clock
        self._carrier = carrier or StepCarrier(engine)
        self._times = StepTimes(step_timeout)
        self._canceller = Canceller(engine, clock)
        self._wait = wait
        self._recorded_bytes = recorded_bytes
        self.budget = RecordBudget(total_recorded_bytes)

    def step_seconds(self, address):
        """Return the observed seconds of a step at a stage, or None."""
        return self._times.mean(address)

    def run(self, plan, chooser=None):
        """Yield the tokens of an answer in order, each once.

        Parameters
        ----------
        plan : StreamPlan
            Chain, prompt and bounds.
        chooser : StageChooser, optional
            Chooses replacements of stages that fail.

        Yields
        ------
        Token

        Raises
        ------
        FailedError
            If a stage failed and nothing could take over.
        """
        answer = _Answer(self, plan, chooser or NoReplacement())
        buffer = ReorderBuffer(plan.first_position)
        try:
            while not buffer.is_ended:
                for token in answer.advance():
                    yield from buffer.accept(token.position, token, token.end)
        finally:
            answer.close()

    def parts(self, plan, chooser):
        """Return the calls and the recovery of one stream."""
        calls = StageCalls(
            self._engine, self._carrier, self._times, self._clock, plan
        )
        recovery = Recovery(
            self._engine,
            calls,
            self._times,
            self._clock,
            self._wait,
            plan,
            chooser,
        )
        return calls, recovery

    def progress(self, stages):
        """Return an empty `StreamProgress` over stages."""
        return StreamProgress(stages, self._recorded_bytes, self.budget)

    def now(self):
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def cancel(self, stages, stream):
        """Have stages drop a stream, apart from this thread."""
        addresses = list(dict.fromkeys(stage.address for stage in stages))
        self._canceller.cancel(addresses, stream)


class _Answer:
    """One answer under way."""

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
        self._begin(plan, plan.chain.stages)

    def advance(self):
        """Return the next tokens; some may have been delivered before."""
        try:
            return self._advance()
        except RestartNeeded:
            self._restart()
            return []

    def close(self):
        """Have all stages drop the stream; forget its inputs."""
        self._progress.drop()
        stages = [*self._progress.stages, *self._recovery.abandoned]
        self._runner.cancel(stages, self._plan.stream)

    def _begin(self, plan, stages):
        self._plan = plan
        self._calls, self._recovery = self._runner.parts(plan, self._chooser)
        self._progress = self._runner.progress(stages)

    def _restart(self):
        """Begin a new stream from the first stage's inputs."""
        self.close()
        excluded = self._progress.excluded
        self._restarts += 1
        name = f"{self._plan.stream.partition('~')[0]}~{self._restarts}"
        plan = msgspec.structs.replace(self._plan, stream=name)
        self._begin(plan, self._progress.stages)
        self._progress.excluded = excluded

    def _advance(self):
        if self._progress.inputs(0):
            payloads = [self._tokens[-1]]
        else:
            payloads = [self._plan.prompt, *self._tokens]
        first = len(self._progress.inputs(0))
        results = self._pass(first, payloads)
        known = len(self._tokens)
        for result in results:
            if result.position >= known:
                self._tokens.append(result.token)
        return [self._token(result) for result in results]

    def _token(self, result):
        is_last = result.end or result.position + 1 >= self._plan.max_tokens
        return Token(result.position, result.token, is_last)

    def _pass(self, first, payloads):
        """Run inputs through all stages and return the last results."""
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
            place, results = self._recovery.settle(
                *arguments, failure, started
            )
            return place, results[-1:]
