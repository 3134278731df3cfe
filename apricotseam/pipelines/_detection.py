"""Determines the state of a stage after a step failed there."""

from apricotseam.errors import ApricotseamError
from apricotseam.errors import TargetError
from apricotseam.pipelines._progress import classify_position
from apricotseam.pipelines._progress import decide
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import Evidence
from apricotseam.pipelines._progress import StageStatus
from apricotseam.pipelines._stages import StepFailure

MIN_POLL_SECONDS = 0.02
MAX_POLL_SECONDS = 0.16
# Multiple of the longest step timeout to wait for a slow stage that has no
# replacement.
SLOW_STAGE_TIMEOUT_FACTOR = 8
# Longest silence of a sound stage.
MAX_SILENCE_SECONDS = 1.5
_REUSABLE_STATUSES = (StageStatus.UNKNOWN_STREAM, StageStatus.ELSEWHERE)


class FailureDiagnosis:
    """Diagnoses failed steps of one stream by querying the stages.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    calls : StageCalls
        Sends the stream's steps.
    step_times : StepTimeEstimator
        Observed step times of the stages.
    clock : Clock
        Source of monotonic time.
    wait : callable
        Sleeps for a number of seconds.
    plan : StreamPlan
        The stream.
    """

    def __init__(self, engine, calls, step_times, clock, wait, plan):
        self._engine = engine
        self._calls = calls
        self._step_times = step_times
        self._clock = clock
        self._wait = wait
        self._plan = plan
        self.is_stage_reusable = False

    def diagnose(self, progress, index, position, failure, started):
        """Return the `Decision` about a step, and its result or None.

        The position of the stage is polled with exponential backoff,
        since many streams may wait for the same slow stage. The parameters
        are those of `Recovery.recover`.
        """
        stage = progress.stages[index]
        stall_deadline = started + self._step_times.stall_timeout(
            stage.address
        )
        status, result = StageStatus.NOT_ASKED, None
        symptom = failure.symptom
        pause = MIN_POLL_SECONDS
        while True:
            evidence = Evidence(
                symptom=symptom, stall_deadline=stall_deadline, status=status
            )
            now = self._clock.monotonic()
            decision = decide(evidence, now)
            if decision is Decision.WAIT:
                self._wait(min(pause, max(0.0, stall_deadline - now)))
                pause = min(2 * pause, MAX_POLL_SECONDS)
                status = StageStatus.NOT_ASKED
            elif decision is Decision.ASK:
                status, result = self._query_position(
                    progress, index, position
                )
                self.is_stage_reusable = status in _REUSABLE_STATUSES
            elif decision is Decision.SEND:
                try:
                    result = self._resend(progress, index, position)
                    return Decision.TAKE, result
                except StepFailure as resend_failure:
                    symptom = resend_failure.symptom
                    if self._clock.monotonic() >= stall_deadline:
                        return Decision.REPLAY, None
                    status = StageStatus.NOT_ASKED
            else:
                return decision, result

    def wait_for_slow_stage(self, progress, index, position):
        """Wait for a slow stage; return its result, or None on failure.

        A stage that does not answer position queries is waited for, too, but
        no longer than a sound one is silent.
        """
        seconds = (
            SLOW_STAGE_TIMEOUT_FACTOR * self._step_times.max_timeout_seconds
        )
        deadline = self._clock.monotonic() + seconds
        silent_until = self._clock.monotonic() + MAX_SILENCE_SECONDS
        while self._clock.monotonic() < deadline:
            status, result = self._query_position(progress, index, position)
            if status is StageStatus.DONE:
                return result
            is_silent = status is StageStatus.SILENT
            if is_silent and self._clock.monotonic() >= silent_until:
                return None
            if not is_silent and status is not StageStatus.BEFORE:
                return None
            self._wait(MAX_POLL_SECONDS)
        return None

    def _resend(self, progress, index, position):
        """Send a step again that is known not to have been sent."""
        return self._calls.send(
            progress.stages[index],
            self._plan.stream,
            progress.attempt(index),
            position,
            progress.last_input(index),
        )

    def _query_position(self, progress, index, position):
        stage = progress.stages[index]
        seconds = self._step_times.timeout(stage.address)
        deadline = self._clock.monotonic() + seconds
        try:
            answer = self._engine.position(
                stage.address, self._plan.stream, deadline
            )
        except TargetError:
            # A stage first learns of a stream from its step at position 0.
            if position == 0:
                return StageStatus.BEFORE, None
            return StageStatus.UNKNOWN_STREAM, None
        except ApricotseamError:
            return StageStatus.SILENT, None
        attempt = progress.attempt(index)
        return classify_position(answer, attempt, position), answer.last
