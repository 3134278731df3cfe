"""Requests through complete nodes, also with failing targets."""

import asyncio

import pytest

from apricotseam.http1 import connect
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import caller_headers

SIGNATURE = b"apricotseam-server-signature"
EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)]
COMPLETE_BODY = b"".join(EVENTS)


def test_stream_is_passed_on_whole():
    async def scenario(platform):
        return await platform.send_request("/chat/x?y=1")

    status, answer, body = run(scenario)
    assert (status, body) == (200, COMPLETE_BODY)
    assert answer.header(b"apricotseam-server-signature") == "stand-in"


def test_chain_names_each_layer_once_in_order():
    async def scenario(platform):
        await platform.send_request("/chat/x")
        first, second = platform.engine_targets
        request = first.requests[0]
        return request, first.address, second.address

    request, first, second = run(scenario)
    chain = request.header(b"apricotseam-hop-count")
    assert chain == f"{first}=0-2,{second}=2-4"
    assert request.header(b"apricotseam-expect-instance") == "e0"
    assert request.header(b"apricotseam-tenant") == "c"
    assert request.header(b"apricotseam-key") == ""


# Description, path, headers, expected status.
REFUSALS = [
    ("unknown key", "/chat/x", {"Apricotseam_Key": "other"}, 401),
    ("no route for the path", "/other/x", {}, 404),
    ("no route for the host name", "/chat/x", {"Host": "other"}, 404),
]


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refusals(path, headers, expected):
    async def scenario(platform):
        status, _, _ = await platform.send_request(path, **headers)
        targets = [*platform.engine_targets, *platform.plain_targets]
        return status, sum(len(target.requests) for target in targets)

    assert run(scenario) == (expected, 0)


# Description, behaviour of all targets (see `TargetStandIn`), path, expected
# status, number of requests that targets received, whether the answer has
# Retry-After. Requests to the unsafe route ``/once/`` are executed at most
# once; those to the safe route ``/read/`` are idempotent.
FAILURES = [
    ("targets refuse, at most once", "shed", "/once/x", 503, 2, True),
    ("targets refuse, idempotent", "shed", "/read/x", 503, 2, True),
    ("connection cut, at most once", "cut", "/once/x", 502, 1, False),
    ("connection cut, idempotent", "cut", "/read/x", 502, 2, False),
    ("status 500, at most once", "error", "/once/x", 500, 1, False),
    ("status 500, idempotent", "error", "/read/x", 500, 2, False),
    (
        "answer to another request, at most once",
        "stray",
        "/once/x",
        502,
        1,
        False,
    ),
    ("targets refuse, stream", "shed", "/chat/x", 503, 1, True),
    ("answer to a call before", "nameless", "/once/x", 502, 1, False),
    ("refusal of a call before", "nameless refusal", "/once/x", 502, 1, False),
    ("the same, idempotent", "nameless refusal", "/read/x", 502, 2, False),
    ("the same, stream", "nameless", "/chat/x", 502, 1, False),
]


@pytest.mark.parametrize(
    ("behaviour", "path", "expected", "expected_requests", "has_retry_after"),
    [case[1:] for case in FAILURES],
    ids=[case[0] for case in FAILURES],
)
def test_failures(
    behaviour, path, expected, expected_requests, has_retry_after
):
    async def scenario(platform):
        targets = [*platform.engine_targets, *platform.plain_targets]
        for target in targets:
            target.behaviour = behaviour
        status, answer, _ = await platform.send_request(path)
        count = sum(len(target.requests) for target in targets)
        return status, count, answer.header(b"retry-after") is not None

    assert run(scenario) == (expected, expected_requests, has_retry_after)


# Guards against a status that lets callers repeat a request that has run.
@pytest.mark.parametrize("path", ["/once/x", "/read/x", "/chat/x"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_targets_status_is_no_proof_that_a_request_has_not_run(status, path):
    async def scenario(platform):
        for target in [*platform.engine_targets, *platform.plain_targets]:
            target.behaviour = "error"
            target.error_status = status
        status_got, answer, body = await platform.send_request(path)
        retry_after = answer.header(b"retry-after")
        return status_got, retry_after, answer.header(SIGNATURE), body

    # A signature would say that the target itself gave this status.
    assert run(scenario) == (502, None, None, b"")


def test_idempotent_request_goes_to_the_second_target():
    async def scenario(platform):
        platform.plain_targets[0].behaviour = "cut"
        statuses = []
        for _ in range(4):
            status, _, _ = await platform.send_request("/read/x")
            statuses.append(status)
        return statuses

    assert run(scenario) == [200] * 4


def test_stream_goes_on_at_another_chain_without_repeated_events():
    async def scenario(platform):
        platform.engine_targets[0].cut_after = 2
        status, _, body = await platform.send_request("/chat/x")
        resumed = platform.engine_targets[2].requests[0]
        return status, body, resumed.header(b"last-event-id")

    assert run(scenario, engine_targets=4) == (200, COMPLETE_BODY, "2")


def test_silent_target_is_replaced_in_the_middle_of_a_stream():
    async def scenario(platform):
        head, second, _, spare = platform.engine_targets
        head.stalls_after = 2
        task = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: head.requests)
        chain = head.requests[0].header(b"apricotseam-hop-count")
        # Either of the two may have been chosen for the rest of the chain.
        stopped = second if second.address in chain else spare
        stopped.stop()
        status, _, body = await task
        rerouted = [o["Path"] for o in head.orders if o["Op"] == "repath"]
        kept = spare if stopped is second else second
        return status, body, len(head.requests), rerouted, (head, kept)

    status, body, expected_requests, rerouted, (head, kept) = run(
        scenario, engine_targets=4
    )
    assert (status, body, expected_requests) == (200, COMPLETE_BODY, 1)
    assert rerouted == [f"{head.address}=0-2,{kept.address}=2-4"]


def test_draining_target_is_left_by_streams_under_way():
    async def scenario(platform):
        head = platform.engine_targets[0]
        head.stalls_after = 2
        task = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: head.requests)
        chain = head.requests[0].header(b"apricotseam-hop-count")
        for target in platform.engine_targets[1:]:
            if target.address in chain:
                platform.register(target, state="draining")
        status, _, body = await task
        return status, body, len(head.requests), len(head.orders)

    assert run(scenario, engine_targets=4) == (200, COMPLETE_BODY, 1, 1)


def test_silent_stream_of_a_plain_service_goes_on_elsewhere():
    async def scenario(platform):
        for target in platform.plain_targets:
            target.is_engine = True
            target.stalls_after = 2
        task = asyncio.create_task(platform.send_request("/feed/x"))
        await platform.wait_until(
            lambda: any(t.requests for t in platform.plain_targets)
        )
        for target in platform.plain_targets:
            if not target.requests:
                target.stalls_after = None
        status, _, body = await task
        asked = [r for t in platform.plain_targets for r in t.requests]
        return status, body, [r.target for r in asked]

    assert run(scenario) == (200, COMPLETE_BODY, [b"/feed/x", b"/feed/x"])


def test_stream_that_cannot_go_on_is_visibly_cut():
    async def scenario(platform):
        platform.engine_targets[0].cut_after = 2
        status, _, body = await platform.send_request("/chat/x")
        return status, body

    assert run(scenario) == (200, None)


def test_caller_that_leaves_stops_the_work():
    async def scenario(platform):
        head = platform.engine_targets[0]
        head.events = 1000
        head.event_seconds = 0.01
        loop = asyncio.get_running_loop()
        address = platform.settings[0].callers_address
        connection = await connect(address, loop.time() + 1)
        connection.send(b"POST", b"/chat/x", caller_headers({}))
        await connection.head(loop.time() + 1)
        connection.close()
        await platform.wait_until(lambda: head.ended)
        return head.ended

    assert run(scenario) == ["r1"]


def test_configuration_changes_while_requests_run():
    async def scenario(platform):
        configuration = {"Version": 2, "Routes": [], "Services": []}
        platform.set_configuration(configuration)
        await platform.wait_until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        status, _, _ = await platform.send_request("/chat/x")
        return status

    assert run(scenario) == 404
