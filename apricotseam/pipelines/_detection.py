"""Finds out what became of a step that did not succeed."""

from apricotseam.errors import ApricotseamError
from apricotseam.errors import TargetError
from apricotseam.pipelines._progress import decide
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import Evidence
from apricotseam.pipelines._progress import read_word
from apricotseam.pipelines._progress import Word
from apricotseam.pipelines._stages import StepFailure

FIRST_POLL_SECONDS = 0.02
LAST_POLL_SECONDS = 0.16
OUTWAIT_BOUNDS = 8
_REUSABLE = (Word.UNKNOWN_STREAM, Word.ELSEWHERE)


class Detection:
    """Asks stages of one stream for their position.

    Parameters
    ----------
    engine : ModelEngine
        Calls to the stages.
    calls : StageCalls
        Sends the stream's steps.
    times : StepTimes
        Observed step times.
    clock : Clock
        Source of deadlines.
    wait : callable
        Waits for a number of seconds.
    plan : StreamPlan
        The stream.
    """

    def __init__(self, engine, calls, times, clock, wait, plan):
        self._engine = engine
        self._calls = calls
        self._times = times
        self._clock = clock
        self._wait = wait
        self._plan = plan
        self.is_reusable = False

    def detect(self, progress, index, position, failure, started):
        """Return the `Decision` about a step and its result or None.

        The stage is asked less and less often, since many streams may
        wait for the same slow stage.
        """
        stage = progress.stages[index]
        stall_deadline = started + self._times.stall(stage.address)
        word, result = Word.NOT_ASKED, None
        symptom = failure.symptom
        pause = FIRST_POLL_SECONDS
        while True:
            evidence = Evidence(
                symptom=symptom, stall_deadline=stall_deadline, word=word
            )
            now = self._clock.monotonic()
            decision = decide(evidence, now)
            if decision is Decision.WAIT:
                self._wait(min(pause, max(0.0, stall_deadline - now)))
                pause = min(2 * pause, LAST_POLL_SECONDS)
                word = Word.NOT_ASKED
            elif decision is Decision.ASK:
                word, result = self._ask(progress, index, position)
                self.is_reusable = word in _REUSABLE
            elif decision is Decision.SEND:
                try:
                    result = self._send_again(progress, index, position)
                    return Decision.TAKE, result
                except StepFailure as again:
                    symptom = again.symptom
                    if self._clock.monotonic() >= stall_deadline:
                        return Decision.REPLAY, None
                    word = Word.NOT_ASKED
            else:
                return decision, result

    def outwait(self, progress, index, position):
        """Wait for a slow stage; return its result, or None if it failed."""
        seconds = OUTWAIT_BOUNDS * self._times.bound_seconds
        deadline = self._clock.monotonic() + seconds
        while self._clock.monotonic() < deadline:
            word, result = self._ask(progress, index, position)
            if word is Word.DONE:
                return result
            if word is not Word.BEFORE:
                return None
            self._wait(LAST_POLL_SECONDS)
        return None

    def _send_again(self, progress, index, position):
        """Send a step that provably was not sent before."""
        return self._calls.send(
            progress.stages[index],
            self._plan.stream,
            progress.attempt(index),
            position,
            progress.last_input(index),
        )

    def _ask(self, progress, index, position):
        stage = progress.stages[index]
        seconds = self._times.timeout(stage.address)
        deadline = self._clock.monotonic() + seconds
        try:
            answer = self._engine.position(
                stage.address, self._plan.stream, deadline
            )
        except TargetError:
            if position == 0:
                return Word.BEFORE, None
            return Word.UNKNOWN_STREAM, None
        except ApricotseamError:
            return Word.SILENT, None
        attempt = progress.attempt(index)
        return read_word(answer, attempt, position), answer.last
