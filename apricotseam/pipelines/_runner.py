"""Runs one answer over a chain, token by token."""

import msgspec

from apricotseam.errors import TargetError
from apricotseam.pipelines._chain import Chain
from apricotseam.platform import Step


class Token(msgspec.Struct, frozen=True):
    """One token of an answer at its position."""

    position: int
    text: str
    end: bool


class StreamPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer is computed from."""

    stream: str
    chain: Chain
    prompt: str
    max_tokens: int
    priority: int = 0
    prefix: str = ""


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
    """

    def __init__(self, engine, clock, step_timeout):
        self._engine = engine
        self._clock = clock
        self._step_timeout = step_timeout

    def run(self, plan):
        """Yield the tokens of an answer in order.

        Parameters
        ----------
        plan : StreamPlan
            Chain, prompt and bounds.

        Yields
        ------
        Token

        Raises
        ------
        TargetError
            If a stage failed.
        """
        payload = plan.prompt
        try:
            for position in range(plan.max_tokens):
                result = self._run_position(plan, position, payload)
                payload = result.token
                is_last = result.end or position + 1 == plan.max_tokens
                yield Token(position, result.token, is_last)
                if is_last:
                    return
        finally:
            self._cancel(plan)

    def _run_position(self, plan, position, payload):
        result = None
        for stage in plan.chain.stages:
            result = self._run_stage(plan, stage, position, payload)
            payload = result.payload
        if result.token is None:
            raise TargetError(
                f"stage {stage.target} gave no token",
                "check the layers that the target holds",
            )
        return result

    def _run_stage(self, plan, stage, position, payload):
        step = Step(
            stream=plan.stream,
            attempt=1,
            position=position,
            payload=payload,
            model=plan.chain.model,
            version=plan.chain.version,
            first=stage.first,
            last=stage.last,
            priority=plan.priority,
            prefix=plan.prefix if position == 0 else "",
        )
        deadline = self._clock.monotonic() + self._step_timeout
        (result,) = self._engine.run_steps(stage.address, [step], deadline)
        if result.error is not None:
            raise TargetError(
                f"stage {stage.target} answered {result.error}",
                "read the engine's log",
            )
        return result

    def _cancel(self, plan):
        for stage in plan.chain.stages:
            deadline = self._clock.monotonic() + self._step_timeout
            try:
                self._engine.cancel(stage.address, plan.stream, deadline)
            except Exception:  # noqa: S110 - the stage may be gone
                continue
