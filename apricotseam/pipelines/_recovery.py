"""Brings a stream on after one of its stages failed."""

import logging

from apricotseam.errors import ApricotseamError
from apricotseam.errors import FailedError
from apricotseam.errors import NoTargetError
from apricotseam.pipelines._detection import Detection
from apricotseam.pipelines._metrics import RECOVERIES
from apricotseam.pipelines._metrics import RECOVERY_SECONDS
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._stages import RecoveryTimes
from apricotseam.pipelines._stages import StepFailure

_LOG = logging.getLogger(__name__)

MAX_REPLACEMENTS = 8


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
        self._detection = Detection(engine, calls, times, clock, wait, plan)
        self._plan = plan
        self._chooser = chooser
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
        decision, result = self._detection.detect(
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
            stages = self._choose(progress, old)
            if stages is None and decision is Decision.IMPORT:
                return index, [self._outwait(progress, index, position)]
            if stages is None:
                break
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
        RECOVERIES.labels("none").inc()
        raise _given_up(old, failure.found)

    def _choose(self, progress, old):
        """Return stages that take over, or None if there are none."""
        excluded = frozenset(progress.excluded)
        try:
            return self._chooser.replace(self._plan.chain, old, excluded)
        except NoTargetError:
            if not self._detection.is_reusable:
                return None
        self._detection.is_reusable = False
        self._forget(old)
        return (old,)

    def _outwait(self, progress, index, position):
        result = self._detection.outwait(progress, index, position)
        if result is None:
            RECOVERIES.labels("none").inc()
            raise _given_up(progress.stages[index], "it does not go on")
        RECOVERIES.labels("outwait").inc()
        return result

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


def _given_up(stage, found):
    return FailedError(
        f"stage {stage.target} failed ({found}) and no other target"
        " holds its layers",
        "send the request again with the resume handle",
    )
