"""Polls of the event loop's sockets, counted without network."""

import asyncio
import selectors
import socket

import pytest

from apricotseam.node._loop import make_loop
from apricotseam.node._loop import MAX_UNPOLLED_ROUNDS

MESSAGES = 50


class Counter:
    """Counts the polls of all selectors."""

    def __init__(self, monkeypatch):
        self.polls = 0
        select = selectors.DefaultSelector.select

        def count(selector, timeout=None):
            self.polls += 1
            return select(selector, timeout)

        monkeypatch.setattr(selectors.DefaultSelector, "select", count)


async def exchange_messages(tasks):
    """Send messages that each pass through some tasks; return their number."""
    near, far = socket.socketpair()
    near.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=far)
    queues = [asyncio.Queue() for _ in range(tasks + 1)]

    async def pass_on(source, destination):
        while True:
            await destination.put(await source.get())

    running = [
        asyncio.ensure_future(pass_on(*pair))
        for pair in zip(queues, queues[1:])
    ]
    loop = asyncio.get_running_loop()
    for number in range(MESSAGES):
        await loop.sock_sendall(near, b"%4d" % number)
        queues[0].put_nowait(await reader.readexactly(4))
        assert await queues[-1].get() == b"%4d" % number
    for task in running:
        task.cancel()
    writer.close()
    near.close()


@pytest.mark.parametrize(("tasks", "most_polls"), [(1, 2), (3, 2), (8, 4)])
def test_polls_of_a_message(tasks, most_polls, monkeypatch):
    counter = Counter(monkeypatch)
    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(exchange_messages(tasks))
    assert counter.polls <= most_polls * MESSAGES + 10


def test_sockets_are_polled_while_callbacks_are_always_ready():
    async def run():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        near.setblocking(False)
        far.send(b"x")
        received = loop.create_task(loop.sock_recv(near, 1))
        rounds = 0
        while not received.done():
            await asyncio.sleep(0)
            rounds += 1
        near.close()
        far.close()
        return rounds

    with asyncio.Runner(loop_factory=make_loop) as runner:
        rounds = runner.run(run())
    assert rounds <= 2 * (MAX_UNPOLLED_ROUNDS + 1) + 2


def test_timer_is_not_late_while_callbacks_are_always_ready():
    async def run():
        loop = asyncio.get_running_loop()
        due_at = loop.time() + 0.01
        ended = loop.create_future()
        loop.call_at(due_at, ended.set_result, True)
        while not ended.done():
            await asyncio.sleep(0)
        return loop.time() - due_at

    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(run()) < 0.05
