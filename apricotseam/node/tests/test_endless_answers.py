"""Servers that send bytes without end to many requests of one process."""

import asyncio
import contextlib
import pathlib

import pytest

from apricotseam.node.tests.process import exchange
from apricotseam.node.tests.process import request
from apricotseam.node.tests.process import start_host
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

REQUESTS = 60
SECONDS = 2.5
# Growth of the process's memory that the smallest machine of the sheets
# bears beside what the process needs.
MAX_GROWTH_MB = 64
KB_PER_MB = 1024
SOUND_SERVICE = "sound"
PIECE_BYTES = 64 << 10
FIELDS = (
    "Apricotseam-Request-Id: {id}\r\nApricotseam-Server-Signature: raw\r\n"
)
HEAD = f"HTTP/1.1 200 OK\r\n{FIELDS}"
CHUNKED = f"{HEAD}Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-Field: " + b"x" * 100 + b"\r\n"
# Description, path, beginning of the answer, part that follows for ever.
ANSWERS = [
    ("a head", "/read/x", HEAD, LINE),
    ("a body", "/read/x", f"{HEAD}\r\n", b"x" * 100),
    (
        "a body with a length",
        "/read/x",
        f"{HEAD}Content-Length: 9999999999\r\n\r\n",
        b"x",
    ),
    ("small chunks", "/read/x", CHUNKED, b"2\r\nxx\r\n"),
    ("an extension of a chunk", "/read/x", f"{CHUNKED}1;", b"x"),
    ("trailers", "/read/x", f"{CHUNKED}0\r\n", LINE),
    ("an event", "/feed/x", f"{HEAD}\r\n", b"x" * 100),
    ("an event in chunks", "/feed/x", CHUNKED, b"2\r\nxx\r\n"),
]


def endless_server(beginning, part):
    """Return a connection handler that answers without end."""
    piece = part * (PIECE_BYTES // len(part))

    async def serve(reader, writer):
        with contextlib.suppress(OSError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            marker = b"apricotseam-request-id: "
            found = head.lower().partition(marker)[2].partition(b"\r\n")[0]
            writer.write(beginning.replace("{id}", found.decode()).encode())
            while True:
                writer.write(piece)
                await writer.drain()
        writer.close()

    return serve


def configuration():
    """Return one with routes to a faulty and to a sound service."""
    routes = [
        sample_route("/read/", "unsafe", PLAIN_SERVICE, MaxAttempts=1),
        sample_route("/feed/", "streaming", PLAIN_SERVICE, MaxAttempts=1),
        sample_route("/sound/", "unsafe", SOUND_SERVICE, MaxAttempts=1),
    ]
    services = [{"Name": PLAIN_SERVICE}, {"Name": SOUND_SERVICE}]
    return {
        **sample_configuration(),
        "Routes": routes,
        "Services": services,
    }


def peak_mb(process):
    """Return the most memory that a process has had, in MB."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [li for li in status.splitlines() if li.startswith("VmHWM")]
    return int(line.split()[1]) / KB_PER_MB


async def play(folder, path, beginning, part):
    """Return the growth in MB, and how requests to a sound server ended."""
    store = await StoreStandIn([free_address()]).start()
    faulty = TargetStandIn("faulty", free_address())
    faulty.slots = 2 * REQUESTS
    sound = await TargetStandIn("sound", free_address()).start()
    sound_entry = sound.entry().replace(
        PLAIN_SERVICE.encode(), SOUND_SERVICE.encode(), 1
    )
    ip, port = faulty.address.split(":")
    server = await asyncio.start_server(
        endless_server(beginning, part), ip, int(port)
    )
    store.write_configuration(configuration())
    store.register(faulty)
    store.put("servers/sound", sound_entry)
    (store_address,) = store._servers
    process, address = await start_host(folder, store_address)
    try:
        before_mb = peak_mb(process)
        crowd = [
            asyncio.create_task(exchange(address, request(path, SECONDS)))
            for _ in range(REQUESTS)
        ]
        statuses = []
        for _ in range(3):
            await asyncio.sleep(SECONDS / 4)
            status, _ = await exchange(address, request("/sound/x", 3.0))
            statuses.append(status)
        answers = await asyncio.gather(*crowd)
        growth_mb = peak_mb(process) - before_mb
        assert process.returncode is None
    finally:
        process.kill()
        await process.wait()
        server.close()
        sound.stop()
        store.stop()
    return growth_mb, statuses, {status for status, _ in answers}


@pytest.mark.parametrize(
    ("path", "beginning", "part"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_endless_answers_to_many_requests(path, beginning, part, tmp_path):
    """Guards against LOST: a process that ends by what servers send."""
    growth_mb, sound, faulty = asyncio.run(
        play(tmp_path, path, beginning, part)
    )
    assert growth_mb <= MAX_GROWTH_MB
    assert sound == [200, 200, 200]
    assert 200 not in faulty or path == "/feed/x"
