"""Open-loop load generator for the callers' interface and for engines."""

import asyncio
import time

import msgspec

from measure._connection import HttpConnection

# Outcomes of a request. A refused request was not run; for an unreached one,
# no host accepted a connection.
ANSWERED = "answered"
REFUSED = "refused"
FAILED = "failed"
UNREACHED = "unreached"

ADDRESS_TIMEOUT_SECONDS = 2.0


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One request of the load.

    ``at`` is the time to send it in seconds from the start, ``key`` the API
    key of the customer, ``model`` the name of a pipeline, and ``tokens`` the
    length of the answer.
    """

    at: float
    key: str
    model: str
    prompt: str
    tokens: int


class Sample:
    """Outcome and times of one request.

    Times are seconds of `time.monotonic`. ``due`` is when the request
    should have been sent and ``sent`` when it was; ``times`` and ``texts``
    are the arrival times and texts of its tokens. ``detail`` is the code of
    an error or the name of its class.
    """

    __slots__ = ("detail", "due", "outcome", "sent", "texts", "times")

    def __init__(self, due):
        self.due = due
        self.sent = None
        self.times = []
        self.texts = []
        self.outcome = FAILED
        self.detail = ""


class Caller:
    """Client of one customer that caches the addresses of the hosts.

    The addresses are fetched again when they expire or when a connection to
    one of them fails.

    Parameters
    ----------
    seeds : list of str
        Addresses of hosts that are known from the start.
    key : str
        API key of the customer.
    """

    def __init__(self, seeds, key):
        self._seeds = seeds
        self._key = key
        self._addresses = []
        self._valid_until = 0.0

    async def connect(self):
        """Return a connection to the first address that accepts one.

        Raises
        ------
        OSError
            If no address accepts a connection.
        """
        if time.time() >= self._valid_until:
            await self._refresh_addresses()
        for address in list(self._addresses):
            try:
                return await HttpConnection.open(address)
            except OSError:
                self._valid_until = 0.0
        raise OSError("no host accepts a connection")

    async def _refresh_addresses(self):
        for address in [*self._addresses, *self._seeds]:
            try:
                await asyncio.wait_for(
                    self._fetch_addresses(address), ADDRESS_TIMEOUT_SECONDS
                )
                return
            except (OSError, EOFError, IndexError, asyncio.TimeoutError):
                continue

    async def _fetch_addresses(self, address):
        connection = await HttpConnection.open(address)
        try:
            status, headers = await connection.send(
                "GET", "/v1/addresses", b"", self._key
            )
            body = b"".join([c async for c in connection.chunks(headers)])
        finally:
            connection.close()
        if status == 200:
            answer = msgspec.json.decode(body)
            self._addresses = answer["addresses"]
            self._valid_until = answer["valid_until"]


class RouterLoad:
    """Sends completion requests to entry hosts.

    Parameters
    ----------
    seeds : list of str
        Addresses of the callers' listeners of the hosts.
    """

    def __init__(self, seeds):
        self._seeds = seeds
        self._callers = {}

    async def run(self, request, sample):
        """Send one request and record its progress in the `Sample`."""
        caller = self._callers.get(request.key)
        if caller is None:
            offset = len(self._callers) % len(self._seeds)
            seeds = self._seeds[offset:] + self._seeds[:offset]
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
        async for chunk in connection.chunks(headers):
            now = time.monotonic()
            *events, pending = (pending + chunk).split(b"\n\n")
            for event in events:
                _record_event(event, now, sample)
        if status != 200:
            error = msgspec.json.decode(pending)["error"]
            is_refused = error["outcome"] == "not_run"
            sample.outcome = REFUSED if is_refused else FAILED
            sample.detail = error["code"]


class DirectLoad:
    """Sends steps straight to the stand-in engines, without a router.

    This is the baseline for the cost of the router.

    Parameters
    ----------
    chains : dict of str to (str, list of list of (str, int, int))
        By pipeline: the model and its chains. A chain has the address,
        first layer and last layer of each stage.
    generator : random.Random
        Source of random numbers for the choice of chains.
    """

    def __init__(self, chains, generator):
        self._chains = chains
        self._random = generator
        self._stream_count = 0

    async def run(self, request, sample):
        """Run one request step by step and record it in the `Sample`."""
        self._stream_count += 1
        stream = f"direct-{self._stream_count}"
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
                    result = await _run_step(connection, step)
                    payload = result["payload"]
                payload = result["token"]
                sample.texts.append(payload)
                sample.times.append(time.monotonic())
        finally:
            for connection in connections:
                connection.close()
        sample.outcome = ANSWERED


def prompt_payload(prompt):
    """Return the payload of the first step (position 0) for a prompt."""
    return msgspec.json.encode([["user", prompt]]).decode()


def run_load(load, requests, actions=(), grace_seconds=30.0):
    """Send each request when it is due.

    The load is open-loop: requests do not wait for the answers to others.

    Parameters
    ----------
    load : RouterLoad or DirectLoad
        Sends one request.
    requests : list of Request
        Requests in the order of their times.
    actions : list of (float, callable)
        Times in seconds from the start, each with a function to call then
        in a thread of its own.
    grace_seconds : float
        Time after the last request until unfinished answers are cancelled.

    Returns
    -------
    list of Sample
        One for each request, in the same order.
    """
    return asyncio.run(_run_load(load, requests, actions, grace_seconds))


async def _run_load(load, requests, actions, grace_seconds):
    start = time.monotonic() + 0.1
    tasks = [
        asyncio.ensure_future(_run_action(start + at, action))
        for at, action in actions
    ]
    samples = []
    for request in requests:
        due = start + request.at
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        sample = Sample(due)
        samples.append(sample)
        tasks.append(
            asyncio.ensure_future(_run_request(load, request, sample))
        )
    _, pending = await asyncio.wait(tasks, timeout=grace_seconds)
    for task in pending:
        task.cancel()
    return samples


async def _run_action(due, action):
    await asyncio.sleep(max(0.0, due - time.monotonic()))
    await asyncio.to_thread(action)


async def _run_request(load, request, sample):
    try:
        await load.run(request, sample)
    except (OSError, EOFError, ValueError, IndexError) as error:
        sample.outcome = FAILED
        sample.detail = type(error).__name__


async def _run_step(connection, step):
    body = msgspec.json.encode([step])
    _, headers = await connection.send(
        "POST", "/engine/v1/steps", body, "none"
    )
    answer = b"".join([chunk async for chunk in connection.chunks(headers)])
    return msgspec.json.decode(answer)[0]


def _record_event(event, now, sample):
    """Record a server-sent event: a token, an error or the end."""
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
