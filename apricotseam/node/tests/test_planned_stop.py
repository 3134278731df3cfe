"""Requests in progress as a process ends its grace period."""

import asyncio
import signal

from apricotseam.node.tests.process import exchange
from apricotseam.node.tests.process import request
from apricotseam.node.tests.process import start_host
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

GRACE_SECONDS = 3.0
# Longer than the grace period.
LONG_SECONDS = 20.0
# Time after the stop signal at which the late ones are sent; by then only
# those are taken that end in time.
LATE_SECONDS = 1.6


def split(whole):
    """Return a request whose last byte comes late."""
    return whole[:-1], whole[-1:]


# Description, parts of the request, seconds between them, seconds from the
# stop signal until it is sent, expected status. The target never answers.
BODY = b"x" * 100
REQUESTS = [
    ("in progress", [request("/once/x", LONG_SECONDS)], 0.0, -0.3, 504),
    ("repeatable", [request("/read/x", LONG_SECONDS)], 0.0, -0.3, 504),
    ("a stream", [request("/feed/x", LONG_SECONDS)], 0.0, -0.3, 504),
    (
        "its body comes late",
        split(request("/once/x", LONG_SECONDS, BODY)),
        LATE_SECONDS,
        0.2,
        503,
    ),
    (
        "its body never comes",
        split(request("/once/x", LONG_SECONDS, BODY)),
        LONG_SECONDS,
        0.2,
        503,
    ),
    ("late", [request("/once/x", LONG_SECONDS)], 0.0, LATE_SECONDS, 503),
    ("late and short", [request("/once/x", 0.4)], 0.0, LATE_SECONDS, 504),
]


def configuration():
    """Return one with routes that permit long requests."""
    routes = [
        sample_route(
            f"/{name}/",
            kind,
            PLAIN_SERVICE,
            MaxAttempts=1,
            TimeoutMs=int(1000 * LONG_SECONDS),
        )
        for name, kind in (
            ("once", "unsafe"),
            ("read", "safe"),
            ("feed", "streaming"),
        )
    ]
    return {**sample_configuration(), "Routes": routes}


def test_requests_get_an_answer_before_the_process_ends(tmp_path):
    """Guards against LOST: connections that end without an answer."""

    async def scenario():
        store = await StoreStandIn([free_address()]).start()
        target = await TargetStandIn("t", free_address()).start()
        target.behaviour = "silent"
        store.write_configuration(configuration())
        store.register(target)
        (store_address,) = store._servers
        process, address = await start_host(
            tmp_path, store_address, stop_seconds=GRACE_SECONDS
        )
        loop = asyncio.get_running_loop()
        stop_at = loop.time() + 1.0
        try:
            tasks = [
                loop.create_task(
                    send_at(stop_at + after, address, parts, pause)
                )
                for _, parts, pause, after, _ in REQUESTS
            ]
            await asyncio.sleep(stop_at - loop.time())
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(GRACE_SECONDS):
                assert await process.wait() == 0
            return [await task for task in tasks]
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            target.stop()
            store.stop()

    async def send_at(at, address, parts, pause):
        await asyncio.sleep(at - asyncio.get_running_loop().time())
        status, _ = await exchange(address, *parts, pause=pause)
        return status

    found = asyncio.run(scenario())
    names = [name for name, *_ in REQUESTS]
    expected = [case[-1] for case in REQUESTS]
    assert dict(zip(names, found)) == dict(zip(names, expected))
