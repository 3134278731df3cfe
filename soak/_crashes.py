"""Hosts and targets as processes, under requests that end targets."""

import asyncio
import contextlib
import itertools
import os
import random
import signal
import sys

import msgspec

from apricotseam.http1 import TransportError
from apricotseam.platform.standins import caller_headers
from apricotseam.platform.standins import LAYERS
from apricotseam.platform.standins import prompt_changes
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import StoreStandIn
from apricotseam.platform.standins import TargetStandIn
from soak._addresses import AddressAllocator
from soak._hosts import HostProcess
from soak._queries import send_request
from soak._queries import wait_until_ready
from soak._records import RunRecords
from soak._target_process import SLOTS
from soak._target_process import TargetEvent
from soak._target_process import TargetOptions

FATAL_MARK = "bad0"
READY_SECONDS = 20.0
POLL_SECONDS = 0.05
REQUEST_SECONDS = 6.0
# Time after which the entry of a target that has ended is removed.
ENTRY_TTL_SECONDS = 3.0
OK_STATUS = 200
# Time without fatal requests after which sound ones are counted as usual.
WARM_UP_SECONDS = 2.0
PART_TOKENS = 2
ANSWER_TOKENS = 20


class CrashLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Requests that are sent, and what the fatal ones do.

    ``fatal_rate`` and ``sound_rate`` are in requests per second.
    ``end_seconds``, ``back_seconds`` and ``end_status`` are as in
    `TargetOptions`. ``own_parts`` is the number of parts of a prompt that no
    other request has, ``fatal_marks`` that of the parts that end targets.
    ``power_loss_seconds`` is when, after the first fatal request could be
    sent, a third of the targets are killed at once; None for never.
    """

    name: str
    fatal_rate: float
    sound_rate: float
    end_seconds: float
    back_seconds: float
    own_parts: int = 6
    fatal_marks: int = 1
    customers: int = 2
    is_engine: bool = True
    end_status: int = 0
    seconds: float = 14.0
    power_loss_seconds: float | None = None


class SentRequest(msgspec.Struct, frozen=True):
    """A sound request: when it was sent, and its status, 0 if cut off."""

    at: float
    status: int


class CrashRun:
    """A run of hosts, targets and requests that end targets.

    Parameters
    ----------
    load : CrashLoad
        The requests.
    folder : pathlib.Path
        Folder for the settings and logs of the hosts.
    hosts, targets : int
        Number of hosts and of targets.

    Attributes
    ----------
    ends : list of float
        Monotonic times at which processes of targets ended.
    fatal_arrivals : list of float
        Monotonic times at which targets received fatal requests.
    sound : list of SentRequest
        Sound requests.
    """

    def __init__(self, load, folder, hosts=3, targets=12):
        self._load = load
        self._random = random.Random(1)
        self._numbers = itertools.count()
        self._allocator = allocator = AddressAllocator()
        self._store_addresses = [allocator.allocate() for _ in range(hosts)]
        self._store = StoreStandIn(self._store_addresses)
        self._hosts = [
            HostProcess(n, address, folder, RunRecords(), allocator)
            for n, address in enumerate(self._store_addresses)
        ]
        self._entries = [
            TargetStandIn(f"t{n}", allocator.allocate(), load.is_engine)
            for n in range(targets)
        ]
        self._processes = []
        self._serving = {}
        self._tasks = set()
        self.began_at = 0.0
        self.ends = []
        self.fatal_arrivals = []
        self.sound = []

    async def run(self):
        """Start everything, send all requests, and stop."""
        try:
            await self._start()
            await self._send_all()
        finally:
            await self._stop()

    def late_arrivals(self, ends, learn_seconds):
        """Return fatal requests that targets received too late.

        Parameters
        ----------
        ends : int
            Ends after which hosts should know the requests.
        learn_seconds : float
            Time that they have for this.
        """
        if len(self.ends) < ends:
            return []
        learnt_at = sorted(self.ends)[ends - 1] + learn_seconds
        return [at for at in self.fatal_arrivals if at > learnt_at]

    @property
    def seconds(self):
        """Time in seconds in which fatal requests are sent."""
        return self._load.seconds

    def served_share(self, since, until=float("inf")):
        """Return the share of served sound requests of a time."""
        sent = [r for r in self.sound if since <= r.at < until]
        served = [r for r in sent if r.status == OK_STATUS]
        return len(served) / max(1, len(sent))

    async def _start(self):
        await self._store.start()
        self._store.write_configuration(self._configuration())
        for entry in self._entries:
            await self._start_target(entry)
        for host in self._hosts:
            host.start()
        async with asyncio.timeout(READY_SECONDS):
            await wait_until_ready(self._hosts, POLL_SECONDS)

    async def _stop(self):
        for host in self._hosts:
            host.kill()
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._store.stop()
        self._allocator.release()

    def _configuration(self):
        configuration = sample_configuration()
        engine = dict(configuration["Services"][0]["Engine"])
        engine.update(Slots=SLOTS, LayerMb=1.0)
        configuration["Services"][0]["Engine"] = engine
        configuration["Tenants"] = [
            {"Name": f"c{n}", "ApiKeys": [_key(n)]}
            for n in range(self._load.customers)
        ]
        return configuration

    async def _start_target(self, entry):
        load = self._load
        entry.slots = SLOTS
        if load.is_engine:
            entry.layers = (0, LAYERS)
        options = TargetOptions(
            identity=entry.identity,
            address=entry.address,
            fatal_mark=FATAL_MARK,
            is_engine=load.is_engine,
            end_seconds=load.end_seconds,
            back_seconds=load.back_seconds,
            end_status=load.end_status,
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "soak._target_process",
            msgspec.json.encode(options).decode(),
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self._processes.append(process)
        started = asyncio.Event()
        self._spawn(self._follow(entry, process, started))
        await started.wait()

    async def _follow(self, entry, process, started):
        """Apply what the processes of a target write."""
        loop = asyncio.get_running_loop()
        removal = None
        while line := await process.stdout.readline():
            event = msgspec.json.decode(line, type=TargetEvent)
            if event.kind == "fatal":
                self.fatal_arrivals.append(event.at)
            elif event.kind == "ended":
                self.ends.append(event.at)
                removal = loop.call_later(
                    ENTRY_TTL_SECONDS, self._store.remove, entry
                )
            else:
                if removal is not None:
                    removal.cancel()
                entry.born = event.born_ms
                self._store.register(entry)
                started.set()

    async def _send_all(self):
        loop = asyncio.get_running_loop()
        load = self._load
        self.began_at = loop.time() + WARM_UP_SECONDS
        until = self.began_at + load.seconds
        if load.power_loss_seconds is not None:
            at = self.began_at + load.power_loss_seconds
            loop.call_at(at, self._kill_third)
        await asyncio.gather(
            self._send_at_rate(load.sound_rate, loop.time(), until, False),
            self._send_at_rate(load.fatal_rate, self.began_at, until, True),
        )
        await asyncio.sleep(REQUEST_SECONDS / 2)

    async def _send_at_rate(self, rate, since, until, is_fatal):
        loop = asyncio.get_running_loop()
        for number in itertools.count():
            at = since + number / rate if rate else until
            if at >= until:
                return
            await asyncio.sleep(max(0.0, at - loop.time()))
            self._spawn(self._send(is_fatal))

    async def _send(self, is_fatal):
        loop = asyncio.get_running_loop()
        at = loop.time()
        number = next(self._numbers)
        host = self._random.choice(self._hosts)
        customer = self._random.randrange(self._load.customers)
        headers, path = self._request(number, customer, is_fatal)
        try:
            status = await send_request(host, path, headers, REQUEST_SECONDS)
        except (TransportError, OSError, EOFError):
            status = 0
        if not is_fatal:
            self.sound.append(SentRequest(at, status))

    def _request(self, number, customer, is_fatal):
        """Return the headers and the path of a request."""
        load = self._load
        if not load.is_engine:
            # The fatal requests are the same but for their identifiers.
            path = f"/read/{FATAL_MARK}" if is_fatal else f"/read/{number}"
            customer = 0 if is_fatal else customer
            return self._headers(number, customer, ()), path
        own = [f"{number:06x}{n:02x}" for n in range(load.own_parts)]
        if is_fatal:
            mark = number % load.fatal_marks
            own.insert(len(own) // 2, f"{FATAL_MARK}{mark:04x}")
        parts = [f"c0ffee{customer:02x}", *own, f"{number:08x}ff"]
        return self._headers(number, customer, parts), "/chat/x"

    def _headers(self, number, customer, parts):
        changes = prompt_changes(
            _key(customer), parts, PART_TOKENS, ANSWER_TOKENS
        )
        return caller_headers(changes, f"{number:016x}", REQUEST_SECONDS)

    def _kill_third(self):
        """Kill the processes that serve on every third target at once."""
        for process in self._processes[::3]:
            for child in _children(process.pid):
                os.kill(child, signal.SIGKILL)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _key(customer):
    return f"key-{customer}"


def _children(process_id):
    path = f"/proc/{process_id}/task/{process_id}/children"
    with open(path) as file:
        return [int(text) for text in file.read().split()]
