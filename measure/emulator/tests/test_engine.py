"""Times and memory of an emulated engine against the profile."""

import pytest

from apricotseam.errors import InvalidInputError
from apricotseam.fleet import LayerRange
from measure.emulator._memory import TokenMemory
from measure.emulator._passes import PassRunner
from measure.emulator._profile import TIGHT
from measure.emulator import compare_policies
from measure.emulator import Scenario

LAYERS = LayerRange(0, TIGHT.profile.layers)


class Timers:
    """Event loop that records the delays of timers."""

    def __init__(self):
        self.delays = []

    def call_later(self, seconds, action, *arguments):
        """Record a timer."""
        self.delays.append(seconds)


class Shared:
    """Profile and clock of an engine."""

    profile = TIGHT.profile

    def __init__(self):
        self.loop = Timers()


class Stream:
    """Stream with a number of tokens in memory."""

    def __init__(self, number=0, context=0):
        self.number = number
        self.context = context
        self.head = self
        self.requeued = []

    def requeue(self, stream):
        """Record that a stream has lost its memory."""
        self.requeued.append(stream)
        self.memory.give_back(stream)


class Work:
    """Job of a stream that holds all layers."""

    is_void = False
    done = 0
    layers = LAYERS

    def __init__(self, is_read, tokens, context=0):
        self.is_read = is_read
        self.tokens = tokens
        self.stream = Stream(context=context)


# Kind, whether a prompt is read, its tokens or those in memory, and the
# milliseconds: six steps of 1.02 + 0.01428 + 0.01912 ms each for 1,000 tokens
# in memory, or 640 tokens at 128 a ms and 0.2048 million pairs at 0.309 ms.
PASSES = [
    ("steps", "large", False, 1000, 2.4 * 6 * 1.0534),
    ("steps, slow", "small", False, 1000, 16.0 * 6 * 1.0534),
    ("prompt", "large", True, 640, 3.2 * (5.0 + 0.2048 * 0.309)),
]


@pytest.mark.parametrize(
    ("kind", "is_read", "tokens", "milliseconds"),
    [case[1:] for case in PASSES],
    ids=[case[0] for case in PASSES],
)
def test_duration_of_a_pass(kind, is_read, tokens, milliseconds):
    shared = Shared()
    runner = PassRunner(shared, TIGHT.profile.kind(kind))
    runner.submit(Work(is_read, tokens, context=tokens))
    assert shared.loop.delays == [pytest.approx(milliseconds / 1000.0)]


def test_full_memory_preempts_the_newest_stream():
    memory = TokenMemory(lambda: 100.0)
    streams = [Stream(number) for number in range(3)]
    for stream in streams:
        stream.memory = memory
        memory.take(stream, 40.0)
    memory.preempt_if_full()
    assert [len(stream.requeued) for stream in streams] == [0, 0, 1]
    assert memory.used == 80.0


@pytest.mark.parametrize(
    ("pattern", "deployment"), [("unknown", "tight"), ("calm", "unknown")]
)
def test_unknown_names_are_refused(pattern, deployment):
    with pytest.raises(InvalidInputError):
        list(compare_policies(pattern, [Scenario(deployment=deployment)]))
