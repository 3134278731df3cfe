"""Calls to the stages of one stream, with checks of their results."""

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.external import Step
from apricotseam.pipelines._metrics import LATE_ANSWERS
from apricotseam.pipelines._progress import POSITION_QUERY_CODES
from apricotseam.pipelines._progress import Symptom
from apricotseam.web import UnreachableError

# The timeout of a call is extended by the longest step timeout for each of
# these many steps in it.
STEPS_PER_TIMEOUT = 16


class StepFailure(Exception):
    """A step at a stage failed.

    Parameters
    ----------
    symptom : Symptom
        How the step failed.
    found : str
        Description of the failure for the caller of the stream.
    """

    def __init__(self, symptom, found):
        super().__init__(found)
        self.symptom = symptom
        self.found = found


class StageCalls:
    """Sends steps of one stream and checks the results.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    batcher : StepBatcher
        Sends single steps in batches with those of other streams.
    step_times : StepTimeEstimator
        Observed step times of the stages.
    clock : Clock
        Source of monotonic time.
    plan : StreamPlan
        The stream.
    """

    __slots__ = ("_batcher", "_clock", "_engine", "_plan", "_step_times")

    def __init__(self, engine, batcher, step_times, clock, plan):
        self._engine = engine
        self._batcher = batcher
        self._step_times = step_times
        self._clock = clock
        self._plan = plan

    def send(self, stage, stream, attempt, position, payload):
        """Run one step and return its checked result.

        Raises
        ------
        StepFailure
            If no valid result arrived.
        """
        step = self._make_step(stage, stream, attempt, position, payload)
        started = self._clock.monotonic()
        seconds = self._step_times.timeout(stage.address)
        if position == 0:
            seconds = self._step_times.max_timeout_seconds
        try:
            result = self._batcher.run(stage.address, step, started + seconds)
        except ApricotseamError as error:
            raise StepFailure(_symptom_of(error), error.found) from None
        self.check(stage, step, result)
        self._step_times.observe(
            stage.address, self._clock.monotonic() - started
        )
        return result

    def send_all(self, stage, stream, attempt, payloads):
        """Run positions 0 and up in one call and return all results.

        Raises
        ------
        StepFailure
            If the results are missing or invalid.
        """
        steps = [
            self._make_step(stage, stream, attempt, position, payload)
            for position, payload in enumerate(payloads)
        ]
        seconds = self._step_times.max_timeout_seconds
        seconds *= 1 + len(steps) // STEPS_PER_TIMEOUT
        deadline = self._clock.monotonic() + seconds
        try:
            results = self._engine.run_steps(stage.address, steps, deadline)
        except ApricotseamError as error:
            raise StepFailure(_symptom_of(error), error.found) from None
        if len(results) != len(steps):
            raise StepFailure(
                Symptom.WRONG_ANSWER,
                f"stage {stage.target} did not answer all steps",
            )
        for step, result in zip(steps, results, strict=True):
            self.check(stage, step, result)
        return results

    def check(self, stage, step, result):
        """Raise `StepFailure` unless a result is a valid one of a step."""
        received = (result.stream, result.attempt, result.position)
        if received != (step.stream, step.attempt, step.position):
            LATE_ANSWERS.inc()
            raise StepFailure(
                Symptom.LATE_ANSWER,
                f"stage {stage.target} returned the result of another step",
            )
        if result.error is not None:
            needs_query = result.error in POSITION_QUERY_CODES
            raise StepFailure(
                Symptom.ANSWER_LOST if needs_query else Symptom.WRONG_ANSWER,
                f"stage {stage.target} answered {result.error}",
            )
        layers = self._plan.layers
        if layers and stage.last == layers - 1 and result.token is None:
            raise StepFailure(
                Symptom.WRONG_ANSWER, f"stage {stage.target} returned no token"
            )

    def _make_step(self, stage, stream, attempt, position, payload):
        plan = self._plan
        return Step(
            stream=stream,
            attempt=attempt,
            position=position,
            payload=payload,
            model=plan.chain.model,
            version=plan.chain.version,
            first=stage.first,
            last=stage.last,
            priority=plan.priority,
            prefix=plan.prefix if position == 0 else "",
        )


def _symptom_of(error):
    if isinstance(error, UnreachableError):
        return Symptom.NOT_SENT
    if isinstance(error, AnswerLostError):
        return Symptom.ANSWER_LOST
    return Symptom.WRONG_ANSWER


class RecoveryTimes(msgspec.Struct):
    """Duration in seconds of each part of one recovery."""

    detect: float = 0.0
    choose: float = 0.0
    rebuild: float = 0.0
