"""Crowds of clients that do not behave end no host and fill no memory."""

import asyncio

import pytest

from apricotseam.platform.standins import caller_headers
from soak._crowds import Crowd
from soak._crowds import CrowdRun

# Bounds of the host under test; see docs/OPERATIONS.md.
CLIENTS = {
    "max_connections": 128,
    "max_held_bytes": 8 << 20,
    "max_connection_bytes": 1 << 20,
}
# A host without clients has about 40 MB and 25 open files.
MAX_MEMORY_BYTES = 110 << 20
MAX_DESCRIPTORS = 220

AHEAD = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 1000
CHUNKS = b"1\r\na\r\n" * 2000


def head(number_of_fields=0, **changes):
    """Return the head of an ordinary request, with further header fields."""
    headers = caller_headers(changes)
    if "Transfer_Encoding" in changes:
        headers = [(n, v) for n, v in headers if n != b"Content-Length"]
    lines = [b"POST /read/x HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    lines += [b"a:"] * number_of_fields
    return b"\r\n".join([*lines, b"", b""])


BODY_BYTES = 1_000_000
UNFINISHED = head(Content_Length=str(BODY_BYTES)) + b"x" * (BODY_BYTES - 9)

CROWDS = [
    Crowd(name="ahead", connections=30, repeated=AHEAD),
    Crowd(
        name="ahead-behind-one",
        connections=30,
        first=head(),
        repeated=AHEAD,
        answer_seconds=2.5,
    ),
    Crowd(name="unfinished-bodies", connections=100, first=UNFINISHED),
    Crowd(
        name="tiny-chunks",
        connections=40,
        first=head(Transfer_Encoding="chunked"),
        repeated=CHUNKS,
    ),
    Crowd(
        name="tiny-fields",
        connections=100,
        first=head(4000, Content_Length="10"),
    ),
    Crowd(name="idle", connections=400, descriptors=256),
    Crowd(
        name="idle-peers",
        connections=400,
        listener="peers_address",
        descriptors=256,
    ),
    Crowd(
        name="unfinished-heads",
        connections=400,
        first=b"GET / HTTP/1.1\r\na: " + b"x" * 15000,
        descriptors=256,
    ),
    *(
        Crowd(
            name=f"ahead-{listener}",
            connections=30,
            repeated=AHEAD,
            listener=f"{listener}_address",
        )
        for listener in ("relay", "directory", "readiness", "metrics", "peers")
    ),
]


# Guards against clients that make a process hold memory or open files: what
# they send ahead, never finish, or don't read.
@pytest.mark.parametrize("crowd", CROWDS, ids=[crowd.name for crowd in CROWDS])
def test_host_lives_and_answers_after_a_crowd(crowd, tmp_path):
    async def play():
        run = CrowdRun(crowd, tmp_path, CLIENTS)
        await run.run()
        return run

    run = asyncio.run(play())
    print(run.peak_bytes >> 20, "MB", run.most_descriptors, "files")
    assert run.is_alive
    assert run.status == 200
    assert run.peak_bytes <= MAX_MEMORY_BYTES
    assert run.most_descriptors <= MAX_DESCRIPTORS
