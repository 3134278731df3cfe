"""Interface to and client of model engines that serve layer ranges."""

import abc
import time

import msgspec

from apricotseam.errors import TargetError

CALL_TIMEOUT_SECONDS = 2.0


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One position of one stream, to be computed by one stage.

    ``payload`` is the prompt or the last token for the first stage, and
    the hidden state from the previous stage for all others. ``first`` and
    ``last`` are the first and last layer of the stage, both included. A
    smaller ``priority`` runs first. ``prefix`` identifies the prefix of the
    prompt that the engine may have in its cache, or is empty.
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
    """Result of one step, or its error code.

    ``payload`` is the input for the next stage. ``token`` is set by the stage
    that serves the last layer. ``end`` tells whether the generated text is
    complete.
    """

    stream: str
    attempt: int
    position: int
    payload: str = ""
    token: str | None = None
    end: bool = False
    error: str | None = None


class StreamPosition(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a stream on a stage: its next position, its last result."""

    next_position: int
    last: StepResult | None = None


class EngineReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load and state reported by an engine; may be out of date.

    ``first`` and ``last`` are the first and last layer that the engine
    serves, both included. ``max_batch`` is the number of steps that it runs
    at once, and ``step_seconds`` the time that it takes for such a batch.
    ``versions`` are its current version and those of its open streams.
    ``leaving`` tells whether it is about to shut down. ``loading`` is the
    version whose weights it is loading, if any.
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
    """A prefix was added to or removed from an engine's cache.

    ``held`` is True if the prefix was added.
    """

    sequence: int
    prefix: str
    held: bool


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order that sets the state of an engine.

    ``fencing`` is the fencing token. ``deadline`` is a wall-clock time in
    seconds after which the engine must ignore the order. ``first`` and
    ``last`` are the first and last layer to serve, both included.
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
    """Calls to model engines by address.

    Each method raises `UnreachableError` if nothing was sent,
    `AnswerLostError` if the response was lost, and `TargetError` if the
    engine returned an error. `deadline` is a monotonic time in seconds.
    """

    @abc.abstractmethod
    def run_steps(self, address, steps, deadline):
        """Run a batch of steps; return a `StepResult` for each."""

    @abc.abstractmethod
    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""

    @abc.abstractmethod
    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""

    @abc.abstractmethod
    def import_cache(self, address, stream, attempt, cache, deadline):
        """Import the KV cache of a stream for a new attempt."""

    @abc.abstractmethod
    def cancel(self, address, stream, deadline):
        """Cancel a stream."""

    @abc.abstractmethod
    def report(self, address, deadline):
        """Return the `EngineReport`."""

    @abc.abstractmethod
    def cache_events(self, address, after, deadline):
        """Return each `CacheEvent` after the sequence number `after`."""

    @abc.abstractmethod
    def order(self, address, order, deadline):
        """Send an `Order`."""


class HttpModelEngine(ModelEngine):
    """Client of model engines over HTTP with JSON bodies.

    A call whose `deadline` is None times out after `CALL_TIMEOUT_SECONDS`.

    Parameters
    ----------
    client : HttpClient
        HTTP client that sends the requests.
    """

    def __init__(self, client):
        self._client = client

    def run_steps(self, address, steps, deadline):
        """Run a batch of steps; return a `StepResult` for each."""
        response = self._call(
            address, "POST", "/engine/v1/steps", steps, deadline
        )
        return response.json(list[StepResult])

    def position(self, address, stream, deadline):
        """Return the `StreamPosition` of a stream."""
        path = f"/engine/v1/streams/{stream}"
        response = self._call(address, "GET", path, None, deadline)
        return response.json(StreamPosition)

    def export_cache(self, address, stream, deadline):
        """Return the KV cache of a stream as bytes."""
        path = f"/engine/v1/streams/{stream}/cache"
        return self._call(address, "GET", path, None, deadline).body

    def import_cache(self, address, stream, attempt, cache, deadline):
        """Import the KV cache of a stream for a new attempt."""
        path = f"/engine/v1/streams/{stream}/cache?attempt={attempt}"
        self._call(address, "PUT", path, cache, deadline)

    def cancel(self, address, stream, deadline):
        """Cancel a stream."""
        path = f"/engine/v1/streams/{stream}"
        self._call(address, "DELETE", path, None, deadline)

    def report(self, address, deadline):
        """Return the `EngineReport`."""
        response = self._call(
            address, "GET", "/engine/v1/report", None, deadline
        )
        return response.json(EngineReport)

    def cache_events(self, address, after, deadline):
        """Return each `CacheEvent` after the sequence number `after`."""
        path = f"/engine/v1/events?after={after}"
        response = self._call(address, "GET", path, None, deadline)
        return response.json(list[CacheEvent])

    def order(self, address, order, deadline):
        """Send an `Order`."""
        self._call(address, "POST", "/engine/v1/orders", order, deadline)

    def _call(self, address, method, path, body, deadline):
        if deadline is None:
            deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        response = self._client.call(address, method, path, body, deadline)
        if response.status != 200:
            raise TargetError(
                f"engine {address} answered {method} {path.split('?')[0]}"
                f" with status {response.status}",
                "read the engine's log",
            )
        return response
