"""Clients that do not behave, and what they make a host hold."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import resource

import msgspec

from apricotseam.http1 import TransportError
from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from soak._addresses import AddressAllocator
from soak._hosts import HostProcess
from soak._queries import send_request
from soak._queries import wait_until_ready
from soak._records import RunRecords

READY_SECONDS = 20.0
POLL_SECONDS = 0.05
CROWD_SECONDS = 5.0
# Time for the host to go on after the crowd has left, and for one request.
SETTLE_SECONDS = 10.0
REQUEST_SECONDS = 3.0
BYTES_PER_KIB = 1024
OK_STATUS = 200


class Crowd(msgspec.Struct, frozen=True, kw_only=True):
    """Connections that all send the same, and never read.

    ``listener`` is the field of the settings with the address that they
    connect to. ``first`` is sent once, ``repeated`` for as long as the host
    takes it. ``answer_seconds`` is how long the target takes for an answer,
    ``descriptors`` the host's limit on open files.
    """

    name: str
    connections: int
    listener: str = "callers_address"
    first: bytes = b""
    repeated: bytes = b""
    answer_seconds: float = 0.0
    descriptors: int = 1024


class CrowdRun:
    """A host before one target, and a crowd.

    Parameters
    ----------
    crowd : Crowd
        The clients.
    folder : pathlib.Path
        Folder for the settings and the log of the host.
    clients : dict
        Section ``clients`` of the host's settings.

    Attributes
    ----------
    is_alive : bool
        Whether the host still ran at the end.
    peak_bytes : int
        Most memory that the host had, in bytes.
    most_descriptors : int
        Most open files of the host.
    status : int
        Status of an ordinary request after the crowd, 0 for none.
    """

    def __init__(self, crowd, folder, clients):
        self._crowd = crowd
        self._allocator = allocator = AddressAllocator()
        address = allocator.allocate()
        self._store = StoreStandIn([address])
        self._target = TargetStandIn("t0", allocator.allocate())
        self._host = HostProcess(
            0, address, folder, RunRecords(), allocator, {"clients": clients}
        )
        self._host.settings = msgspec.structs.replace(
            self._host.settings, metrics_address=allocator.allocate()
        )
        self.is_alive = False
        self.peak_bytes = 0
        self.most_descriptors = 0
        self.status = 0

    async def run(self):
        """Start the host, let the crowd send, and ask the host."""
        try:
            await self._start()
            await self._send_crowd()
            await self._ask()
        finally:
            self._measure()
            self.is_alive = self._host.unexpected_exit_code() is None
            self._host.kill()
            self._target.stop()
            self._store.stop()
            self._allocator.release()

    async def _start(self):
        await self._store.start()
        self._store.write_configuration(sample_configuration())
        await self._target.start()
        self._store.register(self._target)
        self._host.start()
        resource.prlimit(
            self._host.process_id,
            resource.RLIMIT_NOFILE,
            (self._crowd.descriptors, self._crowd.descriptors),
        )
        async with asyncio.timeout(READY_SECONDS):
            await wait_until_ready([self._host], POLL_SECONDS)
        await asyncio.sleep(POLL_SECONDS)

    async def _send_crowd(self):
        self._target.answer_seconds = self._crowd.answer_seconds
        loop = asyncio.get_running_loop()
        until = loop.time() + CROWD_SECONDS
        clients = [
            loop.create_task(self._send_one(until))
            for _ in range(self._crowd.connections)
        ]
        while loop.time() < until:
            self._measure()
            await asyncio.sleep(POLL_SECONDS)
        await asyncio.gather(*clients)
        self._target.answer_seconds = 0.0

    async def _send_one(self, until):
        """Connect, send until a time without reading, and leave."""
        address = getattr(self._host.settings, self._crowd.listener)
        ip, _, port = address.rpartition(":")
        writer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout_at(until):
                _, writer = await asyncio.open_connection(ip, int(port))
                writer.transport.pause_reading()
                writer.write(self._crowd.first)
                await writer.drain()
                while self._crowd.repeated:
                    writer.write(self._crowd.repeated)
                    await writer.drain()
                    await asyncio.sleep(0)
                await asyncio.sleep(CROWD_SECONDS)
        if writer is not None:
            writer.transport.abort()

    async def _ask(self):
        """Send ordinary requests until one is answered."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SETTLE_SECONDS
        for number in itertools.count():
            try:
                self.status = await send_request(
                    self._host,
                    "/read/x",
                    caller_headers((), f"after-{number}"),
                    REQUEST_SECONDS,
                )
            except TransportError:
                self.status = 0
            if self.status == OK_STATUS or loop.time() > until:
                return
            await asyncio.sleep(POLL_SECONDS)

    def _measure(self):
        """Note the memory and the open files of the host, if it lives."""
        folder = pathlib.Path(f"/proc/{self._host.process_id}")
        with contextlib.suppress(OSError):
            for line in (folder / "status").read_text().splitlines():
                name, _, value = line.partition(":")
                if name == "VmHWM":
                    self.peak_bytes = int(value.split()[0]) * BYTES_PER_KIB
            descriptors = len(os.listdir(folder / "fd"))
            self.most_descriptors = max(self.most_descriptors, descriptors)
