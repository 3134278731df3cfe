"""Plain requests that end the processes of targets, through complete nodes."""

import asyncio
import random

import pytest

from apricotseam.http1 import Request
from apricotseam.node._quarantine_control import QuarantineControl
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address

HOSTS = 3
TARGETS = 8
# Time from the end of a process until the next one listens.
DOWN_SECONDS = 1.0
LOAD_SECONDS = 7.0
PERIOD_SECONDS = 0.08
# Ends after which hosts should know the request, the time that they have for
# this, and the requests that may reach targets afterwards.
ENDS_TO_LEARN = 3
LEARN_SECONDS = 3.0
ALLOWED_AFTERWARDS = 3
FATAL_PATH = "/read/fatal"


class FatalLoad:
    """Requests of which one kind ends each target that runs it.

    Attributes
    ----------
    ends : list of float
        Loop times at which processes ended.
    arrivals : list of float
        Loop times at which targets received the fatal request.
    statuses : dict of str to list of int
        Statuses of the answers by path.
    """

    def __init__(self, platform):
        self._platform = platform
        self._started = []
        self._tasks = []
        self.ends = []
        self.arrivals = []
        self.statuses = {FATAL_PATH: [], "/read/sound": []}
        for target in platform.plain_targets:
            self._make_fatal(target)

    async def run(self):
        """Send both kinds of requests to random hosts."""
        generator = random.Random(1)
        loop = asyncio.get_running_loop()
        until = loop.time() + LOAD_SECONDS
        while loop.time() < until:
            for path in self.statuses:
                sending = self._send(path, generator.randrange(HOSTS))
                self._tasks.append(loop.create_task(sending))
            await asyncio.sleep(PERIOD_SECONDS)
        await asyncio.gather(*self._tasks)
        for target in self._started:
            target.stop()

    def late_arrivals(self):
        """Return the fatal requests received after hosts should know."""
        learnt_at = self.ends[ENDS_TO_LEARN - 1] + LEARN_SECONDS
        return [at for at in self.arrivals if at > learnt_at]

    async def _send(self, path, host_index):
        status, _, _ = await self._platform.send_request(path, host_index)
        self.statuses[path].append(status)

    def _make_fatal(self, target):
        target.ends_process = self._receive
        target.on_end = self._end

    def _receive(self, request):
        is_fatal = request.target == FATAL_PATH.encode()
        if is_fatal:
            self.arrivals.append(asyncio.get_running_loop().time())
        return is_fatal

    def _end(self, target):
        loop = asyncio.get_running_loop()
        self.ends.append(loop.time())
        self._tasks.append(loop.create_task(self._start_again(target)))

    async def _start_again(self, ended):
        """Start a process with another identity, at a free address."""
        await asyncio.sleep(DOWN_SECONDS)
        target = TargetStandIn(f"{ended.identity}+", free_address())
        self._make_fatal(target)
        await target.start()
        self._started.append(target)
        self._platform.store.remove(ended)
        self._platform.register(target)


async def release(platform, trait):
    """Release a trait at one host; return whether all hosts know."""
    exchange = FakeExchange()
    control = QuarantineControl(
        platform.nodes[0].forwarding.quarantine,
        asyncio.get_running_loop().time,
    )
    control.handle(Request(b"GET", b"/quarantine", []), exchange)
    assert trait.encode() in exchange.body
    target = f"/quarantine?trait={trait}".encode()
    control.handle(Request(b"POST", target, []), exchange)
    assert exchange.status == 200
    await platform.wait_until(
        lambda: not any(n.forwarding.quarantine.held for n in platform.nodes)
    )
    control.handle(Request(b"POST", target, []), exchange)
    return exchange.status == 404


class FakeExchange:
    """Exchange that keeps the last answer."""

    def answer(self, status, body=b"", headers=()):
        """Record an answer."""
        self.status = status
        self.body = body


# Guards against a plain request that ends target after target as its caller
# repeats it at other hosts.
@pytest.mark.parametrize("targets", [3, TARGETS])
def test_plain_request_that_ends_targets_reaches_no_more_of_them(targets):
    async def scenario(platform):
        load = FatalLoad(platform)
        await load.run()
        held = [node.forwarding.quarantine.held for node in platform.nodes]
        return load, held, await release(platform, *held[0])

    load, held, is_released = run(scenario, hosts=HOSTS, plain_targets=targets)
    assert [len(traits) for traits in held] == [1] * HOSTS
    assert is_released
    assert len(load.late_arrivals()) <= ALLOWED_AFTERWARDS
    sound = load.statuses["/read/sound"]
    half = sound[len(sound) // 2 :]
    assert half.count(200) >= 0.5 * len(half)
