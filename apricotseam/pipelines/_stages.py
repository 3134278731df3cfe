"""Calls to the stages of one chain under the rules of steps."""

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ApricotseamError
from apricotseam.external import Step
from apricotseam.pipelines._metrics import LATE_ANSWERS
from apricotseam.pipelines._progress import ASK_FIRST_CODES
from apricotseam.pipelines._progress import Symptom
from apricotseam.web import UnreachableError

BATCH_STEPS = 16


class StepFailure(Exception):
    """A step at one stage did not succeed.

    Parameters
    ----------
    symptom : Symptom
        What was seen.
    found : str
        Description for the error in the stream.
    """

    def __init__(self, symptom, found):
        super().__init__(found)
        self.symptom = symptom
        self.found = found


class StageCalls:
    """Sends steps of one stream and checks what comes back.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    carrier : StepCarrier
        Carries single steps.
    times : StepTimes
        Observed step times.
    clock : Clock
        Source of deadlines.
    plan : StreamPlan
        The stream.
    """

    __slots__ = ("_carrier", "_clock", "_engine", "_plan", "_times")

    def __init__(self, engine, carrier, times, clock, plan):
        self._engine = engine
        self._carrier = carrier
        self._times = times
        self._clock = clock
        self._plan = plan

    def send(self, stage, stream, attempt, position, payload):
        """Run one step and return its checked result.

        Raises
        ------
        StepFailure
            If no right result came.
        """
        step = self._step(stage, stream, attempt, position, payload)
        started = self._clock.monotonic()
        seconds = self._times.timeout(stage.address)
        if position == 0:
            seconds = self._times.bound_seconds
        try:
            result = self._carrier.run(stage.address, step, started + seconds)
        except ApricotseamError as error:
            raise StepFailure(_symptom(error), error.found) from None
        self.check(stage, step, result)
        self._times.observe(stage.address, self._clock.monotonic() - started)
        return result

    def send_all(self, stage, stream, attempt, payloads):
        """Run positions 0 and up in one call; return all results.

        Raises
        ------
        StepFailure
            If no right results came.
        """
        steps = [
            self._step(stage, stream, attempt, position, payload)
            for position, payload in enumerate(payloads)
        ]
        seconds = self._times.bound_seconds
        seconds *= 1 + len(steps) // BATCH_STEPS
        deadline = self._clock.monotonic() + seconds
        try:
            results = self._engine.run_steps(stage.address, steps, deadline)
        except ApricotseamError as error:
            raise StepFailure(_symptom(error), error.found) from None
        if len(results) != len(steps):
            raise StepFailure(
                Symptom.WRONG_ANSWER, f"stage {stage.target} left steps out"
            )
        for step, result in zip(steps, results, strict=True):
            self.check(stage, step, result)
        return results

    def check(self, stage, step, result):
        """Raise `StepFailure` unless a result answers a step."""
        got = (result.stream, result.attempt, result.position)
        if got != (step.stream, step.attempt, step.position):
            LATE_ANSWERS.inc()
            raise StepFailure(
                Symptom.LATE_ANSWER,
                f"stage {stage.target} answered another step",
            )
        if result.error is not None:
            asks = result.error in ASK_FIRST_CODES
            raise StepFailure(
                Symptom.ANSWER_LOST if asks else Symptom.WRONG_ANSWER,
                f"stage {stage.target} answered {result.error}",
            )
        layers = self._plan.layers
        if layers and stage.last == layers - 1 and result.token is None:
            raise StepFailure(
                Symptom.WRONG_ANSWER, f"stage {stage.target} gave no token"
            )

    def _step(self, stage, stream, attempt, position, payload):
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


def _symptom(error):
    if isinstance(error, UnreachableError):
        return Symptom.NOT_SENT
    if isinstance(error, AnswerLostError):
        return Symptom.ANSWER_LOST
    return Symptom.WRONG_ANSWER


class RecoveryTimes(msgspec.Struct):
    """Seconds that the parts of one recovery took."""

    detect: float = 0.0
    choose: float = 0.0
    rebuild: float = 0.0
