"""Times of a planned stop."""

import asyncio

import pytest

from apricotseam.node._leaving import refuse_after
from apricotseam.node.tests.harness import run

# Seconds until the process is killed, and the latest time after the signal
# at which new requests may still be taken.
STOPS = [(8.0, 3.0), (20.0, 3.0), (4.0, 1.5), (1.0, 0.4)]


@pytest.mark.parametrize(("seconds", "latest"), STOPS)
def test_requests_are_refused_while_there_is_time_to_end_others(
    seconds, latest
):
    assert 0 < refuse_after(seconds) <= latest - 0.05 * seconds / 8


# Path, seconds until the host ends, status.
LATE_REQUESTS = [
    ("short answer", "/read/x", 5.0, 200),
    ("might not end", "/read/x", 1.0, 503),
    ("stream", "/chat/x", 5.0, 503),
]


@pytest.mark.parametrize(
    ("path", "seconds", "expected"),
    [case[1:] for case in LATE_REQUESTS],
    ids=[case[0] for case in LATE_REQUESTS],
)
def test_late_requests_are_taken_if_they_end_in_time(path, seconds, expected):
    async def scenario(platform):
        loop = asyncio.get_running_loop()
        platform.nodes[0].refuse_late(loop.time() + seconds)
        status, answer, _ = await platform.ask(path)
        return status, answer.header(b"connection")

    assert run(scenario) == (expected, "close")
