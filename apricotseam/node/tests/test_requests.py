"""Requests through whole processes, with targets that fail."""

import asyncio

import pytest

from apricotseam.http1 import connect
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import users_headers

EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)]
WHOLE = b"".join(EVENTS)


def test_stream_is_passed_on_whole():
    async def scenario(platform):
        return await platform.ask("/chat/x?y=1")

    status, answer, body = run(scenario)
    assert (status, body) == (200, WHOLE)
    assert answer.header(b"apricotseam-server-signature") == "stand-in"


def test_chain_names_each_layer_once_in_order():
    async def scenario(platform):
        await platform.ask("/chat/x")
        first, second = platform.engines
        request = first.requests[0]
        return request, first.address, second.address

    request, first, second = run(scenario)
    chain = request.header(b"apricotseam-hop-count")
    assert chain == f"{first}=0-2,{second}=2-4"
    assert request.header(b"apricotseam-expect-instance") == "e0"
    assert request.header(b"apricotseam-tenant") == "c"
    assert request.header(b"apricotseam-key") == ""


# Name, path, headers, status.
REFUSALS = [
    ("unknown key", "/chat/x", {"Apricotseam_Key": "other"}, 401),
    ("no route", "/other/x", {}, 404),
    ("no host", "/chat/x", {"Host": "other"}, 404),
]


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refusals(path, headers, expected):
    async def scenario(platform):
        status, _, _ = await platform.ask(path, **headers)
        sent = [*platform.engines, *platform.plains]
        return status, sum(len(target.requests) for target in sent)

    assert run(scenario) == (expected, 0)


# Name, behaviour of both targets, path, status, runs, tells when to return.
FAILURES = [
    ("shed, once", "shed", "/once/x", 503, 2, True),
    ("shed, idempotent", "shed", "/read/x", 503, 2, True),
    ("cut, once", "cut", "/once/x", 502, 1, False),
    ("cut, idempotent", "cut", "/read/x", 502, 2, False),
    ("error, once", "error", "/once/x", 500, 1, False),
    ("error, idempotent", "error", "/read/x", 500, 2, False),
    ("another's answer, once", "stray", "/once/x", 502, 1, False),
    ("shed, stream", "shed", "/chat/x", 503, 1, True),
]


@pytest.mark.parametrize(
    ("behaviour", "path", "expected", "sends", "has_return"),
    [case[1:] for case in FAILURES],
    ids=[case[0] for case in FAILURES],
)
def test_failures(behaviour, path, expected, sends, has_return):
    async def scenario(platform):
        targets = [*platform.engines, *platform.plains]
        for target in targets:
            target.behaviour = behaviour
        status, answer, _ = await platform.ask(path)
        count = sum(len(target.requests) for target in targets)
        return status, count, answer.header(b"retry-after") is not None

    assert run(scenario) == (expected, sends, has_return)


def test_idempotent_request_goes_to_the_second_target():
    async def scenario(platform):
        platform.plains[0].behaviour = "cut"
        statuses = []
        for _ in range(4):
            status, _, _ = await platform.ask("/read/x")
            statuses.append(status)
        return statuses

    assert run(scenario) == [200] * 4


def test_stream_goes_on_at_another_chain_without_repeated_events():
    async def scenario(platform):
        platform.engines[0].cut_after = 2
        status, _, body = await platform.ask("/chat/x")
        resumed = platform.engines[2].requests[0]
        return status, body, resumed.header(b"last-event-id")

    assert run(scenario, engines=4) == (200, WHOLE, "2")


def test_silent_target_is_replaced_in_the_middle_of_a_stream():
    async def scenario(platform):
        head, second, _, spare = platform.engines
        head.stalls_after = 2
        task = asyncio.create_task(platform.ask("/chat/x"))
        await platform.until(lambda: head.requests)
        chain = head.requests[0].header(b"apricotseam-hop-count")
        # The other part of the chain is on whichever of the two was chosen.
        lost = second if second.address in chain else spare
        lost.stop()
        status, _, body = await task
        rerouted = [o["Path"] for o in head.orders if o["Op"] == "repath"]
        kept = spare if lost is second else second
        return status, body, len(head.requests), rerouted, (head, kept)

    status, body, sends, rerouted, (head, kept) = run(scenario, engines=4)
    assert (status, body, sends) == (200, WHOLE, 1)
    assert rerouted == [f"{head.address}=0-2,{kept.address}=2-4"]


def test_draining_target_is_left_by_streams_under_way():
    async def scenario(platform):
        head = platform.engines[0]
        head.stalls_after = 2
        task = asyncio.create_task(platform.ask("/chat/x"))
        await platform.until(lambda: head.requests)
        chain = head.requests[0].header(b"apricotseam-hop-count")
        for target in platform.engines[1:]:
            if target.address in chain:
                platform.register(target, state="draining")
        status, _, body = await task
        return status, body, len(head.requests), len(head.orders)

    assert run(scenario, engines=4) == (200, WHOLE, 1, 1)


def test_silent_stream_of_a_plain_service_goes_on_elsewhere():
    async def scenario(platform):
        for target in platform.plains:
            target.is_engine = True
            target.stalls_after = 2
        task = asyncio.create_task(platform.ask("/feed/x"))
        await platform.until(lambda: any(t.requests for t in platform.plains))
        for target in platform.plains:
            if not target.requests:
                target.stalls_after = None
        status, _, body = await task
        asked = [r for t in platform.plains for r in t.requests]
        return status, body, [r.target for r in asked]

    assert run(scenario) == (200, WHOLE, [b"/feed/x", b"/feed/x"])


def test_stream_that_cannot_go_on_is_visibly_cut():
    async def scenario(platform):
        platform.engines[0].cut_after = 2
        status, _, body = await platform.ask("/chat/x")
        return status, body

    assert run(scenario) == (200, None)


def test_caller_that_leaves_stops_the_work():
    async def scenario(platform):
        head = platform.engines[0]
        head.events = 1000
        head.event_seconds = 0.01
        loop = asyncio.get_running_loop()
        address = platform.settings[0].callers_address
        connection = await connect(address, loop.time() + 1)
        connection.send(b"POST", b"/chat/x", users_headers({}))
        await connection.head(loop.time() + 1)
        connection.close()
        await platform.until(lambda: head.ended)
        return head.ended

    assert run(scenario) == ["r1"]


def test_configuration_changes_while_requests_run():
    async def scenario(platform):
        found = {"Version": 2, "Routes": [], "Services": []}
        platform.declare(found)
        await platform.until(
            lambda: platform.nodes[0].configuration.version == 2
        )
        status, _, _ = await platform.ask("/chat/x")
        return status

    assert run(scenario) == 404
