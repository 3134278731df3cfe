"""Loss of this host's own links, told from the silence of targets."""

import asyncio
import random

import pytest

from apricotseam.fleet import Fleet
from apricotseam.fleet import TargetRecord
from apricotseam.forwarding._reach import TargetReach
from apricotseam.positions import Position


def make_fleet(engines, plain=0):
    """Return a fleet with targets ``e0``, ... and ``p0``, ... ."""
    fleet = Fleet()
    identities = [f"e{n}" for n in range(engines)]
    identities += [f"p{n}" for n in range(plain)]
    for number, identity in enumerate(identities):
        fleet.update(
            TargetRecord(
                identity=identity,
                service="model" if identity[0] == "e" else "plain",
                address=f"10.0.0.{number}:1",
                zone="a",
                slots=1,
                position=Position(number + 1),
            )
        )
    return fleet


class Links:
    """Links over which some targets answer; others may not be found out."""

    def __init__(self, fleet):
        self.answering = {target.identity for target in fleet}
        self.unknown_probes = 0
        self.asked = []
        self.reach = TargetReach(
            fleet, self.probe, lambda: 0.0, random.Random(1)
        )

    async def probe(self, target, timeout_seconds):
        """Return whether a target answers."""
        self.asked.append(target.identity)
        if self.unknown_probes:
            self.unknown_probes -= 1
            return None
        return target.identity in self.answering


# Description, targets that answer, rounds without a result, targets to leave
# out, whether the host counts as connected.
CHECKS = [
    ("all answer", "e0 e1 e2 e3 e4 e5", 0, "", True),
    ("few answer", "e0", 0, "e1 e2 e3", True),
    ("none answers", "", 0, "", False),
    ("none answers, some rounds blocked", "", 2, "", False),
    ("all rounds blocked", "", 9, "", True),
    ("the others of the service answer", "e4", 0, "e0 e1 e2", True),
    ("another service answers only", "p0 p1", 0, "", False),
]


@pytest.mark.parametrize(
    ("answering", "unknown_rounds", "left_out", "expected"),
    [case[1:] for case in CHECKS],
    ids=[case[0] for case in CHECKS],
)
def test_links_are_lost_if_no_sampled_target_of_the_service_answers(
    answering, unknown_rounds, left_out, expected
):
    links = Links(make_fleet(6, 2))
    links.answering = set(answering.split())
    links.unknown_probes = 3 * unknown_rounds
    changes = []
    links.reach.on_change = lambda: changes.append(links.reach.lost_services)
    found = asyncio.run(links.reach.is_connected("model", left_out.split()))
    assert found is expected
    assert links.reach.is_lost("model") is not expected
    assert not links.reach.is_lost("plain")
    assert changes == ([] if expected else [("model",)])


# Description, number of six targets that answer after the cut, whether the
# links count as regained in ten checks.
AFTERWARDS = [("none", 0, False), ("one", 1, False), ("all", 6, True)]


@pytest.mark.parametrize(
    ("answering", "expected"),
    [case[1:] for case in AFTERWARDS],
    ids=[case[0] for case in AFTERWARDS],
)
def test_links_are_regained_once_most_targets_answer(answering, expected):
    async def scenario():
        links = Links(make_fleet(6))
        links.answering = set()
        await links.reach.is_connected("model")
        assert links.reach.is_lost("model")
        links.answering = {f"e{n}" for n in range(answering)}
        for _ in range(10):
            await links.reach.is_connected("model")
        return not links.reach.is_lost("model")

    assert asyncio.run(scenario()) is expected


# Description, targets whose connections fail in turn ("+" for one that
# answers), and whether the links are checked.
FAILURES = [
    ("one", "e0", False),
    ("the same twice", "e0 e0", False),
    ("two", "e0 e1", True),
    ("two with an answer between", "e0 + e1", False),
    ("of two services", "e0 p0", False),
]


@pytest.mark.parametrize(
    ("failures", "expected"),
    [case[1:] for case in FAILURES],
    ids=[case[0] for case in FAILURES],
)
def test_two_targets_in_turn_that_take_no_connection_lead_to_a_check(
    failures, expected
):
    async def scenario():
        fleet = make_fleet(6, 2)
        links = Links(fleet)
        for identity in failures.split():
            if identity == "+":
                links.reach.record_connection("model")
                continue
            target = fleet.get(identity)
            assert not await links.reach.check_after_failure(target)
        return bool(links.asked)

    assert asyncio.run(scenario()) is expected


def test_silent_targets_are_asked_if_there_are_no_others():
    """Guards against a host that blames all targets as none is left to ask."""
    fleet = make_fleet(6)
    links = Links(fleet)
    links.answering = set()
    for target in fleet:
        target.health.mark_unreachable(0.0)
    assert not asyncio.run(links.reach.is_connected("model", ["e0"]))
    assert len(set(links.asked)) == 3 and "e0" not in links.asked


def test_watch_ends_a_loss():
    async def scenario():
        links = Links(make_fleet(4))
        links.answering = set()
        await links.reach.is_connected("model")
        links.answering = {"e0", "e1", "e2", "e3"}
        task = asyncio.create_task(links.reach.watch())
        await asyncio.sleep(0.6)
        task.cancel()
        return links.reach.lost_services

    assert asyncio.run(scenario()) == ()


def test_failed_connections_blame_no_target_while_the_links_are_lost():
    async def scenario():
        fleet = make_fleet(4)
        links = Links(fleet)
        links.answering = set()
        await links.reach.is_connected("model")
        return await links.reach.check_after_failure(fleet.get("e0"))

    assert asyncio.run(scenario())
