"""Interface and client of model engines that hold a range of layers."""

import abc
import time

import msgspec

from apricotseam.errors import TargetError

CALL_TIMEOUT_SECONDS = 2.0


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One position of one stream for one stage.

    ``payload`` is the prompt or the last token for the first stage and
    the hidden state of the stage before for all others.
    """

    stream: str
    attempt: int
    position: int
    payload: str
    model: str
    version: str
    first: int
    last: int
    priority: int = 0
    tokens: int = 1
    prefix: str = ""


class StepResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one step, or the code of its error.

    ``token`` is set by the stage that holds the last layer; ``end`` says
    that the answer is complete.
    """

    stream: str
    attempt: int
    position: int
    payload: str = ""
    token: str | None = None
    end: bool = False
    error: str | None = None


class StreamPosition(msgspec.Struct, frozen=True, kw_only=True):
    """Where a stage is: the next position it expects, its last result."""

    next_position: int
    last: StepResult | None = None


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load and state that an engine reports, with a lag.

    ``loading`` names the version whose weights it is loading.
    """

    name: str
    model: str
    version: str
    first: int
    last: int
    accelerator: str
    queued_steps: int
    running_streams: int
    max_batch: int
    step_seconds: float
    versions: list[str] = []
    adapters: list[str] = []
    role: str = "both"
    leaving: bool = False
    loading: str | None = None


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prefix entered or left an engine's cache."""

    sequence: int
    prefix: str
    held: bool


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A state-setting order to an engine.

    ``deadline`` is a wall-clock time past which the order is void.
    """

    fencing: int
    deadline: float
    model: str
    version: str
    first: int
    last: int
    adapters: list[str] = []
    role: str = "both"


class ModelEngine(abc.ABC):
    """Calls to one model engine by its address.

    Every call may raise `UnreachableError` if nothing was sent,
    `AnswerLostError` if the answer was lost, and `TargetError` if the
    engine answered with an error.
    """

    @abc.abstractmethod
    def run_steps(self, address, steps, deadline):
        """Run a batch of steps and return one `StepResult` each."""

    @abc.abstractmethod
    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""

    @abc.abstractmethod
    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""

    @abc.abstractmethod
    def import_cache(self, address, stream, attempt, cache, deadline):
        """Give a KV cache to an engine under a new attempt."""

    @abc.abstractmethod
    def cancel(self, address, stream, deadline):
        """Drop a stream."""

    @abc.abstractmethod
    def report(self, address, deadline):
        """Return the `EngineReport`."""

    @abc.abstractmethod
    def cache_events(self, address, after, deadline):
        """Return `CacheEvent` records past a sequence number."""

    @abc.abstractmethod
    def order(self, address, order, deadline):
        """Give a state-setting order."""


class HttpModelEngine(ModelEngine):
    """Model engine reached over HTTP with JSON bodies.

    Parameters
    ----------
    client : HttpClient
        Carries the calls.
    """

    def __init__(self, client):
        self._client = client

    def run_steps(self, address, steps, deadline):
        """Run a batch of steps and return one `StepResult` each."""
        answer = self._call(
            address, "POST", "/engine/v1/steps", steps, deadline
        )
        return answer.json(list[StepResult])

    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""
        path = f"/engine/v1/streams/{stream}"
        answer = self._call(address, "GET", path, None, deadline)
        return answer.json(StreamPosition)

    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""
        path = f"/engine/v1/streams/{stream}/cache"
        return self._call(address, "GET", path, None, deadline).body

    def import_cache(self, address, stream, attempt, cache, deadline):
        """Give a KV cache to an engine under a new attempt."""
        path = f"/engine/v1/streams/{stream}/cache?attempt={attempt}"
        self._call(address, "PUT", path, cache, deadline)

    def cancel(self, address, stream, deadline):
        """Drop a stream."""
        path = f"/engine/v1/streams/{stream}"
        self._call(address, "DELETE", path, None, deadline)

    def report(self, address, deadline):
        """Return the `EngineReport`."""
        answer = self._call(
            address, "GET", "/engine/v1/report", None, deadline
        )
        return answer.json(EngineReport)

    def cache_events(self, address, after, deadline):
        """Return `CacheEvent` records past a sequence number."""
        path = f"/engine/v1/events?after={after}"
        answer = self._call(address, "GET", path, None, deadline)
        return answer.json(list[CacheEvent])

    def order(self, address, order, deadline):
        """Give a state-setting order."""
        self._call(address, "POST", "/engine/v1/orders", order, deadline)

    def _call(self, address, method, path, body, deadline):
        if deadline is None:
            deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        answer = self._client.call(address, method, path, body, deadline)
        if answer.status != 200:
            raise TargetError(
                f"engine {address} answered {method} {path.split('?')[0]}"
                f" with status {answer.status}",
                "read the engine's log",
            )
        return answer
