"""Target whose answers are written byte by byte."""

import abc
import asyncio

from apricotseam.platform.standins import TargetStandIn
from apricotseam.web import free_address


class RawTarget(abc.ABC):
    """Target that writes its own answers, and one that takes its requests.

    The other target is registered when the first request has come.
    """

    def __init__(self):
        self._platform = None
        self._server = None
        self.entry = TargetStandIn("raw", free_address())
        self.other = TargetStandIn("other", free_address())
        self.requests = 0

    @property
    def server(self):
        """The `asyncio.Server` at its address."""
        return self._server

    async def start(self, platform):
        """Listen, and wait until all hosts know this target."""
        self._platform = platform
        await self.other.start()
        host, port = self.entry.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, port)
        await self._register(self.entry)

    def stop(self):
        """Stop both targets."""
        self._server.close()
        self.other.stop()

    @abc.abstractmethod
    async def answer_request(self, request_id, writer):
        """Write the answer to a request."""

    def answer_question(self, writer):
        """Write the answer to a question about the process; none here."""

    async def _register(self, target):
        """Write the entry of a target; wait until all hosts know it."""
        self._platform.register(target)
        fleets = [node.forwarding.fleet for node in self._platform.nodes]
        await self._platform.wait_until(
            lambda: all(fleet.get(target.identity) for fleet in fleets)
        )

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # A probe opens a connection and sends nothing.
            writer.close()
            return
        marker = b"apricotseam-request-id: "
        request_id = head.lower().partition(marker)[2].partition(b"\r\n")[0]
        if request_id:
            self.requests += 1
            await self._register(self.other)
            await self.answer_request(request_id.decode(), writer)
        else:
            self.answer_question(writer)
        writer.close()
