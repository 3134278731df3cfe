"""Further attempts and what the caller is told at the end."""

import random

import pytest

from apricotseam.callers._attempts import Attempts
from apricotseam.clock import ManualClock
from apricotseam.errors import AnswerLostError
from apricotseam.errors import NoTargetError
from apricotseam.errors import Outcome
from apricotseam.routing import Demand
from apricotseam.routing import RetryPolicy
from apricotseam.web import UnreachableError

UNREACHABLE = UnreachableError("no connection", "try another")
LOST = AnswerLostError("no answer", "read back")
DEMAND = Demand(scope="s", group="g", customer="c")


def run(results, is_idempotent, targets=3):
    """Run attempts with stated results over a number of targets."""
    clock = ManualClock()
    attempts = Attempts(
        RetryPolicy(clock, random.Random(4)), clock, clock.advance
    )
    used = []

    def attempt(demand, tried):
        left = [
            name
            for name in map(str, range(targets))
            if name not in demand.excluded
        ]
        if not left:
            raise NoTargetError("none", "wait")
        tried.append(left[0])
        used.append(left[0])
        result = results[len(used) - 1]
        if isinstance(result, Exception):
            raise result
        return result

    try:
        return attempts.run(DEMAND, 5.0, is_idempotent, attempt), used
    except (UnreachableError, AnswerLostError, NoTargetError) as error:
        return error.outcome, used


@pytest.mark.parametrize(
    "results, is_idempotent, targets, outcome, calls",
    [
        (["ok"], False, 3, "ok", 1),
        ([UNREACHABLE, "ok"], False, 3, "ok", 2),
        ([LOST], False, 3, Outcome.OUTCOME_UNKNOWN, 1),
        ([UNREACHABLE, LOST], False, 3, Outcome.OUTCOME_UNKNOWN, 2),
        ([LOST, "ok"], True, 3, "ok", 2),
        ([UNREACHABLE] * 3, True, 3, Outcome.NOT_RUN, 3),
        ([LOST, UNREACHABLE, UNREACHABLE], True, 3, None, 3),
        ([LOST], True, 1, None, 1),
        ([UNREACHABLE], True, 1, Outcome.NOT_RUN, 1),
    ],
)
def test_result_of_attempts(results, is_idempotent, targets, outcome, calls):
    wanted = outcome or Outcome.OUTCOME_UNKNOWN
    got, used = run(results, is_idempotent, targets)
    assert got == wanted
    assert len(used) == len(set(used)) == calls
