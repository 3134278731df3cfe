"""Nodes while the store comes back from a copy some seconds old."""

import asyncio

from apricotseam.node.tests.harness import run
from apricotseam.node.tests.test_requests import COMPLETE_BODY
from apricotseam.platform.standins import sample_configuration
from apricotseam.positions import MAX_REVISION

# Time in which hosts hear of the store's return and read it again.
FOLLOW_SECONDS = 1.0


def test_versions_stay_in_force_and_new_ones_are_followed():
    async def scenario(platform):
        store, nodes = platform.store, platform.nodes
        copy = store.copy()
        for version in range(20, 40):
            platform.set_configuration(sample_configuration(version=version))
        await platform.wait_until(
            lambda: all(n.configuration.version == 39 for n in nodes)
        )
        lost = store.go_back(copy)
        await asyncio.sleep(FOLLOW_SECONDS)
        during = {node.configuration.version for node in nodes}
        store.rewrite(lost)
        await asyncio.sleep(FOLLOW_SECONDS)
        # Its revision had been given out before the store went back.
        platform.set_configuration(sample_configuration(version=41))
        await platform.wait_until(
            lambda: all(n.configuration.version == 41 for n in nodes)
        )
        return during

    assert run(scenario, hosts=2) == {39}


def test_a_target_that_left_gets_no_request():
    async def scenario(platform):
        left, other = platform.plain_targets
        copy = platform.store.copy()
        platform.store.remove(left)
        await asyncio.sleep(FOLLOW_SECONDS)
        platform.store.go_back(copy)
        await asyncio.sleep(FOLLOW_SECONDS)
        answers = [await platform.send_request("/read/x") for _ in range(10)]
        return [answer[0] for answer in answers], left, other

    statuses, left, other = run(scenario)
    assert set(statuses) == {200}
    assert (len(left.requests), len(other.requests)) == (0, 10)


def test_streams_in_progress_and_orders_go_on():
    async def scenario(platform):
        store = platform.store
        copy = store.copy()
        for target in platform.engine_targets:
            target.event_seconds = 0.3
        request = asyncio.create_task(platform.send_request("/chat/x"))
        await asyncio.sleep(0.4)
        target = platform.engine_targets[0]
        store.go_back(copy)
        answer = await request
        target.layers = None
        platform.register(target, born=2)
        await platform.wait_until(lambda: target.orders)
        fence = target.orders[0]["FencingToken"]
        return answer, fence, len(target.requests)

    (status, _, body), fence, requests = run(scenario)
    assert (status, body, requests) == (200, COMPLETE_BODY, 1)
    assert fence > MAX_REVISION
