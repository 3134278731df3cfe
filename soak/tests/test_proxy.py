"""What a proxy does to the bytes that pass through it."""

import asyncio

import pytest

from soak._addresses import Addresses
from soak import Proxy

WAIT_SECONDS = 0.05


async def _echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def through_proxy(act):
    """Run a coroutine function of a proxy and a connection through it."""

    async def whole():
        addresses = Addresses()
        far = addresses.take()
        host, _, port = far.rpartition(":")
        server = await asyncio.start_server(_echo, host, port)
        proxy = await Proxy(addresses.take(), far).start()
        host, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, port)
        try:
            return await act(proxy, reader, writer)
        finally:
            writer.close()
            proxy.stop()
            server.close()
            await asyncio.sleep(WAIT_SECONDS)
            addresses.release()

    return asyncio.run(whole())


def test_bytes_pass_both_ways():
    async def act(proxy, reader, writer):
        writer.write(b"hello")
        return await reader.readexactly(5)

    assert through_proxy(act) == b"hello"


@pytest.mark.parametrize("side", ["there", "back"])
def test_bytes_of_one_direction_are_held_and_released(side):
    async def act(proxy, reader, writer):
        getattr(proxy, side).hold()
        writer.write(b"hello")
        held = False
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await reader.readexactly(5)
        except TimeoutError:
            held = True
        proxy.heal()
        return held, await reader.readexactly(5)

    assert through_proxy(act) == (True, b"hello")


def test_reset_ends_connections():
    async def act(proxy, reader, writer):
        writer.write(b"hello")
        await reader.readexactly(5)
        proxy.reset()
        try:
            return await reader.read(1)
        except ConnectionResetError:
            return b""

    assert through_proxy(act) == b""
