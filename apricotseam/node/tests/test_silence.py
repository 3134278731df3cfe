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


# Description, behaviour of the other head, number of events before it falls
# silent as well or None, whether it is stopped.
FAILED_REPLACEMENTS = [
    ("refuses", "shed", None, False),
    ("closes the connection", "cut", None, False),
    ("fails", "error", None, False),
    ("is silent as well", "good", 0, False),
    ("accepts no connection", "good", None, True),
]


@pytest.mark.parametrize(
    ("behaviour", "events_before", "is_stopped"),
    [case[1:] for case in FAILED_REPLACEMENTS],
    ids=[case[0] for case in FAILED_REPLACEMENTS],
)
@pytest.mark.parametrize("events", [0, 2])
def test_silent_target_is_kept_until_its_replacement_answers(
    behaviour, events_before, is_stopped, events
):
    """Guards against a stream whose replacement fails too."""

    async def scenario(platform):
        first, _, other, _ = platform.engine_targets
        for target in (first, other):
            target.pause_seconds = PAUSE_SECONDS
        first.pauses_after = events
        other.pauses_after = events_before
        other.behaviour = behaviour
        # Only the first head is left to choose until the stream has begun.
        platform.register(other, state="draining")
        await asyncio.sleep(0.1)
        stream = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: first.requests)
        platform.register(other)
        if is_stopped:
            other.stop()
        status, _, body = await stream
        return status, body

    assert run(scenario, engine_targets=4) == (200, COMPLETE_BODY)


def test_request_that_ran_is_never_refused():
    """Guards against a promise of not having run that is untrue."""

    async def scenario(platform):
        first, _, other, _ = platform.engine_targets
        first.pauses_after = 0
        first.pause_seconds = 10.0
        other.behaviour = "shed"
        platform.register(other, state="draining")
        await asyncio.sleep(0.1)
        stream = asyncio.create_task(
            platform.send_request(
                "/chat/x", **{"Apricotseam_Deadline_Ms": "1500"}
            )
        )
        await platform.wait_until(lambda: first.requests)
        platform.register(other)
        status, answer, _ = await stream
        return status, answer.header(b"retry-after")

    status, retry_after = run(scenario, engine_targets=4)
    assert status in (502, 504)
    assert retry_after is None


def test_slow_target_is_kept_until_another_answers():
    """Guards against a working target that is left for a slow one."""

    async def scenario(platform):
        platform.set_configuration(sample_configuration(2, ROUTES))
        await platform.wait_until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        for target in platform.plain_targets:
            target.answer_seconds = 1.4
        status, _, _ = await platform.send_request("/slow/x")
        return status

    assert run(scenario) == 200


def test_failure_of_a_target_is_passed_on_if_no_other_can_try():
    """Guards against an answer of a target that this host throws away."""

    async def scenario(platform):
        exhaust_retries(platform)
        for target in platform.plain_targets:
            target.behaviour = "error"
        status, answer, body = await platform.send_request("/read/x")
        return status, answer.header(b"apricotseam-server-signature"), body

    assert run(scenario) == (500, "stand-in", b"failed")


# Path, and the number of events before the trickle.
TRICKLES = [("/chat/x", 0), ("/chat/x", 2), ("/feed/x", 2)]


@pytest.mark.parametrize(("path", "events_before"), TRICKLES)
def test_bytes_without_an_event_are_no_progress(path, events_before):
    """Guards against stalled streams that live on single bytes."""

    async def scenario(platform):
        first = [platform.engine_targets[0], platform.plain_targets[0]]
        for target in first:
            target.trickles_after = events_before
        loop = asyncio.get_running_loop()
        found = []
        for _ in range(4):
            started_at = loop.time()
            status, _, body = await platform.send_request(path)
            found.append((status, body, loop.time() - started_at < 2.5))
        used = [len(target.requests) for target in first]
        return found, sum(used)

    found, used = run(scenario, engine_targets=4)
    assert used
    assert found == [(200, COMPLETE_BODY, True)] * 4


def test_answer_that_only_trickles_never_looks_complete():
    async def scenario(platform):
        for target in platform.engine_targets:
            target.trickles_after = 2
        return await platform.send_request(
            "/fixed/x", Apricotseam_Deadline_Ms="1000"
        )

    async def with_routes(platform):
        platform.set_configuration(sample_configuration(2, ROUTES))
        await platform.wait_until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        return await scenario(platform)

    _, _, body = run(with_routes)
    assert body is None
