"""Recovers a stream after one of its stages failed."""

import logging

from apricotseam.errors import ApricotseamError
from apricotseam.errors import FailedError
from apricotseam.errors import NoTargetError
from apricotseam.pipelines._detection import FailureDiagnosis
from apricotseam.pipelines._metrics import RECOVERIES
from apricotseam.pipelines._metrics import RECOVERY_SECONDS
from apricotseam.pipelines._progress import Decision
from apricotseam.pipelines._progress import Symptom
from apricotseam.pipelines._stages import RecoveryTimes
from apricotseam.pipelines._stages import StepFailure

_LOG = logging.getLogger(__name__)

MAX_REPLACEMENTS = 8


class RestartNeeded(Exception):
    """A stage was replaced whose inputs are no longer recorded."""


class Recovery:
    """Recovers one stream from failures of its stages.

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
    chooser : StageChooser
        Chooses replacements.
    """

    def __init__(self, engine, calls, step_times, clock, wait, plan, chooser):
        self._engine = engine
        self._calls = calls
        self._step_times = step_times
        self._clock = clock
        self._diagnosis = FailureDiagnosis(
            engine, calls, step_times, clock, wait, plan
        )
        self._plan = plan
        self._chooser = chooser
        self.abandoned = []

    def recover(self, progress, index, position, failure, started):
        """Return the missing results after a stage failed at a position.

        Parameters
        ----------
        progress : StreamProgress
            Progress of the stream; updated if the stage is replaced.
        index : int
            Index of the stage in the chain.
        position : int
            Token position whose result is missing.
        failure : StepFailure
            The observed failure.
        started : float
            Monotonic time in seconds at which the step was sent.

        Returns
        -------
        (int, list of StepResult)
            Index of the last stage that took over and its results; the
            last result is that of ``position``.

        Raises
        ------
        FailedError
            If the stage cannot be replaced.
        RestartNeeded
            If the inputs of the stage are no longer recorded.
        """
        decision, result = self._diagnosis.diagnose(
            progress, index, position, failure, started
        )
        if decision is Decision.TAKE:
            RECOVERIES.labels("ask").inc()
            seconds = self._clock.monotonic() - started
            self._step_times.observe(progress.stages[index].address, seconds)
            return index, [result]
        return self.rebuild(
            progress, index, position, decision, failure, started
        )

    def rebuild(self, progress, index, position, decision, failure, started):
        """Rebuild the state of a stage on a replacement.

        ``decision`` is IMPORT to move the KV cache of the failed stage,
        or REPLAY to recompute it. The other parameters, the result and
        the exceptions are those of `recover`.
        """
        part_times = RecoveryTimes(detect=self._clock.monotonic() - started)
        failed_stage = progress.stages[index]
        may_go_on = (
            decision is Decision.IMPORT
            or failure.symptom is Symptom.ANSWER_LOST
        )
        cache = None
        if decision is Decision.IMPORT:
            cache = self._export(failed_stage)
        progress.excluded.add(failed_stage.target)
        for _ in range(MAX_REPLACEMENTS):
            started = self._clock.monotonic()
            stages = self._choose_replacement(progress, failed_stage)
            if stages is None and may_go_on:
                return index, [
                    self._wait_for_slow_stage(
                        progress, index, position, failure
                    )
                ]
            if stages is None:
                break
            part_times.choose += self._clock.monotonic() - started
            started = self._clock.monotonic()
            try:
                results = self._rebuild(
                    progress, index, position, stages, cache
                )
            except StepFailure:
                results = None
            part_times.rebuild += self._clock.monotonic() - started
            if results is not None:
                self.abandoned.append(failed_stage)
                self._record_times(failed_stage, part_times)
                return index + len(stages) - 1, results
        RECOVERIES.labels("none").inc()
        raise _recovery_failed(failed_stage, failure.found)

    def _choose_replacement(self, progress, failed_stage):
        """Return the replacement of a stage, or None if there is none.

        A stage that still answers but lost the stream replaces itself,
        once, if no other target can.
        """
        excluded = frozenset(progress.excluded)
        try:
            return self._chooser.replace(
                self._plan.chain, failed_stage, excluded
            )
        except NoTargetError:
            if not self._diagnosis.is_stage_reusable:
                return None
        self._diagnosis.is_stage_reusable = False
        self._cancel_stream(failed_stage)
        return (failed_stage,)

    def _wait_for_slow_stage(self, progress, index, position, failure):
        result = self._diagnosis.wait_for_slow_stage(progress, index, position)
        if result is None:
            RECOVERIES.labels("none").inc()
            raise _recovery_failed(progress.stages[index], failure.found)
        RECOVERIES.labels("outwait").inc()
        return result

    def _cancel_stream(self, stage):
        """Cancel the stream at a stage, so that it can start there anew."""
        try:
            self._engine.cancel(
                stage.address, self._plan.stream, self._deadline(stage)
            )
        except ApricotseamError:
            return

    def _rebuild(self, progress, index, position, stages, cache):
        replaced = progress.entry(index)
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
            results = self._replay(
                progress, index, replaced.inputs, len(stages)
            )
            RECOVERIES.labels("replay").inc()
            return results
        except StepFailure:
            self.abandoned.extend(stages)
            progress.restore(index, len(stages), replaced)
            raise

    def _import(self, progress, index, position, cache):
        """Return the result after a cache import, or None if it failed."""
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
        for stage_index in range(index, index + count):
            stage = progress.stages[stage_index]
            try:
                results = self._calls.send_all(
                    stage,
                    self._plan.stream,
                    progress.attempt(stage_index),
                    payloads,
                )
            except StepFailure:
                progress.excluded.add(stage.target)
                raise
            payloads = [result.payload for result in results]
            if stage_index + 1 < index + count:
                progress.record(stage_index + 1, payloads)
        return results

    def _export(self, stage):
        try:
            return self._engine.export_cache(
                stage.address, self._plan.stream, self._deadline(stage)
            )
        except ApricotseamError:
            return None

    def _deadline(self, stage):
        seconds = self._step_times.timeout(stage.address)
        return self._clock.monotonic() + seconds

    def _record_times(self, failed_stage, part_times):
        fields = {"target": failed_stage.target, "stream": self._plan.stream}
        for part in part_times.__struct_fields__:
            seconds = getattr(part_times, part)
            RECOVERY_SECONDS.labels(part).observe(seconds)
            fields[part] = round(seconds, 4)
        _LOG.info("stage_recovered", extra=fields)


def _recovery_failed(stage, found):
    return FailedError(
        f"stage {stage.target} failed ({found}) and no other target"
        " holds its layers",
        "send the request again with the resume handle",
    )
