"""Which requests are accepted during a graceful shutdown, and its end."""

import asyncio
import socket

import pytest

from apricotseam.node._leaving import address_lifetime_seconds
from apricotseam.node._leaving import full_service_seconds
from apricotseam.node._leaving import MIN_SHUTDOWN_SECONDS
from apricotseam.node._settings import NodeBounds
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import caller_headers

# Seconds from the signal until the process is killed; latest time in seconds
# after the signal until which every new request may be accepted.
GRACE_PERIODS = [(8.0, 3.0), (20.0, 3.0), (4.0, 1.5), (1.0, 0.4)]


@pytest.mark.parametrize(("seconds", "latest"), GRACE_PERIODS)
def test_requests_are_refused_while_there_is_time_to_end_others(
    seconds, latest
):
    assert 0 < full_service_seconds(seconds) <= latest - 0.05 * seconds / 8


@pytest.mark.parametrize(("seconds", "latest"), GRACE_PERIODS)
def test_addresses_lapse_before_a_leaving_host_refuses_requests(
    seconds, latest
):
    """Guards against callers that are sent to a host that refuses them."""
    bounds = NodeBounds(address_valid_seconds=5.0, stop_seconds=seconds)
    longest_use = 3 * address_lifetime_seconds(bounds)
    assert 0 < longest_use <= full_service_seconds(seconds) <= latest


# Description, path, seconds until the host exits, expected status.
LATE_REQUESTS = [
    ("short request with enough time left", "/read/x", 5.0, 200),
    ("short request with too little time left", "/read/x", 1.0, 503),
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
        platform.nodes[0].refuse_unfinishable(loop.time() + seconds)
        status, answer, _ = await platform.send_request(path)
        return status, answer.header(b"connection")

    assert run(scenario) == (expected, "close")


LARGE_BODY = b"x" * 3_000_000


async def send_and_read_slowly(address, path, body):
    """Send a request on a connection with a small receive buffer.

    Returns
    -------
    tuple of asyncio.StreamReader and asyncio.StreamWriter
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock)
    head = b"POST " + path + b" HTTP/1.1\r\n"
    for name, value in caller_headers({}, content=body):
        head += name + b": " + value + b"\r\n"
    writer.write(head + b"\r\n" + body)
    return reader, writer


def test_answer_in_the_send_buffer_arrives_before_the_process_ends():
    """Guards against an answer that the end of the process cuts off."""

    async def scenario(platform):
        loop = asyncio.get_running_loop()
        node = platform.nodes[0]
        reader, writer = await send_and_read_slowly(
            platform.settings[0].callers_address, b"/read/x", LARGE_BODY
        )
        await reader.readuntil(b"\r\n\r\n")
        await platform.wait_until(lambda: not node.caller_server.in_progress)
        ending = loop.create_task(node.wait())
        node.leave(exit_code=0)
        await asyncio.sleep(MIN_SHUTDOWN_SECONDS + 0.5)
        async with asyncio.timeout(10):
            body = await reader.read()
        writer.close()
        return len(body), await ending

    assert run(scenario) == (len(LARGE_BODY), 0)


async def fail():
    """Fail as a component does that cannot go on."""
    raise RuntimeError("cannot go on")


def test_component_that_fails_for_good_cuts_no_answer():
    """Guards against hosts that end again and again on the same input."""

    async def scenario(platform):
        for target in platform.engine_targets:
            target.event_seconds = 0.6
        node = platform.nodes[0]
        ending = asyncio.create_task(node.wait())
        stream = asyncio.create_task(platform.send_request("/chat/x"))
        await platform.wait_until(lambda: node.caller_server.in_progress)
        node.supervisor.start("failing", fail)
        status, _, body = await stream
        assert (status, body is not None) == (200, True)
        await platform.wait_until(
            lambda: node.supervisor.is_failing("failing")
        )
        assert node.is_ready
        status, _, body = await platform.send_request("/chat/x")
        assert (status, body is not None) == (200, True)
        assert not ending.done()
        node.leave(exit_code=0)
        return await ending

    assert run(scenario) == 0


def test_placer_that_fails_for_good_gives_the_duty_up():
    """Guards against a duty that stays with a host which cannot do it."""

    async def scenario(platform):
        nodes = platform.nodes
        await platform.wait_until(lambda: any(holds_duty(n) for n in nodes))
        [first] = [n for n in nodes if holds_duty(n)]
        first.supervisor.start("placer", fail)
        others = [n for n in nodes if n is not first]
        await platform.wait_until(lambda: any(holds_duty(n) for n in others))
        assert not holds_duty(first)

    run(scenario, hosts=2)


def holds_duty(node):
    """Return whether a host holds the placer's duty."""
    return node.placer.is_elected


# Description, name of the method of the node that fails.
SHUTDOWN_STEPS = [
    ("the address cannot be withdrawn", "withdraw"),
    ("requests cannot be refused", "refuse_unfinishable"),
]


@pytest.mark.parametrize(
    "method",
    [case[1] for case in SHUTDOWN_STEPS],
    ids=[case[0] for case in SHUTDOWN_STEPS],
)
def test_shutdown_ends_although_a_step_fails(method, monkeypatch):
    """Guards against a process that stays until the platform kills it."""

    def fail_step(*_):
        raise RuntimeError("cannot go on")

    async def scenario(platform):
        node = platform.nodes[0]
        monkeypatch.setattr(node, method, fail_step)
        ending = asyncio.create_task(node.wait())
        node.leave(exit_code=0)
        node.leave(exit_code=1)
        async with asyncio.timeout(9):
            return await ending

    assert run(scenario) == 0
