"""Hosts as processes of their own, and requests to them."""

import asyncio
import contextlib
import json
import sys

from apricotseam.platform.standins import caller_headers
from apricotseam.web import free_address

START_SECONDS = 20.0


async def start_host(folder, store_address, **bounds):
    """Start a host as a process; return it and its address for callers.

    Parameters
    ----------
    folder : pathlib.Path
        Where its settings are written.
    store_address : str
        Address of the store.
    **bounds
        The ``bounds`` of its settings.
    """
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
        "bounds": bounds,
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
