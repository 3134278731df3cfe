"""A sound target that falls silent for a second and goes on."""

import asyncio

import pytest

from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import ENGINE_SERVICE
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route

PAUSE_SECONDS = 1.2
COMPLETE_BODY = b"".join(
    f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)
)
ROUTES = [
    sample_route(
        "/fixed/", "streaming", ENGINE_SERVICE, Resumable=False, Sticky=True
    ),
    sample_route(
        "/single/",
        "streaming",
        ENGINE_SERVICE,
        Resumable=True,
        Sticky=True,
        MaxAttempts=1,
    ),
    sample_route("/slow/", "safe", PLAIN_SERVICE, TimeoutMs=2000),
]

# Description, path, number of events before the silence, engine targets,
# whether retries are left in the budget.
STREAMS = [
    ("no other chain", "/chat/x", 2, 2, True),
    ("no other chain, before the first event", "/chat/x", 0, 2, True),
    ("may not be resumed", "/fixed/x", 2, 4, True),
    ("has no attempt left", "/single/x", 2, 4, True),
    ("no retry left in the budget", "/chat/x", 2, 4, False),
]


def exhaust_retries(platform):
    """Take all retries from the budget of the first node."""
    context = platform.nodes[0].forwarding
    loop = asyncio.get_running_loop()
    for service in (ENGINE_SERVICE, PLAIN_SERVICE):
        while context.retry_budget.try_acquire(service, loop.time()):
            pass


@pytest.mark.parametrize(
    ("path", "events_before", "engines", "has_retries"),
    [case[1:] for case in STREAMS],
    ids=[case[0] for case in STREAMS],
)
def test_stream_that_has_nowhere_to_go_outlasts_a_silence(
    path, events_before, engines, has_retries
):
    """Guards against an answer that is cut because its target is silent."""

    async def scenario(platform):
        platform.set_configuration(sample_configuration(2, ROUTES))
        await platform.wait_until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        if not has_retries:
            exhaust_retries(platform)
        for target in platform.engine_targets:
            target.pauses_after = events_before
            target.pause_seconds = PAUSE_SECONDS
        status, _, body = await platform.send_request(path)
        return status, body

    found = run(scenario, engine_targets=engines)
    assert found == (200, COMPLETE_BODY)


# Description, number of plain targets, whether retries are left.
PLAIN_REQUESTS = [
    ("no other target", 1, True),
    ("no retry left in the budget", 2, False),
]


@pytest.mark.parametrize(
    ("targets", "has_retries"),
    [case[1:] for case in PLAIN_REQUESTS],
    ids=[case[0] for case in PLAIN_REQUESTS],
)
def test_request_that_has_nowhere_to_go_outlasts_a_silence(
    targets, has_retries
):
    """Guards against a failure while the silent target still works."""

    async def scenario(platform):
        platform.set_configuration(sample_configuration(2, ROUTES))
        await platform.wait_until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        if not has_retries:
            exhaust_retries(platform)
        for target in platform.plain_targets:
            target.pauses_after = 0
            target.pause_seconds = PAUSE_SECONDS
        status, _, _ = await platform.send_request("/slow/x")
        return status

    assert run(scenario, plain_targets=targets) == 200
