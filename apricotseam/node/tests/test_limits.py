"""Targets that state limits, through complete nodes."""

import asyncio

import pytest

from apricotseam.node.tests.harness import run
from apricotseam.platform import ORDER_PATH

LIMIT = 2.0
WINDOW_SECONDS = 4.0
HOSTS = 3
# Time in which the hosts may take over the limit's permits after a start.
SETTLE_SECONDS = 2.2
LOAD_SECONDS = 1.5
# What the platform accepts of a limit in a window, at most.
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5


def known(platform, target, host_index=0):
    """Return what a host knows of a target."""
    return platform.nodes[host_index].forwarding.fleet.get(target.identity)


async def send_load(platform, path, seconds=LOAD_SECONDS):
    """Send requests to all hosts for some time; return the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    answers = []
    while loop.time() < until:
        answers += await asyncio.gather(
            *(
                platform.send_request(path, h)
                for h in range(HOSTS)
                for _ in "12"
            )
        )
    return answers


async def say_in_answer(platform):
    """Let a plain target state its limit in an answer."""
    target = platform.plain_targets[0]
    target.requests_per_second = LIMIT
    return target, "/read/x"


async def say_in_refusal(platform):
    """Let a plain target state its limit in refusals only."""
    target = platform.plain_targets[0]
    target.requests_per_second = LIMIT
    target.behaviour = "shed"
    return target, "/read/x"


async def say_in_stream(platform):
    """Let the head of a chain state its limit in the head of a stream."""
    target = platform.engine_targets[0]
    target.requests_per_second = LIMIT
    return target, "/chat/x"


async def say_in_report(platform):
    """Let the head of a chain state its limit in a report."""
    target = platform.engine_targets[0]
    target.requests_per_second = LIMIT
    prober = platform.nodes[0].forwarding.prober
    assert not await prober.find_unresponsive([known(platform, target)])
    return target, "/chat/x"


async def say_to_order(platform):
    """Let the head of a chain state its limit in the answer to an order."""
    target = platform.engine_targets[0]
    target.requests_per_second = LIMIT
    await platform.nodes[0]._placer._call(
        known(platform, target),
        b"POST",
        ORDER_PATH,
        b'{"Op": "place", "From": 0, "Target": 2}',
    )
    return target, "/chat/x"


SAYINGS = [
    say_in_answer,
    say_in_refusal,
    say_in_stream,
    say_in_report,
    say_to_order,
]


# Guards against targets that get more requests than the limit they stated.
@pytest.mark.parametrize("say", SAYINGS, ids=[f.__name__ for f in SAYINGS])
def test_all_hosts_together_keep_to_a_limit(say):
    async def scenario(platform):
        await asyncio.sleep(SETTLE_SECONDS)
        target, path = await say(platform)
        await send_load(platform, path, 0.5)
        before = len(target.requests)
        answers = await send_load(platform, path)
        assert len(answers) > 3 * ALLOWED
        return len(target.requests) - before, {a[0] for a in answers}

    received, statuses = run(scenario, engine_targets=4, hosts=HOSTS)
    # Burst and rate, and a debt of one request.
    assert received <= LIMIT * (LOAD_SECONDS + 1.0) + 1
    assert statuses == {200}


@pytest.mark.parametrize("path", ["/read/x", "/once/x", "/feed/x", "/chat/x"])
def test_what_no_target_may_take_is_refused_at_once(path):
    async def scenario(platform):
        await asyncio.sleep(SETTLE_SECONDS)
        targets = [*platform.plain_targets, platform.engine_targets[0]]
        for target in targets:
            target.requests_per_second = 0.5
        await send_load(platform, path, 0.5)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, head, _ = await platform.send_request(path)
        return status, head.header(b"retry-after"), loop.time() - started_at

    status, retry_after, seconds = run(scenario, hosts=HOSTS)
    assert status == 503
    assert 0.0 < float(retry_after) <= 8.0
    assert seconds < 1.0


def test_a_limit_that_ends_is_forgotten_by_all_hosts():
    async def scenario(platform):
        target, path = await say_in_answer(platform)
        await send_load(platform, path, 0.5)
        hosts = range(HOSTS)
        await platform.wait_until(
            lambda: all(known(platform, target, h).is_limited for h in hosts)
        )
        target.requests_per_second = None
        while known(platform, target).is_limited:
            await send_load(platform, path, 0.2)
        await platform.wait_until(
            lambda: (
                not any(known(platform, target, h).is_limited for h in hosts)
            )
        )

    run(scenario, hosts=HOSTS)


def test_a_new_process_at_the_same_address_starts_without_a_limit():
    async def scenario(platform):
        target, path = await say_in_answer(platform)
        await send_load(platform, path, 0.5)
        target.restart()
        platform.register(target)
        await platform.wait_until(
            lambda: known(platform, target).record.born_ms == target.born
        )
        return known(platform, target).is_limited

    assert run(scenario, hosts=HOSTS) is False
