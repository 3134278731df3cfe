"""Requests in progress as a process ends its grace period."""

import asyncio
import contextlib
import json
import signal
import sys


from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

START_SECONDS = 20.0
GRACE_SECONDS = 3.0
# Longer than the grace period.
LONG_SECONDS = 20.0
# Time after the stop signal at which the late ones are sent; by then only
# those are taken that end in time.
LATE_SECONDS = 1.6


async def start_host(folder, store_address):
    """Start a host as a process; return it and its address for callers."""
    fields = {
        name: free_address()
        for name in (
            "callers_address",
            "readiness_address",
            "directory_address",
            "peers_address",
        )
    }
    settings = {
        "host": "h",
        "zone": "a",
        "store_address": store_address,
        "bounds": {"stop_seconds": GRACE_SECONDS},
        **fields,
    }
    path = folder / "settings.yaml"
    path.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "apricotseam.start",
        str(path),
        stdout=asyncio.subprocess.DEVNULL,
    )
    await wait_until_ready(fields["readiness_address"])
    return process, fields["callers_address"]


async def wait_until_ready(address):
    """Ask for readiness until it is given."""
    async with asyncio.timeout(START_SECONDS):
        while True:
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError):
                status, _ = await exchange(
                    address, b"GET /v1/readyz HTTP/1.1\r\nHost: h\r\n\r\n"
                )
                if status == 200:
                    return


async def exchange(address, *parts, pause=0.0):
    """Send a request in parts; return status and body of the answer.

    The status is 0 if there is none.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(pause)
            writer.write(part)
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2]
        body = await reader.readexactly(int(length.split(b"\r\n")[0] or 0))
        return int(head.split(b" ")[1]), body
    except (EOFError, OSError):
        return 0, b""
    finally:
        writer.close()


def request(path, deadline_seconds, content=b""):
    """Return a whole request."""
    head = b"POST " + path.encode() + b" HTTP/1.1\r\n"
    for name, value in caller_headers(
        {}, deadline_seconds=deadline_seconds, content=content
    ):
        head += name + b": " + value + b"\r\n"
    return head + b"\r\n" + content


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
        process, address = await start_host(tmp_path, store_address)
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
