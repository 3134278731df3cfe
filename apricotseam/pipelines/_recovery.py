"""Brings a stream on after one of its stages failed."""

import abc
import logging

from apricotseam.errors import ApricotseamError
from apricotseam.errors import FailedError
from apricotseam.errors import NoTargetError
from apricotseam.errors import TargetError
from apricotseam.pipelines._metrics import RECOVERIES
from apricotseam.pipelines._metrics import RECOVERY_SECONDS
from apricotseam.pipelines._progress import decide
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import Evidence
from apricotseam.pipelines._progress import read_word
from apricotseam.pipelines._progress import Word
from apricotseam.pipelines._stages import RecoveryTimes
from apricotseam.pipelines._stages import StepFailure

_LOG = logging.getLogger(__name__)

MAX_REPLACEMENTS = 8
POLL_SECONDS = 0.02
OUTWAIT_BOUNDS = 8
OUTWAIT_POLL_SECONDS = 0.1
_REUSABLE = (Word.UNKNOWN_STREAM, Word.ELSEWHERE)


class StageChooser(abc.ABC):
    """Chooses what takes the place of a stage that failed."""

    @abc.abstractmethod
    def replace(self, chain, stage, excluded):
        """Return stages of the chain's version that cover the layers.

        Parameters
        ----------
        chain : Chain
            Chain with model and version.
        stage : Stage
            The stage that is given up.
        excluded : frozenset of str
            Names of targets that must not be used.

        Returns
        -------
        tuple of Stage

        Raises
        ------
        NoTargetError
            If no targets cover just these layers.
        """


class NoReplacement(StageChooser):
    """Never finds a replacement."""

    def replace(self, chain, stage, excluded):
        """Raise `NoTargetError`."""
        raise NoTargetError(
            f"nothing replaces stage {stage.target}", "send the request again"
        )


class RestartNeeded(Exception):
    """A stage was replaced and its inputs are not recorded any more."""


class Recovery:
    """Recovers one stream.

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
    chooser : StageChooser
        Chooses replacements.
    """

    def __init__(self, engine, calls, times, clock, wait, plan, chooser):
        self._engine = engine
        self._calls = calls
        self._times = times
        self._clock = clock
        self._wait = wait
        self._plan = plan
        self._chooser = chooser
        self._is_reusable = False
        self.abandoned = []

    def settle(self, progress, index, position, failure, started):
        """Return what is missing after a stage failed at a position.

        Parameters
        ----------
        progress : StreamProgress
            Is changed if the stage is replaced.
        index : int
            Place of the stage.
        position : int
            Position whose result is missing.
        failure : StepFailure
            What was seen.
        started : float
            Monotonic time at which the step was sent.

        Returns
        -------
        int, list of StepResult
            Place of the last stage that took over and its results; the
            last one is of the position.

        Raises
        ------
        FailedError
            If nothing can take over.
        RestartNeeded
            If the inputs of the stage are not recorded any more.
        """
        decision, result = self._detect(
            progress, index, position, failure, started
        )
        if decision is Decision.TAKE:
            RECOVERIES.labels("ask").inc()
            seconds = self._clock.monotonic() - started
            self._times.observe(progress.stages[index].address, seconds)
            return index, [result]
        return self.rebuild(
            progress, index, position, decision, failure, started
        )

    def rebuild(self, progress, index, position, decision, failure, started):
        """Rebuild a stage on a replacement; as `settle` otherwise."""
        spent = RecoveryTimes(detect=self._clock.monotonic() - started)
        old = progress.stages[index]
        cache = None
        if decision is Decision.IMPORT:
            cache = self._export(old)
        progress.excluded.add(old.target)
        for _ in range(MAX_REPLACEMENTS):
            started = self._clock.monotonic()
            try:
                stages = self._choose(progress, old, failure)
            except FailedError:
                if decision is not Decision.IMPORT:
                    raise
                result = self._outwait(progress, index, position, failure)
                return index, [result]
            spent.choose += self._clock.monotonic() - started
            started = self._clock.monotonic()
            try:
                results = self._rebuild(
                    progress, index, position, stages, cache
                )
            except StepFailure:
                results = None
            spent.rebuild += self._clock.monotonic() - started
            if results is not None:
                self.abandoned.append(old)
                self._observe(old, spent)
                return index + len(stages) - 1, results
        raise _given_up(old, failure)

    def _detect(self, progress, index, position, failure, started):
        stage = progress.stages[index]
        stall_deadline = started + self._times.stall(stage.address)
        word = Word.NOT_ASKED
        result = None
        symptom = failure.symptom
        while True:
            evidence = Evidence(
                symptom=symptom, stall_deadline=stall_deadline, word=word
            )
            decision = decide(evidence, self._clock.monotonic())
            if decision is Decision.WAIT:
                self._wait(POLL_SECONDS)
                word = Word.NOT_ASKED
            elif decision is Decision.ASK:
                word, result = self._ask(progress, index, position)
                self._is_reusable = word in _REUSABLE
            elif decision is Decision.SEND:
                try:
                    return Decision.TAKE, self._send_again(
                        progress, index, position
                    )
                except StepFailure as again:
                    symptom = again.symptom
                    if self._clock.monotonic() >= stall_deadline:
                        return Decision.REPLAY, None
                    word = Word.NOT_ASKED
            else:
                return decision, result

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
        try:
            answer = self._engine.position(
                stage.address, self._plan.stream, self._deadline(stage)
            )
        except TargetError:
            if position == 0:
                return Word.BEFORE, None
            return Word.UNKNOWN_STREAM, None
        except ApricotseamError:
            return Word.SILENT, None
        attempt = progress.attempt(index)
        return read_word(answer, attempt, position), answer.last

    def _choose(self, progress, old, failure):
        excluded = frozenset(progress.excluded)
        try:
            return self._chooser.replace(self._plan.chain, old, excluded)
        except NoTargetError:
            if not self._is_reusable:
                RECOVERIES.labels("none").inc()
                raise _given_up(old, failure) from None
        self._is_reusable = False
        self._forget(old)
        return (old,)

    def _outwait(self, progress, index, position, failure):
        """Wait for a stage that is slow when nothing can replace it."""
        stage = progress.stages[index]
        seconds = OUTWAIT_BOUNDS * self._times.bound_seconds
        deadline = self._clock.monotonic() + seconds
        while self._clock.monotonic() < deadline:
            word, result = self._ask(progress, index, position)
            if word is Word.DONE:
                RECOVERIES.labels("outwait").inc()
                return result
            if word is not Word.BEFORE:
                break
            self._wait(OUTWAIT_POLL_SECONDS)
        raise _given_up(stage, failure)

    def _forget(self, stage):
        """Have a stage that lost its place drop the stream."""
        try:
            self._engine.cancel(
                stage.address, self._plan.stream, self._deadline(stage)
            )
        except ApricotseamError:
            return

    def _rebuild(self, progress, index, position, stages, cache):
        kept = list(progress.inputs(index))
        progress.replace(index, stages)
        try:
            if cache is not None and len(stages) == 1:
                result = self._import(progress, index, position, cache)
                if result is not None:
                    RECOVERIES.labels("import").inc()
                    return [result]
            if progress.lacks_inputs(index, position + 1):
                RECOVERIES.labels("restart").inc()
                raise RestartNeeded
            results = self._replay(progress, index, kept, len(stages))
            RECOVERIES.labels("replay").inc()
            return results
        except StepFailure:
            self.abandoned.extend(stages)
            progress.merge(index, len(stages), kept)
            raise

    def _import(self, progress, index, position, cache):
        """Return the result after an import, or None if it failed."""
        stage = progress.stages[index]
        attempt = progress.attempt(index)
        stream = self._plan.stream
        try:
            self._engine.import_cache(
                stage.address, stream, attempt, cache, self._deadline(stage)
            )
            answer = self._engine.position(
                stage.address, stream, self._deadline(stage)
            )
        except ApricotseamError:
            return None
        if answer.next_position == position + 1 and answer.last is not None:
            return answer.last
        if answer.next_position != position:
            return None
        payload = progress.last_input(index)
        try:
            return self._calls.send(stage, stream, attempt, position, payload)
        except StepFailure:
            progress.excluded.add(stage.target)
            raise

    def _replay(self, progress, index, payloads, count):
        results = None
        for place in range(index, index + count):
            stage = progress.stages[place]
            try:
                results = self._calls.send_all(
                    stage,
                    self._plan.stream,
                    progress.attempt(place),
                    payloads,
                )
            except StepFailure:
                progress.excluded.add(stage.target)
                raise
            payloads = [result.payload for result in results]
            if place + 1 < index + count:
                progress.record(place + 1, payloads)
        return results

    def _export(self, stage):
        try:
            return self._engine.export_cache(
                stage.address, self._plan.stream, self._deadline(stage)
            )
        except ApricotseamError:
            return None

    def _deadline(self, stage):
        seconds = self._times.timeout(stage.address)
        return self._clock.monotonic() + seconds

    def _observe(self, old, spent):
        fields = {"target": old.target, "stream": self._plan.stream}
        for part in spent.__struct_fields__:
            seconds = getattr(spent, part)
            RECOVERY_SECONDS.labels(part).observe(seconds)
            fields[part] = round(seconds, 4)
        _LOG.info("stage_recovered", extra=fields)


def _given_up(stage, failure):
    return FailedError(
        f"stage {stage.target} failed ({failure.found}) and no other target"
        " holds its layers",
        "send the request again with the resume handle",
    )
