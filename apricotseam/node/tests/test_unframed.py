"""Answers with neither length nor chunks, whole and broken off."""

import asyncio
import socket
import struct

import pytest

from apricotseam.node.tests.harness import run
from apricotseam.node.tests.raw_target import RawTarget

HEAD = (
    "HTTP/1.1 200 OK\r\nApricotseam-Request-Id: {id}\r\n"
    "Apricotseam-Server-Signature: raw\r\n{framing}\r\n"
)
HEALTH = (
    "HTTP/1.1 200 OK\r\nApricotseam-Instance-Id: {identity}\r\n"
    "Content-Length: 0\r\n\r\n"
)
EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)]
WHOLE = b"".join(EVENTS)
# Makes the close of a socket reset its connection.
LINGER_NOT = struct.pack("ii", 1, 0)
# Time in which bytes that were sent are read.
READ_SECONDS = 0.15


class UnframedTarget(RawTarget):
    """Target that answers one request and ends the connection.

    Parameters
    ----------
    body : bytes
        What it sends after the head.
    ending : str
        ``lives`` closes the connection, ``ends`` also stops to listen as if
        its process had ended, ``resets`` resets the connection. With
        ``accepts`` its address still accepts connections and answers none,
        with ``replaced`` another process answers there.
    """

    def __init__(self, body, ending):
        super().__init__()
        self._body = body
        self._ending = ending
        self.before_answer = lambda: None

    def answer_question(self, writer):
        """Answer a health check as the process at the address does."""
        identity = "next" if self._ending == "replaced" else "raw"
        if self._ending not in ("ends", "accepts"):
            writer.write(HEALTH.format(identity=identity).encode())

    async def answer_request(self, request_id, writer):
        """Write the answer, and end as stated."""
        self.before_answer()
        head = HEAD.format(id=request_id, framing="")
        writer.write(head.encode() + self._body)
        await writer.drain()
        if self._ending == "ends":
            self.server.close()
        if self._ending == "resets":
            # The bytes must arrive before the reset discards them.
            await asyncio.sleep(READ_SECONDS)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT
            )


# Description, path, body, how the answer ends, expected body, requests that
# the other target receives.
CASES = [
    ("a whole stream", "/feed/x", WHOLE, "lives", WHOLE, 0),
    ("a stream without an event", "/feed/x", b"", "lives", WHOLE, 1),
    ("a stream whose process ends", "/feed/x", b"", "ends", WHOLE, 1),
    ("a cut between events", "/feed/x", EVENTS[0], "ends", WHOLE, 1),
    (
        "a cut within an event",
        "/feed/x",
        EVENTS[0] + b"id: 2\nda",
        "ends",
        WHOLE,
        1,
    ),
    ("a reset between events", "/feed/x", EVENTS[0], "resets", WHOLE, 1),
    ("a whole answer", "/read/x", b"whole", "lives", b"whole", 0),
    ("half an answer", "/read/x", b"ha", "ends", b"answer", 1),
    ("half while it accepts", "/read/x", b"ha", "accepts", b"answer", 1),
    ("half, then replaced", "/read/x", b"ha", "replaced", b"answer", 1),
    ("a cut while it accepts", "/feed/x", EVENTS[0], "accepts", WHOLE, 1),
    ("a reset in an answer", "/read/x", b"ha", "resets", b"answer", 1),
]


# What hosts know of the target as its answer ends.
KNOWN = ["no probe permitted", "silent", "answered before"]


@pytest.mark.parametrize("known", KNOWN)
@pytest.mark.parametrize("ending", ["lives", "ends"])
def test_end_of_an_answer_whatever_is_known_of_the_target(known, ending):
    """Guards against parts of answers that are delivered as complete."""

    async def scenario(platform):
        target = UnframedTarget(b"half", ending)
        await target.start(platform)
        context = platform.nodes[0].forwarding
        prober = context.prober
        raw = context.fleet.get("raw")

        def know():
            if known == "no probe permitted":
                prober._acquire_probe = lambda: False
            elif known == "silent":
                raw.health.mark_unreachable(asyncio.get_running_loop().time())
            else:
                prober._responsive_until[raw.incarnation] = float("inf")

        target.before_answer = know
        try:
            status, _, received = await platform.send_request("/read/x")
        finally:
            target.stop()
        return status, received

    expected = b"half" if ending == "lives" else b"answer"
    assert run(scenario, plain_targets=0) == (200, expected)


# Guards against answers that are broken off by the end of a process and
# reach the caller as complete.
@pytest.mark.parametrize(
    ("path", "body", "ending", "expected", "repeats"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_answer_that_ends_with_its_connection(
    path, body, ending, expected, repeats
):
    async def scenario(platform):
        target = UnframedTarget(body, ending)
        await target.start(platform)
        try:
            status, _, received = await platform.send_request(path)
        finally:
            target.stop()
        return status, received, target.requests, len(target.other.requests)

    answered = run(scenario, plain_targets=0)
    assert answered == (200, expected, 1, repeats)
