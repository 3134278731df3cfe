"""Which broken answers count as the end of a target's process."""

import asyncio
import types

import prometheus_client
import pytest

from apricotseam.fleet import Target
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding import _target_ends
from apricotseam.forwarding._target_ends import AttemptTimes
from apricotseam.forwarding._target_ends import TargetEndDetector
from apricotseam.forwarding import RequestMetrics
from apricotseam.quarantine import Quarantine
from apricotseam.quarantine import TargetEnd

CALL = types.SimpleNamespace(
    request_id="r1",
    retry_key="c/p1/1,1",
    customer="c",
    digest="d",
    traits=("part/a", "part/b"),
)


# Description, whether connections are refused at the break, whether the
# entry is removed, whether it was draining then, expected ends.
CASES = [
    ("nothing listens there", True, False, False, 1),
    ("the connection was reset", False, False, False, 0),
    ("the entry disappears", False, True, False, 1),
    ("both", True, True, False, 1),
    ("a target that drained leaves", False, True, True, 0),
]


@pytest.mark.parametrize(
    ("is_refused", "is_removed", "is_draining", "expected"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_ends_of_processes(is_refused, is_removed, is_draining, expected):
    registry = prometheus_client.CollectorRegistry()
    quarantine = Quarantine(lambda: 0.0)
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    target = Target(
        TargetRecord(
            identity="t",
            service="s",
            address="t:1",
            zone="a",
            is_draining=is_draining,
        )
    )

    async def scenario():
        target.health.record_contact_failure(0.0, True, is_refused)
        for _ in range(2):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        if is_removed:
            detector.record_removal(target)

    asyncio.run(scenario())
    ends = registry.get_sample_value("apricotseam_target_ends_total")
    assert ends == expected
    traits = [trait for trait, evidence in quarantine.items()]
    assert traits == (list(CALL.traits) if expected else [])


# Description, connections that were reset before the answer and after it,
# whether the answer shows that the request does no harm.
SUCCESSES = [
    ("nothing broke off", 0, 0, True),
    ("a connection was reset long before", 1, 0, True),
    ("one is reset just after it", 0, 1, False),
]


# Guards against a reset connection after which no answer of a target counts.
@pytest.mark.parametrize(
    ("before", "after", "is_sound"),
    [case[1:] for case in SUCCESSES],
    ids=[case[0] for case in SUCCESSES],
)
def test_complete_answers_of_targets_that_live_on(
    monkeypatch, before, after, is_sound
):
    monkeypatch.setattr(_target_ends, "SOUND_SECONDS", 0.02)
    quarantine = Quarantine(lambda: 0.0)
    registry = prometheus_client.CollectorRegistry()
    detector = TargetEndDetector(RequestMetrics(registry), quarantine)
    record = TargetRecord(identity="t", service="s", address="t:1", zone="a")
    target = Target(record)

    async def scenario():
        for _ in range(before):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        await asyncio.sleep(0.01)
        detector.record_success(CALL, [target], None)
        for _ in range(after):
            detector.record_broken(CALL, [target], AttemptTimes(0.0))
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
    end = TargetEnd(
        process=("x", 1),
        request_key="r",
        customer="c",
        sent_at=-2.0,
        at=-1.0,
    )
    quarantine.record_end(["part/a"], end)
    evidence = dict(quarantine.items())["part/a"]
    assert bool(evidence.ends) is not is_sound
