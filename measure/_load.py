"""Open-loop load on the callers' interface."""

import asyncio
import time

import msgspec

from measure._connection import HttpConnection

ANSWERED = "answered"
REFUSED = "refused"
FAILED = "failed"
UNREACHED = "unreached"

ADDRESS_TIMEOUT_SECONDS = 2.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One request of the load: when it is due and what it asks."""

    at: float
    key: str
    model: str
    prompt: str
    tokens: int


class Sample:
    """What became of one request; times are monotonic seconds."""

    __slots__ = ("detail", "due", "outcome", "sent", "texts", "times")

    def __init__(self, due):
        self.due = due
        self.sent = None
        self.times = []
        self.texts = []
        self.outcome = FAILED
        self.detail = ""


class Caller:
    """Asks hosts for addresses and keeps the answer until its deadline.

    Parameters
    ----------
    seeds : list of str
        Addresses to ask first.
    key : str
        The customer's key.
    """

    def __init__(self, seeds, key):
        self._seeds = seeds
        self._key = key
        self._addresses = []
        self._deadline = 0.0

    async def connect(self):
        """Return a connection to the best address that answers.

        Raises
        ------
        OSError
            If none does.
        """
        if time.time() >= self._deadline:
            await self._refresh()
        for address in list(self._addresses):
            try:
                return await HttpConnection.open(address)
            except OSError:
                self._deadline = 0.0
        raise OSError("no address answers")

    async def _refresh(self):
        for address in [*self._addresses, *self._seeds]:
            try:
                await asyncio.wait_for(
                    self._ask(address), ADDRESS_TIMEOUT_SECONDS
                )
                return
            except (OSError, EOFError, IndexError, asyncio.TimeoutError):
                continue

    async def _ask(self, address):
        connection = await HttpConnection.open(address)
        try:
            status, headers = await connection.send(
                "GET", "/v1/addresses", b"", self._key
            )
            body = b"".join([p async for p in connection.chunks(headers)])
        finally:
            connection.close()
        if status == 200:
            answer = msgspec.json.decode(body)
            self._addresses = answer["addresses"]
            self._deadline = answer["valid_until"]


class RouterLoad:
    """Sends completions to entry hosts.

    Parameters
    ----------
    seeds : list of str
        Callers' addresses of the hosts.
    """

    def __init__(self, seeds):
        self._seeds = seeds
        self._callers = {}

    async def run(self, request, sample):
        """Send one request and fill its `Sample`."""
        caller = self._callers.get(request.key)
        if caller is None:
            turn = len(self._callers) % len(self._seeds)
            seeds = self._seeds[turn:] + self._seeds[:turn]
            caller = self._callers[request.key] = Caller(seeds, request.key)
        body = msgspec.json.encode(
            {
                "model": request.model,
                "stream": True,
                "max_tokens": request.tokens,
                "messages": [{"role": "user", "content": request.prompt}],
            }
        )
        try:
            connection = await caller.connect()
        except OSError:
            sample.outcome = UNREACHED
            return
        try:
            sample.sent = time.monotonic()
            await self._receive(connection, body, request, sample)
        finally:
            connection.close()

    @staticmethod
    async def _receive(connection, body, request, sample):
        status, headers = await connection.send(
            "POST", "/v1/chat/completions", body, request.key
        )
        pending = b""
        async for part in connection.chunks(headers):
            now = time.monotonic()
            *events, pending = (pending + part).split(b"\n\n")
            for event in events:
                _take_event(event, now, sample)
        if status != 200:
            error = msgspec.json.decode(pending)["error"]
            is_refused = error["outcome"] == "not_run"
            sample.outcome = REFUSED if is_refused else FAILED
            sample.detail = error["code"]


class DirectLoad:
    """Sends steps to the stand-in engines, with nothing in between.

    Parameters
    ----------
    chains : dict of str to list of list of (str, int, int)
        Chains by model: address, first and last layer of each stage.
    generator : random.Random
        Chooses the chains.
    """

    def __init__(self, chains, generator):
        self._chains = chains
        self._random = generator
        self._number = 0

    async def run(self, request, sample):
        """Run one request position by position and fill its `Sample`."""
        self._number += 1
        stream = f"direct-{self._number}"
        model, chains = self._chains[request.model]
        chain = self._random.choice(chains)
        connections = [await HttpConnection.open(s[0]) for s in chain]
        sample.sent = time.monotonic()
        payload = prompt_payload(request.prompt)
        try:
            for position in range(request.tokens):
                for stage, connection in zip(chain, connections, strict=True):
                    step = {
                        "stream": stream,
                        "attempt": 1,
                        "position": position,
                        "payload": payload,
                        "model": model,
                        "version": "v1",
                        "first": stage[1],
                        "last": stage[2],
                    }
                    result = await _step(connection, step)
                    payload = result["payload"]
                payload = result["token"]
                sample.texts.append(payload)
                sample.times.append(time.monotonic())
        finally:
            for connection in connections:
                connection.close()
        sample.outcome = ANSWERED


def prompt_payload(prompt):
    """Return the payload of position 0 for a prompt."""
    return msgspec.json.encode([["user", prompt]]).decode()


def run_load(load, requests, events=(), grace_seconds=30.0):
    """Send each request when it is due, whatever became of the others.

    Parameters
    ----------
    load : RouterLoad or DirectLoad
        How to send one.
    requests : list of Request
        Requests in the order of their times.
    events : list of (float, callable)
        Calls to make at a time from the start, each in a thread.
    grace_seconds : float
        Time after the last arrival for answers to end.

    Returns
    -------
    list of Sample
    """
    return asyncio.run(_run_load(load, requests, events, grace_seconds))


async def _run_load(load, requests, events, grace_seconds):
    start = time.monotonic() + 0.1
    tasks = [
        asyncio.ensure_future(_act(start + at, action))
        for at, action in events
    ]
    samples = []
    for request in requests:
        due = start + request.at
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        sample = Sample(due)
        samples.append(sample)
        tasks.append(asyncio.ensure_future(_guard(load, request, sample)))
    _, pending = await asyncio.wait(tasks, timeout=grace_seconds)
    for task in pending:
        task.cancel()
    return samples


async def _act(due, action):
    await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.to_thread(action)


async def _guard(load, request, sample):
    try:
        await load.run(request, sample)
    except (OSError, EOFError, ValueError, IndexError) as error:
        sample.outcome = FAILED
        sample.detail = type(error).__name__


async def _step(connection, step):
    body = msgspec.json.encode([step])
    _, headers = await connection.send(
        "POST", "/engine/v1/steps", body, "none"
    )
    answer = b"".join([part async for part in connection.chunks(headers)])
    return msgspec.json.decode(answer)[0]


def _take_event(event, now, sample):
    for line in event.split(b"\n"):
        if line == b"data: [DONE]":
            sample.outcome = ANSWERED
        elif line.startswith(b"data: {"):
            data = msgspec.json.decode(line[6:])
            if "error" in data:
                sample.detail = data["error"]["code"]
                return
            sample.texts.append(data["choices"][0]["delta"]["content"])
            sample.times.append(now)
