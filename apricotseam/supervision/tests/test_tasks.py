"""Tests of the restarts of asyncio tasks."""

import asyncio

import pytest

from apricotseam.supervision import TaskSupervisor
from apricotseam.supervision.tests.virtual_time import VirtualTimeLoop

PLAY_SECONDS = 600.0
# An end of the first failures, of which the process would never hear.
NEVER = 10_000


class FailingChild:
    """Child that fails a number of times, after it has run for a while."""

    def __init__(self, failures, seconds=0.0):
        self._failures = failures
        self._seconds = seconds
        self.starts = []

    async def run(self):
        """Note the start; fail, or wait forever."""
        loop = asyncio.get_running_loop()
        self.starts.append(loop.time())
        if len(self.starts) > self._failures:
            await asyncio.sleep(2 * PLAY_SECONDS)
        await asyncio.sleep(self._seconds)
        raise ValueError("simulated failure")


def play(child, seconds=PLAY_SECONDS):
    """Run a child; return the supervisor's word on it and the failures."""
    failed = []

    async def supervise():
        supervisor = TaskSupervisor(failed.append)
        sound = FailingChild(0)
        supervisor.start("sound", sound.run)
        supervisor.start("child", child.run)
        await asyncio.sleep(seconds)
        is_failing = supervisor.is_failing("child")
        assert not supervisor.is_failing("sound")
        await supervisor.stop()
        return is_failing

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(supervise()), failed


# Failures, seconds that the child runs before each, number of its starts, and
# whether it counts as failing at the end.
CASES = [
    ("sound", 0, 0.0, 1, False),
    ("fails a few times", 5, 0.0, 6, False),
    ("recovers late", 9, 0.0, 10, False),
    ("fails rarely", NEVER, 30.0, 20, False),
    ("never recovers", NEVER, 0.0, 128, True),
]


@pytest.mark.parametrize(
    ("failures", "seconds", "starts", "is_failing"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_restarts(failures, seconds, starts, is_failing):
    """Guards against processes that end again and again on one input."""
    child = FailingChild(failures, seconds)
    found, failed = play(child)
    assert len(child.starts) == starts
    assert found is is_failing
    assert set(failed) <= {"child"}
    assert 0 <= starts - len(failed) <= 1


def test_time_between_restarts_grows_to_a_limit():
    child = FailingChild(NEVER)
    play(child, 60.0)
    starts = child.starts
    gaps = [round(b - a, 3) for a, b in zip(starts, starts[1:])]
    assert gaps[:10] == [0.2] * 5 + [0.4, 0.8, 1.6, 3.2, 5.0]
    assert set(gaps[10:]) == {5.0}


def test_child_is_not_failing_any_more_after_a_while():
    child = FailingChild(8)
    found, _ = play(child, 30.0)
    assert found
    child = FailingChild(8)
    found, _ = play(child, 90.0)
    assert not found
