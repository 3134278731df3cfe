"""Streams that break off, and what the next target answers."""

import asyncio
import contextlib

import pytest

from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

EVENTS = [f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 6)]
WHOLE = b"".join(EVENTS)
# Number of events before the first target breaks off.
SENT = 2
HEAD = (
    "HTTP/1.1 {status}\r\nApricotseam-Request-Id: {id}\r\n"
    "{signature}Transfer-Encoding: chunked\r\n\r\n"
)
SIGNATURE = "Apricotseam-Server-Signature: s\r\n"
ANOTHER_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\nApricotseam-Request-Id: r0\r\n"
    b"Apricotseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
TIMEOUT_SECONDS = 5.0
# Silence after which hosts have started a second attempt.
END_SECONDS = 1.8


class RawTarget:
    """Target that answers every request with the same bytes.

    Parameters
    ----------
    identity : str
        Its identity.
    status : str
        Status code and reason.
    parts : list of bytes
        Chunks of the body.
    is_cut : bool
        Whether the connection ends before the body does.
    is_signed : bool
        Whether the answer has a signature.
    """

    def __init__(self, identity, status, parts, is_cut=False, is_signed=True):
        self.entry = TargetStandIn(identity, free_address())
        self._status = status
        self._parts = parts
        self._is_cut = is_cut
        self._signature = SIGNATURE if is_signed else ""
        self._server = None
        self._writers = []
        self.requests = 0
        # Awaited before the answer begins, and before it ends.
        self.before_begin = None
        self.before_end = None

    async def start(self):
        """Listen on the address of the entry."""
        host, port = self.entry.address.split(":")
        self._server = await asyncio.start_server(self._answer, host, port)

    def stop(self):
        """Stop listening, and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _answer(self, reader, writer):
        self._writers.append(writer)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            writer.close()
            return
        self.requests += 1
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
        text = HEAD.format(
            status=self._status,
            id=fields["apricotseam-request-id"],
            signature=self._signature,
        )
        if self.before_begin is not None:
            await self.before_begin()
        writer.write(text.encode())
        for part in self._parts:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part))
        if self.before_end is not None:
            await self.before_end()
        if not self._is_cut:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


async def read_answer(address, path="/feed/x"):
    """Return status, body and whether the answer is whole."""
    deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    connection = await connect(address, deadline)
    body = b""
    try:
        connection.send(b"POST", path.encode(), caller_headers())
        answer = await connection.head(deadline)
        while data := await connection.read(deadline):
            body += data
        return answer.status, body, True
    except TransportError:
        return 200, body, False
    finally:
        connection.close()


def play(first, following):
    """Let one target answer first, and another one after it.

    Returns
    -------
    tuple
        Status, body, whether it is whole, and requests at the second target.
    """

    async def scenario(platform):
        for target in platform.plain_targets:
            platform.store.remove(target)
        for target in (first, following):
            await target.start()
        node = platform.nodes[0]
        fleet = node.forwarding.fleet
        platform.register(first.entry)
        await platform.wait_until(lambda: len(fleet) == 3)

        async def register_following():
            platform.register(following.entry)
            await platform.wait_until(lambda: len(fleet) == 4)

        first.before_end = register_following
        answer = await read_answer(platform.settings[0].callers_address)
        for target in (first, following):
            target.stop()
        return *answer, following.requests

    return run(scenario)


BREAK = (["200 OK", EVENTS[:SENT]], {"is_cut": True})
# Description, status and body of what the next target answers, whether it is
# signed, and whether the caller gets the whole stream.
ANSWERS = [
    ("goes on", "200 OK", EVENTS[SENT:], True, True),
    ("starts again", "200 OK", EVENTS, True, True),
    ("an error as text", "500 Oops", [b"out of memory\n\n"], True, False),
    ("an error as an event", "500 Oops", [EVENTS[3]], True, False),
    ("an error without a body", "502 Bad Gateway", [], True, False),
    ("a refusal", "429 Too Many", [b"later\n\n"], True, False),
    ("no such path", "404 Not Found", [b"id: 9\ndata: no\n\n"], True, False),
    ("another success", "202 Accepted", EVENTS[SENT:], True, False),
    ("no content", "206 Partial", EVENTS[SENT:], True, False),
    ("unsigned events", "200 OK", EVENTS[SENT:], False, False),
    (
        "an error with status 200",
        "200 OK",
        [b"out of memory\n\n"],
        True,
        False,
    ),
    ("an error in JSON", "200 OK", [b'{"error":"x"}\n\n'], True, False),
    ("an event without a number", "200 OK", [b"data: x\n\n"], True, False),
    ("an error event", "200 OK", [b"event: error\ndata: x\n\n"], True, False),
    (
        "a head before its events",
        "200 OK",
        [ANOTHER_HEAD + EVENTS[2], *EVENTS[3:]],
        True,
        False,
    ),
    (
        "a head between its events",
        "200 OK",
        [EVENTS[2], ANOTHER_HEAD, *EVENTS[3:]],
        True,
        False,
    ),
    ("a head at its end", "200 OK", [*EVENTS[2:], ANOTHER_HEAD], True, False),
    (
        "a number of 5,000 digits",
        "200 OK",
        [b"id: " + b"9" * 5000 + b"\ndata: x\n\n"],
        True,
        False,
    ),
    (
        "a part of an event",
        "200 OK",
        [*EVENTS[2:4], b"id: 5\nda"],
        True,
        False,
    ),
]


@pytest.mark.parametrize(
    ("status", "parts", "is_signed", "is_whole"),
    [case[1:] for case in ANSWERS],
    ids=[case[0] for case in ANSWERS],
)
def test_answer_after_a_break(status, parts, is_signed, is_whole):
    """Guards against error texts and heads in the middle of a stream."""
    first = RawTarget("first", *BREAK[0], **BREAK[1])
    following = RawTarget("next", status, parts, is_signed=is_signed)
    found_status, body, is_found_whole, requests = play(first, following)
    assert found_status == 200
    assert WHOLE.startswith(body)
    assert body.startswith(b"".join(EVENTS[:SENT]))
    assert is_found_whole is is_whole
    assert not is_whole or body == WHOLE


# Description, events of the first target before it breaks off, and whether
# the stream may go on at another target.
FIRST_EVENTS = [
    ("numbered", EVENTS[:SENT], True),
    ("a comment", [b": comment\n\n"], True),
    ("without numbers", [b"data: t1\n\n", b"data: t2\n\n"], False),
    ("the last without a number", [EVENTS[0], b"data: x\n\n"], False),
]


@pytest.mark.parametrize(
    ("parts", "may_go_on"),
    [case[1:] for case in FIRST_EVENTS],
    ids=[case[0] for case in FIRST_EVENTS],
)
def test_stream_whose_events_have_no_numbers(parts, may_go_on):
    """Guards against events that come twice as nothing tells them apart."""
    first = RawTarget("first", "200 OK", parts, is_cut=True)
    following = RawTarget("next", "200 OK", EVENTS)
    _, body, is_whole, requests = play(first, following)
    assert body.startswith(b"".join(parts))
    assert is_whole is may_go_on
    assert requests == may_go_on
    if not may_go_on:
        assert body == b"".join(parts)


def test_answer_after_a_break_that_begins_with_a_comment():
    """Guards against sound answers that are taken for errors."""
    first = RawTarget("first", *BREAK[0], **BREAK[1])
    comment = b": here\n\n"
    following = RawTarget("next", "200 OK", [comment, *EVENTS[SENT:]])
    status, body, is_whole, _ = play(first, following)
    assert (status, is_whole) == (200, True)
    assert body.replace(comment, b"") == WHOLE


def test_second_attempt_that_answers_after_the_end():
    """Guards against room that stays booked for an attempt without a use."""

    async def scenario(platform):
        for target in platform.plain_targets:
            platform.store.remove(target)
        first = RawTarget("first", "200 OK", EVENTS)
        following = RawTarget("next", "200 OK", EVENTS)
        first.before_end = lambda: asyncio.sleep(END_SECONDS)
        following.before_begin = lambda: asyncio.sleep(END_SECONDS / 2)
        following.before_end = lambda: asyncio.sleep(TIMEOUT_SECONDS)
        node = platform.nodes[0]
        fleet = node.forwarding.fleet
        await first.start()
        await following.start()
        platform.register(first.entry)
        await platform.wait_until(lambda: len(fleet) == 3)
        reading = asyncio.create_task(
            read_answer(platform.settings[0].callers_address)
        )
        await platform.wait_until(lambda: first.requests)
        platform.register(following.entry)
        answer = await reading
        # The second attempt gets its answer meanwhile.
        await asyncio.sleep(END_SECONDS)
        booked = node.forwarding.ledger.running("next")
        first.stop()
        following.stop()
        return answer, following.requests, booked

    answer, requests, booked = run(scenario)
    assert answer == (200, WHOLE, True)
    assert requests == 1
    assert not booked
