"""Callers that send requests, wait, give up and return after a refusal."""

import abc
import asyncio
import enum

from apricotseam.http1 import Request
from apricotseam.platform.standins import generation_headers

HOST_NAME = "emulated.example"
RETRY_AFTER_HEADER = b"retry-after"
# Callers leave a stream after a gap of these seconds, or of a multiple of
# the objective or of the allowed pause if that is longer.
MIN_GAP_SECONDS = 2.0
OBJECTIVE_GAP_FACTOR = 4.0
PAUSE_GAP_FACTOR = 8.0
# Longest share of the remaining time for which a caller honours a delay.
MAX_DELAY_SHARE = 1.0 / 3.0


class Outcome(enum.Enum):
    """How a request ended for its caller."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Result:
    """What the caller of one request has seen.

    Attributes
    ----------
    request : PlannedRequest
        The request.
    outcome : Outcome or None
        How it ended; None while it runs.
    first_event_at, first_refused_at, ended_at : float or None
        Times in seconds.
    longest_pause : float
        Longest time between two events, in seconds.
    events : int
        Number of the last event received.
    attempts, refusals : int
        How often it was sent and refused.
    is_out_of_order : bool
        Whether an event was missing or came twice.
    hosts : list of str
        Name of the host of each attempt.
    """

    __slots__ = (
        "attempts",
        "ended_at",
        "events",
        "first_event_at",
        "first_refused_at",
        "hosts",
        "is_out_of_order",
        "last_event_at",
        "longest_pause",
        "outcome",
        "refusals",
        "request",
    )

    def __init__(self, request):
        self.request = request
        self.outcome = None
        self.first_event_at = None
        self.first_refused_at = None
        self.last_event_at = None
        self.ended_at = None
        self.longest_pause = 0.0
        self.events = 0
        self.attempts = 0
        self.refusals = 0
        self.is_out_of_order = False
        self.hosts = []

    @property
    def is_served_at_once(self):
        """Whether the first attempt brought a complete answer."""
        return self.is_served and self.attempts == 1

    @property
    def is_served(self):
        """Whether the answer was complete."""
        return self.outcome in (Outcome.ON_TIME, Outcome.LATE)

    def record_event(self, number, now):
        """Record an event of the stream."""
        if number != self.events + 1:
            self.is_out_of_order = True
        self.events = number
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause = max(self.longest_pause, pause)
        self.last_event_at = now

    def record_refusal(self, now):
        """Record that an attempt was refused."""
        self.refusals += 1
        if self.first_refused_at is None:
            self.first_refused_at = now

    def complete(self, now):
        """Record that the answer was complete."""
        kind = self.request.request_class
        first = self.first_event_at - self.request.at
        is_on_time = (
            first <= kind.objective_seconds
            and self.longest_pause <= kind.pause_seconds
        )
        self.end(Outcome.ON_TIME if is_on_time else Outcome.LATE, now)

    def end(self, outcome, now):
        """Record how the request ended."""
        self.outcome = outcome
        self.ended_at = now


class CallerExchange:
    """Receives the answer to one attempt, with the interface of `Exchange`.

    Parameters
    ----------
    result : Result
        Result of the request.
    now : callable
        Returns the time in seconds.

    Attributes
    ----------
    status : int or None
        HTTP status; None if none was sent.
    retry_after : float or None
        Delay in seconds that a refusal asks for.
    """

    def __init__(self, result, now):
        self._result = result
        self._now = now
        self.is_started = False
        self.is_ended = False
        self.is_cut = False
        self.must_close = False
        self.request_id = ""
        self.end_cause = None
        self.status = None
        self.retry_after = None
        self.progress_at = now()

    def start(self, status, headers, reason=b""):
        """Receive the status line and headers."""
        self.status = status
        self.is_started = True
        for name, value in headers:
            if name.lower() == RETRY_AFTER_HEADER:
                self.retry_after = float(value)

    async def write(self, data, deadline=None):
        """Receive one event."""
        self.progress_at = self._now()
        number = int(data[4 : data.index(b"\n")])
        self._result.record_event(number, self.progress_at)

    def end(self):
        """Receive the end of the answer."""
        self.is_ended = True

    def answer(self, status, body=b"", headers=(), reason=b""):
        """Receive a complete answer."""
        self.start(status, headers)
        self.end()

    def abort_response(self):
        """Notice that the connection was cut."""
        self.is_cut = True
        self.is_ended = True


class Caller(abc.ABC):
    """Sends one request until it is served or the caller gives up.

    Parameters
    ----------
    simulation : Simulation
        Chooses hosts and declares the sizes of answers.
    request : PlannedRequest
        What to send.
    """

    def __init__(self, simulation, request):
        self._simulation = simulation
        self._loop = simulation.loop
        self.request = request
        self.result = Result(request)
        timeout = request.request_class.timeout_seconds
        self._deadline = request.at + timeout

    @property
    def longest_gap_seconds(self):
        """Longest time without an event until it leaves."""
        kind = self.request.request_class
        return max(
            MIN_GAP_SECONDS,
            OBJECTIVE_GAP_FACTOR * kind.objective_seconds,
            PAUSE_GAP_FACTOR * kind.pause_seconds,
        )

    @property
    @abc.abstractmethod
    def max_attempts(self):
        """Number of times that it sends a request."""

    @abc.abstractmethod
    def delay(self, retry_after, seconds_left):
        """Return the seconds to wait after a refusal or a failure.

        Parameters
        ----------
        retry_after : float
            Delay that the host asked for, 0 after a failure.
        seconds_left : float
            Time until the deadline.
        """

    async def run(self):
        """Send the request, again if need be; return the `Result`."""
        result = self.result
        outcome = Outcome.FAILED
        while result.attempts < self.max_attempts:
            result.attempts += 1
            exchange = await self._attempt()
            now = self._loop.time()
            if exchange.status == 200 and exchange.is_ended:
                if not exchange.is_cut:
                    result.complete(now)
                    return result
            is_refused = exchange.status in (429, 503)
            if is_refused:
                result.record_refusal(now)
            outcome = Outcome.REFUSED if is_refused else Outcome.FAILED
            left = self._deadline - now
            if exchange.end_cause == "left" or left <= 0:
                outcome = Outcome.FAILED
                break
            await asyncio.sleep(self.delay(exchange.retry_after or 0.0, left))
            if self._loop.time() >= self._deadline:
                break
        result.end(outcome, self._loop.time())
        return result

    async def _attempt(self):
        """Send the request once; return the `CallerExchange`."""
        request_id = f"{self.request.number}-{self.result.attempts}"
        self._simulation.site.declare(request_id, self.request.size)
        host = await self._simulation.connect(self.request)
        self.result.hosts.append(host.name)
        now = self._loop.time()
        exchange = CallerExchange(self.result, self._loop.time)
        headers = self._headers(request_id, now)
        path = f"/{self.request.request_class.name}/".encode()
        request = Request(b"POST", path, headers, b"", now)
        task = host.handle(request, exchange)
        await self._wait(task, exchange)
        return exchange

    def _headers(self, request_id, now):
        request = self.request
        return generation_headers(
            host=HOST_NAME,
            request_id=request_id,
            key=request.customer.name,
            seconds_left=self._deadline - now,
            prompt_tokens=request.size.prompt,
            max_answer_tokens=round(3 * request.request_class.answer),
            expected_answer_tokens=request.expected_answer,
            prompt_parts=request.prompt_parts,
            last_event=self.result.events,
        )

    async def _wait(self, task, exchange):
        """Wait for an answer; leave after too long a gap."""
        while not task.done():
            leaves_at = exchange.progress_at + self.longest_gap_seconds
            until = min(leaves_at, self._deadline)
            left = until - self._loop.time()
            if left <= 0:
                exchange.end_cause = "left"
                task.cancel()
                left = 1.0
            await asyncio.wait([task], timeout=left)
        if not task.cancelled():
            task.result()


class PatientCaller(Caller):
    """Honours the delay of a refusal, and sends a request twice at most."""

    max_attempts = 2

    def delay(self, retry_after, seconds_left):
        """Return the seconds to wait after a refusal or a failure."""
        return min(retry_after, MAX_DELAY_SHARE * seconds_left)


class HurriedCaller(PatientCaller):
    """Leaves after the shortest gap, whatever the objective is."""

    longest_gap_seconds = MIN_GAP_SECONDS


class EagerCaller(Caller):
    """Returns early and often, whatever delay a refusal asks for."""

    max_attempts = 6

    def delay(self, retry_after, seconds_left):
        """Return the seconds to wait after a refusal or a failure."""
        return 0.1
