"""Which requests are tried although their traits are held back."""

import asyncio
import types

import pytest

from apricotseam.forwarding._quarantine_gate import QuarantineGate
from apricotseam.quarantine import Hold


class FakeTrials:
    """Grants trials of some traits, and notes for which it was asked."""

    def __init__(self, granted):
        self._granted = granted
        self.asked = []

    async def acquire_trial(self, trait):
        """Return whether the trial of a trait is granted."""
        self.asked.append(trait)
        return trait in self._granted


class FakeQuarantine:
    """Holds back some traits, with the times of their trials."""

    def __init__(self, trial_at):
        self.trial_at = trial_at

    def find_holds(self, traits, customer):
        """Return the holds of a request."""
        held = [t for t in traits if t in self.trial_at]
        return [Hold(t, self.trial_at[t]) for t in held]

    def record_held(self, trait):
        """Record nothing."""


# Description, time of the next trial by trait, traits whose trial is granted,
# whether the request is sent.
CASES = [
    ("nothing is held back", {}, "", True),
    ("one trial is due and granted", {"a": 0.0}, "a", True),
    ("one trial is not granted", {"a": 0.0}, "", False),
    ("both are granted", {"a": 0.0, "b": 0.0}, "ab", True),
    ("only the second is granted", {"a": 0.0, "b": 0.0}, "b", False),
    ("only the first is granted", {"a": 0.0, "b": 0.0}, "a", False),
    ("one is not due", {"a": 0.0, "b": float("inf")}, "ab", False),
    ("no trial is made of one", {"a": 0.0, "b": None}, "ab", False),
]


# Guards against the trial of one part that lets a request with another part
# pass, under which targets are known to end.
@pytest.mark.parametrize(
    ("trial_at", "granted", "is_sent"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_request_is_tried_if_the_trials_of_all_its_traits_are_granted(
    trial_at, granted, is_sent
):
    quarantine = FakeQuarantine(trial_at)
    gate = QuarantineGate(quarantine)
    gate.trials = FakeTrials(granted)
    call = types.SimpleNamespace(
        traits=("a", "b"),
        customer="c",
        request_id="r",
        runs=0,
        trial_traits=frozenset(),
    )
    refusal = asyncio.run(gate.admit(call))
    assert (refusal is None) is is_sent
    assert gate.stops(call) is not is_sent
    if is_sent:
        quarantine.trial_at["b"] = 0.0
        assert gate.stops(call) is ("b" not in call.trial_traits)
