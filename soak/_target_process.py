"""A target as processes of its own, each of which some requests end.

The first process waits for the second, which serves. Once the second has
ended, another one serves under the same identity and address.
"""

import asyncio
import os
import sys
import time

import msgspec

from apricotseam.platform.standins import decode_forwarded_request
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import signed_headers
from apricotseam.platform.standins import TargetStandIn

# Exit code of a process that a request has ended.
ENDED_EXIT_CODE = 9
SLOTS = 96


class TargetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a target does.

    Parameters
    ----------
    identity, address : str
        As in its entry in the store.
    fatal_mark : str
        Requests with it in their path or in a part of their prompt end the
        process.
    is_engine : bool
        Whether it answers with streams.
    end_seconds : float
        Time from the receipt of such a request to the end.
    back_seconds : float
        Time from the end of a process to the start of the next one.
    end_status : int
        Status with which such a request is answered before the end. With 0
        the end breaks off the stream, or comes before any other answer.
    events : int
        Number of events of a stream.
    event_seconds : float
        Time between two events.
    """

    identity: str
    address: str
    fatal_mark: str
    is_engine: bool
    end_seconds: float
    back_seconds: float
    end_status: int = 0
    events: int = 20
    event_seconds: float = 0.1


class TargetEvent(msgspec.Struct, frozen=True):
    """Line that the processes write to their output.

    ``kind`` is ``started``, ``fatal``, which is the receipt of a request
    that ends the process, or ``ended``. ``at`` is monotonic time in seconds.
    ``born_ms`` is the start of the process that serves.
    """

    kind: str
    at: float
    born_ms: int


class FatalStandIn(TargetStandIn):
    """Stand-in whose process some requests end.

    Parameters
    ----------
    options : TargetOptions
        What it does.
    """

    def __init__(self, options):
        super().__init__(options.identity, options.address, options.is_engine)
        self._options = options
        self.slots = SLOTS
        self.born = round(time.time() * 1000)
        self.events = options.events
        self.event_seconds = options.event_seconds
        if options.is_engine:
            self.layers = (0, LAYERS)

    def write_event(self, kind):
        """Write a `TargetEvent` to the output."""
        event = TargetEvent(kind, time.monotonic(), self.born)
        os.write(1, msgspec.json.encode(event) + b"\n")

    async def _serve(self, request, exchange):
        if not self._is_fatal(request):
            await super()._serve(request, exchange)
            return
        self.write_event("fatal")
        loop = asyncio.get_running_loop()
        loop.call_later(self._options.end_seconds, os._exit, ENDED_EXIT_CODE)
        if not self._options.end_status:
            await self._begin_answer(request, exchange)
            return
        forwarded = decode_forwarded_request(request.headers)
        headers = signed_headers(forwarded.request_id)
        exchange.answer(self._options.end_status, b"ended", headers)

    async def _begin_answer(self, request, exchange):
        """Begin to answer a stream; answer nothing else before the end."""
        if self._options.is_engine:
            await super()._serve(request, exchange)
        else:
            await asyncio.Event().wait()

    def _is_fatal(self, request):
        mark = self._options.fatal_mark
        parts = decode_forwarded_request(request.headers).prompt_parts
        texts = (request.target.decode(), *parts)
        return any(mark in text for text in texts)


async def _serve_forever(options):
    target = await FatalStandIn(options).start()
    target.write_event("started")
    await asyncio.Event().wait()


def main(text):
    """Serve under the options in a JSON text, process after process."""
    options = msgspec.json.decode(text, type=TargetOptions)
    while True:
        child = os.fork()
        if child == 0:
            asyncio.run(_serve_forever(options))
        os.waitpid(child, 0)
        ended = TargetEvent("ended", time.monotonic(), 0)
        os.write(1, msgspec.json.encode(ended) + b"\n")
        time.sleep(options.back_seconds)


if __name__ == "__main__":
    main(sys.argv[1])
