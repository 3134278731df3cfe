"""Tests of answers over chains with failing stages."""

import msgspec
import pytest

from apricotseam.clock import ManualClock
from apricotseam.errors import FailedError
from apricotseam.pipelines import Chain
from apricotseam.pipelines import ChainRunner
from apricotseam.pipelines import StreamPlan
from apricotseam.pipelines.tests._layers import expected_tokens
from apricotseam.pipelines.tests._layers import LayerEngine
from apricotseam.pipelines.tests._layers import RangeChooser

LAYERS = 6
TOKENS = 8
RANGES = {
    "a": (0, 2),
    "b": (3, 5),
    "a2": (0, 2),
    "b2": (3, 5),
    "b3": (3, 4),
    "b4": (5, 5),
}


class System:
    """An engine, and a runner over the chain of targets a and b."""

    def __init__(
        self,
        max_recorded_bytes=1 << 20,
        max_total_recorded_bytes=1 << 20,
        **changes,
    ):
        self.engine = LayerEngine(RANGES, LAYERS)
        self.clock = ManualClock()
        self.runner = ChainRunner(
            self.engine,
            self.clock,
            0.5,
            wait=self.clock.advance,
            max_recorded_bytes=max_recorded_bytes,
            max_total_recorded_bytes=max_total_recorded_bytes,
        )
        stages = (self.engine.stage("a"), self.engine.stage("b"))
        self.plan = StreamPlan(
            stream="s",
            chain=Chain("m", "v1", stages),
            prompt="hello",
            max_tokens=TOKENS,
            layers=LAYERS,
            **changes,
        )

    def run(self):
        return list(self.runner.run(self.plan, RangeChooser(self.engine)))


def check_tokens(system, tokens):
    """Check the tokens, and that each stage ran positions in order."""
    first = system.plan.first_position
    assert [t.text for t in tokens] == expected_tokens(
        LAYERS, "hello", TOKENS
    )[first:]
    assert [t.position for t in tokens] == list(range(first, TOKENS))
    assert [t.end for t in tokens] == [False] * (TOKENS - first - 1) + [True]
    for positions in system.engine.executed.values():
        start = positions[0]
        assert positions == list(range(start, start + len(positions)))


@pytest.mark.parametrize(
    "faults",
    [
        # No faults.
        {},
        # The first connection is refused.
        {"a": ["refuse"]},
        # Refused in mid-answer, and the answer to the retry is lost.
        {"a": ["", "", "refuse", "lose"]},
        # The first answer is lost after the step was run.
        {"b": ["lose"]},
        # An answer is lost and the step was not run.
        {"b": ["", "", "", "lose_before"]},
        # The first stage dies at once, and in mid-answer.
        {"a": ["die"]},
        {"a": ["", "", "die"]},
        # The second stage dies at once, and in mid-answer.
        {"b": ["die"]},
        {"b": ["", "", "", "die"]},
        # A stage returns an error.
        {"a": ["", "wrong"]},
        {"b": ["", "", "wrong"]},
        # Both stages return the result of another step.
        {"a": ["", "late"], "b": ["", "late"]},
        # Both stages die.
        {"a": ["", "die"], "b": ["", "die"]},
        # The replacement dies, during the rebuild and after it.
        {"b": ["", "die"], "b2": ["die"]},
        {"b": ["", "die"], "b2": ["", "", "die"]},
    ],
)
@pytest.mark.parametrize("max_recorded_bytes", [1 << 20, 20, 0])
def test_answer_is_whole_whatever_fails(faults, max_recorded_bytes):
    system = System(max_recorded_bytes)
    for address, kinds in faults.items():
        system.engine.faults[address].extend(kinds)
    check_tokens(system, system.run())


def test_recorded_inputs_of_all_streams_are_bounded():
    system = System(max_total_recorded_bytes=100)
    tokens = [
        system.runner.run(
            msgspec.structs.replace(system.plan, stream=f"s{number}"),
            RangeChooser(system.engine),
        )
        for number in range(8)
    ]
    for _ in range(TOKENS // 2):
        for stream in tokens:
            next(stream)
        assert system.runner.budget.used_bytes <= 100
    assert system.runner.budget.used_bytes > 0
    system.engine.dead.add("b")
    expected = expected_tokens(LAYERS, "hello", TOKENS)[TOKENS // 2 :]
    assert [[t.text for t in stream] for stream in tokens] == [expected] * 8
    assert system.runner.budget.used_bytes == 0


def test_every_replacement_fails_too():
    system = System()
    faults = {"b": ["", "die"], "b2": ["die"], "b3": ["lose"]}
    for address, kinds in faults.items():
        system.engine.faults[address].extend(kinds)
    with pytest.raises(FailedError, match="resume handle"):
        system.run()


def test_stage_that_restarted_is_rebuilt_in_place():
    system = System()
    tokens = system.runner.run(system.plan, RangeChooser(system.engine))
    received = [next(tokens) for _ in range(3)]
    for name in ("a2", "b2", "b3"):
        del system.engine.ranges[name]
    system.engine.streams.clear()
    received += list(tokens)
    assert [t.text for t in received] == expected_tokens(
        LAYERS, "hello", TOKENS
    )


def test_no_replacement_fails_with_remedy():
    system = System()
    for name in ("b2", "b3"):
        del system.engine.ranges[name]
    system.engine.faults["b"].extend(["", "", "die"])
    tokens = system.runner.run(system.plan, RangeChooser(system.engine))
    received = [next(tokens).text, next(tokens).text]
    with pytest.raises(FailedError, match="resume handle"):
        next(tokens)
    assert received == expected_tokens(LAYERS, "hello", 2)


@pytest.mark.parametrize("fault", ["slow", "silent"])
def test_stage_is_waited_for_when_nothing_replaces_it(fault):
    system = System()
    for name in ("b2", "b3"):
        del system.engine.ranges[name]
    system.engine.faults["b"].extend(["", "", fault])
    check_tokens(system, system.run())


def test_other_stages_are_not_run_again_for_a_replacement():
    system = System()
    system.engine.faults["b"].extend(["", "", "", "die"])
    system.run()
    assert system.engine.executed[("a", "s", 1)] == list(range(TOKENS))
    assert system.engine.executed[("b2", "s", 2)] == list(range(TOKENS))


def test_cache_of_a_stalled_stage_is_imported():
    system = System()
    system.engine.faults["b"].extend(["", "", "lose_before"])
    check_tokens(system, system.run())
    assert system.engine.executed[("b2", "s", 2)] == list(range(2, TOKENS))


@pytest.mark.parametrize("first", [0, 3, TOKENS - 1])
def test_resumed_answer_goes_on_after_delivered_tokens(first):
    expected = expected_tokens(LAYERS, "hello", TOKENS)
    system = System(delivered=tuple(expected[:first]), first_position=first)
    system.engine.faults["a"].append("die")
    check_tokens(system, system.run())


def test_answer_is_run_again_when_no_tokens_are_sent_back():
    system = System(first_position=4)
    check_tokens(system, system.run())
