"""Order, time-out and expected wait of the queue for capacity."""

import asyncio

import pytest

from apricotseam.forwarding._request_queue import RATE_WINDOW_SECONDS
from apricotseam.forwarding._request_queue import RETURN_RATE_SHARE
from apricotseam.forwarding import RequestQueue

# Ranks in the order of arrival, and the order in which they are served.
ORDERS = [
    (
        "equal priority, in order of arrival",
        [(1, 0), (1, 1), (1, 2)],
        [0, 1, 2],
    ),
    ("higher priority first", [(1, 0), (0, 1), (1, 2)], [1, 0, 2]),
    ("latest has the highest priority", [(2, 0), (1, 1), (0, 2)], [2, 1, 0]),
]


@pytest.mark.parametrize(
    ("ranks", "expected"), [c[1:] for c in ORDERS], ids=[c[0] for c in ORDERS]
)
def test_order(ranks, expected):
    async def scenario():
        loop = asyncio.get_running_loop()
        queue = RequestQueue(loop.time)
        served = []

        async def wait(number, rank):
            if await queue.wait(rank, loop.time() + 5):
                served.append(number)

        tasks = [
            loop.create_task(wait(number, rank))
            for number, rank in enumerate(ranks)
        ]
        await asyncio.sleep(0)
        for _ in ranks:
            queue.record_completion()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await asyncio.gather(*tasks)
        return served

    assert asyncio.run(scenario()) == expected


def test_wait_ends_at_its_deadline():
    async def scenario():
        loop = asyncio.get_running_loop()
        queue = RequestQueue(loop.time)
        has_turn = await queue.wait((0,), loop.time() + 0.01)
        return has_turn, len(queue)

    assert asyncio.run(scenario()) == (False, 0)


def test_expected_wait_follows_the_completion_rate():
    now = [0.0]
    queue = RequestQueue(lambda: now[0])
    for _ in range(20):
        now[0] += 0.1
        queue.record_completion()
    assert queue.expected_wait_seconds() == pytest.approx(0.1, rel=0.1)
    now[0] += 10
    assert queue.expected_wait_seconds() == 2.0


def test_turn_of_a_caller_that_leaves_goes_to_the_next():
    """Guards against a request that waits although there is room."""

    async def scenario():
        loop = asyncio.get_running_loop()
        queue = RequestQueue(loop.time)
        first = loop.create_task(queue.wait((0,), loop.time() + 5))
        second = loop.create_task(queue.wait((1,), loop.time() + 0.2))
        await asyncio.sleep(0)
        queue.record_completion()
        first.cancel()
        return await second

    assert asyncio.run(scenario())


def test_turn_that_a_request_cannot_use_goes_to_those_behind_it():
    """Guards against a request that blocks others which would fit."""

    async def scenario():
        loop = asyncio.get_running_loop()
        queue = RequestQueue(loop.time)
        turns = []

        async def wait(rank):
            if await queue.wait(rank, loop.time() + 0.2):
                turns.append(rank)
                queue.wake_behind(rank)

        tasks = [loop.create_task(wait((n,))) for n in (1, 0, 2)]
        await asyncio.sleep(0)
        queue.record_completion()
        await asyncio.gather(*tasks)
        return turns

    assert asyncio.run(scenario()) == [(0,), (1,), (2,)]


# Ranks in the queue, rank of the new request, its place in the queue.
PLACES = [
    ("empty queue", [], (1, 0), 1),
    ("behind all", [(0, 1), (1, 2)], (2, 3), 3),
    ("ahead of all", [(1, 1), (1, 2)], (0, 3), 1),
    ("between", [(0, 1), (2, 2)], (1, 3), 2),
]


@pytest.mark.parametrize(
    ("queued", "rank", "place"),
    [case[1:] for case in PLACES],
    ids=[case[0] for case in PLACES],
)
def test_expected_wait_counts_what_precedes(queued, rank, place):
    async def scenario():
        loop = asyncio.get_running_loop()
        queue = RequestQueue(lambda: 1.0)
        tasks = [
            loop.create_task(queue.wait(found, loop.time() + 0.01))
            for found in queued
        ]
        for _ in range(10):
            queue.record_completion()
        await asyncio.sleep(0)
        seconds = queue.expected_wait_seconds(rank)
        await asyncio.gather(*tasks)
        return seconds

    assert asyncio.run(scenario()) == pytest.approx(place / 5.0)


def test_refused_requests_return_one_after_another():
    """They return at the stated share of the rate of completions."""
    now = [0.0]
    queue = RequestQueue(lambda: now[0])
    for _ in range(20):
        queue.record_completion()
    spacing = 1.0 / (10.0 * RETURN_RATE_SHARE)
    delays = [queue.reserve_return_seconds() for _ in range(3)]
    assert delays == pytest.approx([spacing, 2 * spacing, 3 * spacing])
    now[0] = 1.0
    assert queue.reserve_return_seconds() == pytest.approx(
        max(1.0, 3 * spacing) + spacing - 1.0
    )


def test_return_without_completions_is_after_the_window():
    queue = RequestQueue(lambda: 10.0)
    assert queue.reserve_return_seconds() == RATE_WINDOW_SECONDS
