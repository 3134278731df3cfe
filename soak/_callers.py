"""Callers that ask for addresses and keep their connections."""

import asyncio
import itertools

from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.platform import decode_answer
from apricotseam.platform.standins import users_headers
from soak._questions import ask_addresses
from soak._records import Attempt
from soak._records import Ending
from soak._records import Kind

DEADLINE_SECONDS = 2.0
# Time past its deadline after which a request counts as forgotten.
HANG_SECONDS = 3.0
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.02
ADDRESSES_SECONDS = 0.5


class Callers:
    """Some callers, each with one connection at a time.

    Parameters
    ----------
    world : World
        Where they send requests.
    random : random.Random
        Source of their choices.
    count : int
        How many there are.
    """

    def __init__(self, world, random, count=6):
        self._world = world
        self._random = random
        self._count = count
        self._numbers = itertools.count()
        self._addresses = []
        self._is_stopping = False

    def stop(self):
        """Send no more requests; `run` returns when all have ended."""
        self._is_stopping = True

    async def run(self):
        """Send requests until `stop` is called."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refresh())
            for _ in range(self._count):
                group.create_task(self._call_on())

    async def _refresh(self):
        """Keep the addresses that hosts tell callers."""
        while not self._is_stopping:
            for host in self._random.sample(
                self._world.hosts, len(self._world.hosts)
            ):
                found = await ask_addresses(host)
                if found:
                    self._addresses = found
                    break
            await asyncio.sleep(ADDRESSES_SECONDS)

    async def _call_on(self):
        connection = None
        while not self._is_stopping:
            await asyncio.sleep(PAUSE_SECONDS)
            if connection is None or not connection.is_usable:
                connection = await self._connect()
            if connection is not None:
                connection = await self._call(connection)
        if connection is not None:
            connection.close()

    async def _connect(self):
        if not self._addresses:
            return None
        loop = asyncio.get_running_loop()
        address = self._random.choice(self._addresses)
        try:
            return await connect(address, loop.time() + CONNECT_SECONDS)
        except TransportError:
            # The answer with the addresses may be a moment old.
            self._addresses = [a for a in self._addresses if a != address]
            return None

    async def _call(self, connection):
        """Send one request; return the connection if it may be kept."""
        attempt = self._new_attempt(connection)
        self._world.records.attempts.append(attempt)
        headers = users_headers(
            request_id=attempt.request_id,
            deadline_seconds=DEADLINE_SECONDS,
            content=attempt.body,
        )
        loop = asyncio.get_running_loop()
        deadline = attempt.sent_at + DEADLINE_SECONDS + HANG_SECONDS
        path = attempt.path.encode()
        kept = None
        try:
            connection.send(b"POST", path, headers, attempt.body)
            answer = await connection.head(deadline)
            self._take_head(attempt, answer)
            while data := await connection.read(deadline):
                attempt.answer += data
            attempt.ending = Ending.WHOLE
            kept = connection
        except TransportTimeoutError:
            attempt.ending = Ending.HUNG
        except TransportError:
            is_cut = attempt.status != 0
            attempt.ending = Ending.CUT if is_cut else Ending.LOST
        finally:
            attempt.ended_at = loop.time()
            if kept is None or self._closes(answer):
                connection.close()
                kept = None
        return kept

    def _new_attempt(self, connection):
        number = next(self._numbers)
        kind = self._random.choice(list(Kind))
        path = f"{kind.value}{number}"
        if kind is Kind.READ and self._random.random() < 0.5:
            path = self._world.records.newest_path
        hosts = [h.settings.callers_address for h in self._world.hosts]
        loop = asyncio.get_running_loop()
        return Attempt(
            request_id=f"q{number}",
            kind=kind,
            path=path,
            host=hosts.index(connection.address),
            sent_at=loop.time(),
            body=f"body of {number}".encode(),
        )

    def _take_head(self, attempt, answer):
        attempt.status = answer.status
        facts = decode_answer(answer)
        attempt.is_signed = facts.is_signed
        attempt.answered_id = facts.request_id
        attempt.retry_after = answer.header(b"retry-after")

    def _closes(self, answer):
        return (answer.header(b"connection") or "").lower() == "close"
