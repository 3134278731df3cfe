"""Stateful test of recovery against an in-memory engine."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
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
TOKENS = 10
RANGES = {
    "a1": (0, 1),
    "a2": (0, 1),
    "a3": (0, 0),
    "a4": (1, 1),
    "b1": (2, 3),
    "b2": (2, 3),
    "c1": (4, 5),
    "c2": (4, 5),
    "c3": (4, 4),
    "c4": (5, 5),
}
NAMES = sorted(RANGES)
FAULTS = ["", "refuse", "lose", "lose_before", "wrong", "late", "die"]


class RecoveryMachine(stateful.RuleBasedStateMachine):
    """Two concurrent answers while targets fail, die and restart."""

    @stateful.initialize(max_recorded_bytes=st.sampled_from([0, 64, 1 << 20]))
    def begin(self, max_recorded_bytes):
        self.engine = LayerEngine(RANGES, LAYERS)
        clock = ManualClock()
        runner = ChainRunner(
            self.engine,
            clock,
            0.5,
            wait=clock.advance,
            max_recorded_bytes=max_recorded_bytes,
        )
        stages = tuple(self.engine.stage(n) for n in ("a1", "b1", "c1"))
        self.received = {}
        self.tokens = {}
        for stream in ("s", "t"):
            plan = StreamPlan(
                stream=stream,
                chain=Chain("m", "v1", stages),
                prompt=stream,
                max_tokens=TOKENS,
                layers=LAYERS,
            )
            self.received[stream] = []
            self.tokens[stream] = runner.run(plan, RangeChooser(self.engine))

    @stateful.rule(name=st.sampled_from(NAMES), fault=st.sampled_from(FAULTS))
    def fail(self, name, fault):
        self.engine.faults[name].append(fault)

    @stateful.rule(name=st.sampled_from(NAMES))
    def die(self, name):
        self.engine.dead.add(name)

    @stateful.rule(name=st.sampled_from(NAMES))
    def restart_without_state(self, name):
        self.engine.dead.discard(name)
        # The runner's own thread may cancel streams meanwhile.
        for key in list(self.engine.streams):
            if key[0] == name:
                self.engine.streams.pop(key, None)

    @stateful.rule(stream=st.sampled_from(["s", "t"]), count=st.integers(1, 4))
    def read(self, stream, count):
        for _ in range(count):
            try:
                token = next(self.tokens[stream], None)
            except FailedError as error:
                assert error.remedy
                self.tokens[stream] = iter(())
                return
            if token is not None:
                self.received[stream].append(token)

    @stateful.invariant()
    def tokens_match_the_expected_answer(self):
        for stream, tokens in self.received.items():
            count = len(tokens)
            expected = expected_tokens(LAYERS, stream, TOKENS)
            assert [t.text for t in tokens] == expected[:count]
            assert [t.position for t in tokens] == list(range(count))

    @stateful.invariant()
    def a_stage_sees_positions_once_in_order(self):
        for positions in self.engine.executed.values():
            first = positions[0]
            assert positions == list(range(first, first + len(positions)))

    def teardown(self):
        for tokens in getattr(self, "tokens", {}).values():
            if hasattr(tokens, "close"):
                tokens.close()


# Targets that are dead from the start, and the fault of "a1" in the first
# step. "a2" holds both layers of "a1", "a3" and "a4" one each.
PARTIAL_REPLACEMENTS = [
    ("second-half-dead", ["a2", "a4"], "lose_before"),
    ("first-half-dead", ["a2", "a3"], "lose_before"),
    ("second-half-dead-and-wrong", ["a2", "a4"], "wrong"),
    ("second-half-dead-and-late", ["a2", "a4"], "late"),
]


@pytest.mark.parametrize(
    ("dead", "fault"),
    [case[1:] for case in PARTIAL_REPLACEMENTS],
    ids=[case[0] for case in PARTIAL_REPLACEMENTS],
)
@pytest.mark.parametrize("max_recorded_bytes", [0, 1 << 20])
def test_a_replacement_that_failed_leaves_the_stage_whole(
    dead, fault, max_recorded_bytes
):
    machine = RecoveryMachine()
    machine.begin(max_recorded_bytes)
    for name in dead:
        machine.die(name)
    machine.fail("a1", fault)
    machine.read("s", TOKENS)
    machine.tokens_match_the_expected_answer()
    machine.a_stage_sees_positions_once_in_order()
    machine.teardown()


TestRecovery = RecoveryMachine.TestCase
TestRecovery.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=25
)
