"""Targets whose answers have a status that is none, or a head that ends."""

import pytest

from apricotseam.node.tests.harness import run
from apricotseam.node.tests.raw_target import RawTarget
from apricotseam.node.tests.test_relay import cut_and_notice

EVENTS = b"".join(f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5))
FIELDS = (
    "Apricotseam-Request-Id: {id}\r\nApricotseam-Server-Signature: raw\r\n"
)


class OddTarget(RawTarget):
    """Target that answers each request with given bytes and closes.

    Parameters
    ----------
    answer : str
        The bytes; ``{id}`` is the identifier of the request.
    """

    def __init__(self, answer):
        super().__init__()
        self._answer = answer

    async def answer_request(self, request_id, writer):
        """Write the bytes."""
        writer.write(self._answer.replace("{id}", request_id).encode())


def framed(status):
    """Return a signed answer with a status and a body."""
    return f"HTTP/1.1 {status} Odd\r\n{FIELDS}Content-Length: 3\r\n\r\nodd"


# Description, bytes of the answer.
ANSWERS = [
    ("status 000", framed("000")),
    ("status 099", framed("099")),
    ("status 600", framed("600")),
    ("status 999", framed("999")),
    ("status 600 without a length", f"HTTP/1.1 600 Odd\r\n{FIELDS}\r\nodd"),
    ("nothing", ""),
    ("part of the status line", "HTTP/1.1 20"),
    ("a status line", "HTTP/1.1 200 OK\r\n"),
    ("part of a field", f"HTTP/1.1 200 OK\r\n{FIELDS}Content-Len"),
    ("part of a length", f"HTTP/1.1 200 OK\r\n{FIELDS}Content-Length: 3"),
    ("no end of the head", f"HTTP/1.1 200 OK\r\n{FIELDS}"),
    ("half of the end", f"HTTP/1.1 200 OK\r\n{FIELDS}\r"),
]
# Path, status and body of the answer to the caller: what may be repeated is,
# what may not fails.
PATHS = [
    ("/read/x", 200, b"answer"),
    ("/feed/x", 200, EVENTS),
    ("/once/x", 502, b""),
]


async def ask(platform, target, path, is_relayed):
    """Return status and body of a request; relayed ones come by host 0."""
    await target.start(platform)
    try:
        if is_relayed:
            await cut_and_notice(platform, 0)
        status, _, body = await platform.send_request(path)
    finally:
        target.stop()
    return status, body, target.requests


# Whether the request comes by another host, and the answers.
WAYS = [(False, answer) for _, answer in ANSWERS]
WAYS += [(True, framed("600")), (True, f"HTTP/1.1 200 OK\r\n{FIELDS}")]


@pytest.mark.parametrize(("path", "status", "body"), PATHS)
@pytest.mark.parametrize(
    ("is_relayed", "answer"),
    WAYS,
    ids=[
        *(name for name, _ in ANSWERS),
        "relayed status 600",
        "relayed without the end of the head",
    ],
)
def test_bytes_that_are_no_answer_are_not_passed_on(
    is_relayed, answer, path, status, body
):
    """Guards against MIXED: odd statuses and cut heads as answers."""

    async def scenario(platform):
        return await ask(platform, OddTarget(answer), path, is_relayed)

    hosts = 2 if is_relayed else 1
    found = run(scenario, plain_targets=0, hosts=hosts)
    assert found == (status, body, 1)
