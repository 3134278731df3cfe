"""Targets that write an earlier refusal once more on a kept connection."""

import asyncio
import collections
import contextlib
import json

import hypothesis
import hypothesis.strategies as st
import pytest

from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import ENGINE_SERVICE
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import PLAIN_SERVICE
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import sample_route
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

EVENTS = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 4))
REFUSAL = (
    "HTTP/1.1 503 Service Unavailable\r\nApricotseam-Request-Id: {id}\r\n"
    "Apricotseam-Not-Executed: 1\r\n{fault}Content-Length: 0\r\n\r\n"
)
SUCCESS = (
    "HTTP/1.1 200 OK\r\nApricotseam-Request-Id: {id}\r\n"
    "Apricotseam-Server-Signature: s\r\nContent-Length: {length}\r\n\r\n"
)
PROMISES = {408, 421, 429, 503}
# Time in which a host reads what was written, and in which a target runs.
READ_SECONDS = 0.05
RUN_SECONDS = 0.3


class RepeatingTarget:
    """Target that refuses a request first, and may write that once more.

    Parameters
    ----------
    entry : TargetStandIn
        Has its identity and its entry in the store.
    fault : str
        Address that the refusal blames, or empty.
    script : list of str
        What it does with each request that arrives, after that each with
        the last one: ``refuse``, ``run``, or write the last refusal of the
        connection ``before`` or ``after`` the answer of one that it runs.
    """

    def __init__(self, entry, fault="", script=("refuse", "before")):
        self.entry = entry
        self._fault = f"At-Server: {fault}\r\n" if fault else ""
        self._server = None
        self._writers = []
        self._script = list(script)
        self.run_seconds = RUN_SECONDS
        # Identifiers of the requests that were run.
        self.runs = []

    async def start(self):
        """Listen on the address of the entry."""
        host, port = self.entry.address.split(":")
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self):
        """Stop listening, and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _accept(self, reader, writer):
        self._writers.append(writer)
        last_refusal = b""
        try:
            while True:
                path, request_id = await self._read(reader)
                if path == "/v1/report":
                    writer.write(self._report())
                    continue
                action = self._next_action()
                if action == "refuse":
                    text = REFUSAL.format(id=request_id, fault=self._fault)
                    last_refusal = text.encode()
                    writer.write(last_refusal)
                    continue
                if action == "before":
                    writer.write(last_refusal)
                await self._run(writer, request_id)
                if action == "after":
                    writer.write(last_refusal)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _next_action(self):
        if len(self._script) > 1:
            return self._script.pop(0)
        return self._script[0]

    async def _read(self, reader):
        """Return path and identifier of the next request."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        request_line, *lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines if line)
        fields = {name.lower(): value for name, value in fields.items()}
        await reader.readexactly(int(fields.get("content-length", 0)))
        path = request_line.split(" ")[1]
        return path, fields.get("apricotseam-request-id", "")

    async def _run(self, writer, request_id):
        self.runs.append(request_id)
        await asyncio.sleep(self.run_seconds)
        head = SUCCESS.format(id=request_id, length=len(EVENTS))
        writer.write(head.encode() + EVENTS)

    def _report(self):
        body = json.dumps({"born": 1, "Sequence": 0}).encode()
        return (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )


def add_routes(platform):
    """Add routes whose requests must not run twice."""
    routes = [
        sample_route("/speak/", "streaming", ENGINE_SERVICE, Sticky=True),
        sample_route("/unsafe/", "unsafe", PLAIN_SERVICE, MaxAttempts=2),
    ]
    platform.set_configuration(sample_configuration(2, routes))


async def add_second_tail(platform):
    """Add another target that holds the last layers."""
    other = TargetStandIn("e9", free_address(), is_engine=True)
    other.layers = platform.engine_targets[1].layers
    await other.start()
    platform.engine_targets.append(other)
    platform.register(other)


# Path, and whether the request may run more than once.
PATHS = [("/speak/x", False), ("/chat/x", True)]


@pytest.mark.parametrize(("path", "is_repeatable"), PATHS)
def test_earlier_refusal_of_the_same_request(path, is_repeatable):
    """Guards against requests that run and are told not to have run."""

    async def scenario(platform):
        add_routes(platform)
        first, tail = platform.engine_targets[:2]
        platform.store.remove(first)
        # The head of all chains blames their second target at first.
        await add_second_tail(platform)
        head = TargetStandIn("head", free_address(), is_engine=True)
        head.layers = (0, LAYERS // 2)
        target = RepeatingTarget(head, tail.address)
        await target.start()
        platform.register(head)
        node = platform.nodes[0]
        await platform.wait_until(
            lambda: (
                {t.identity for t in node.forwarding.fleet} >= {"head", "e9"}
                and node.configuration.version == 2
            )
        )
        await asyncio.sleep(READ_SECONDS)
        status, _, body = await platform.send_request(path)
        await asyncio.sleep(RUN_SECONDS)
        await target.stop()
        return status, body, len(target.runs)

    status, body, runs = run(scenario)
    assert not (status == 503 and runs)
    assert runs <= (2 if is_repeatable else 1)
    assert (status, body) == (200, EVENTS)


PATHS_ONCE = ["/speak/x", "/unsafe/x"]
ACTIONS = ["refuse", "before", "refuse", "before", "run", "after"]
SCRIPTS = st.lists(st.sampled_from(ACTIONS), min_size=2, max_size=8)


@hypothesis.settings(max_examples=30)
@hypothesis.given(
    head_script=SCRIPTS,
    plain_script=SCRIPTS,
    paths=st.lists(
        st.sampled_from(PATHS_ONCE + ["/chat/x", "/read/x"]),
        min_size=2,
        max_size=6,
    ),
)
def test_refusals_that_are_written_again(head_script, plain_script, paths):
    """Guards against a refusal that is told of another arrival."""

    async def scenario(platform):
        add_routes(platform)
        first, tail = platform.engine_targets[:2]
        platform.store.remove(first)
        platform.store.remove(platform.plain_targets[0])
        await add_second_tail(platform)
        targets = []
        for identity, is_engine, fault, script in (
            ("head", True, tail.address, head_script),
            ("plain", False, "", plain_script),
        ):
            entry = TargetStandIn(identity, free_address(), is_engine)
            entry.layers = (0, LAYERS // 2) if is_engine else None
            target = RepeatingTarget(entry, fault, script)
            target.run_seconds = 0.01
            await target.start()
            targets.append(target)
            platform.register(entry)
        node = platform.nodes[0]
        await platform.wait_until(
            lambda: (
                {t.identity for t in node.forwarding.fleet}
                == {"head", "plain", "e1", "e9", "p1"}
                and node.configuration.version == 2
            )
        )
        statuses = {}
        for number, path in enumerate(paths):
            request_id = f"r{number}"
            status, _, _ = await platform.send_request(
                path, **{"Apricotseam-Request-Id": request_id}
            )
            statuses[request_id] = (path, status)
        await asyncio.sleep(READ_SECONDS)
        runs = collections.Counter()
        for target in targets:
            await target.stop()
            runs.update(target.runs)
        runs.update(platform.plain_targets[1].runs)
        for request_id, (path, status) in statuses.items():
            if path in PATHS_ONCE:
                assert runs[request_id] <= 1
                assert not (status in PROMISES and runs[request_id])

    run(scenario)
