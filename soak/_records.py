"""What callers and targets observed during a run."""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """Kinds of request; each value is the path prefix of its requests."""

    CHAT = "/chat/"
    FEED = "/feed/"
    ONCE = "/once/"
    READ = "/read/"

    @property
    def is_stream(self):
        """Whether the response is a stream of events."""
        return self in (RequestKind.CHAT, RequestKind.FEED)


class AttemptOutcome(enum.Enum):
    """How an attempt ended as seen by its caller."""

    # The complete response was read.
    WHOLE = "whole"
    # The connection failed after the head of the response.
    CUT = "cut"
    # The connection failed before the head of the response.
    LOST = "lost"
    # The response did not end in time.
    HUNG = "hung"
    # The attempt has not ended.
    UNREACHED = "unreached"


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One request of a caller and its response.

    Times are in seconds of the monotonic clock; ``status`` is 0 until the
    head of the response is read.
    """

    request_id: str
    kind: RequestKind
    path: str
    host_number: int
    sent_at: float
    body: bytes
    ended_at: float = 0.0
    status: int = 0
    response_body: bytes = b""
    outcome: AttemptOutcome = AttemptOutcome.UNREACHED
    is_signed: bool = False
    response_request_id: str | None = None
    retry_after: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Execution:
    """A request that a target began to run.

    ``chain`` is the chain of engines that executes it, with the layers of
    each, as in ``10.0.0.1:80=0-2,10.0.0.2:80=2-4``. It is empty if a plain
    service executes the request.
    """

    request_id: str
    target: str
    chain: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class HostKill:
    """A host process killed by the soak; ``at`` is in monotonic seconds."""

    host_number: int
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """An invariant that does not hold.

    ``request_id`` is empty if the violation concerns the whole run.
    """

    invariant: str
    request_id: str
    detail: str


@dataclasses.dataclass(slots=True)
class RunRecords:
    """Everything that was observed in one run."""

    attempts: list = dataclasses.field(default_factory=list)
    executions: list = dataclasses.field(default_factory=list)
    kills: list = dataclasses.field(default_factory=list)
    # Host number and exit code of each process that exited unexpectedly.
    unexpected_exits: list = dataclasses.field(default_factory=list)
    # Monotonic time in seconds until which targets and hosts were sound:
    # targets fell silent for a moment, and planned work was done.
    sound_until: float = 0.0
    # Monotonic times in seconds between which too many requests came while
    # targets and hosts were sound.
    overloaded_from: float = 0.0
    overloaded_until: float = 0.0
    # Monotonic time in seconds at which the last fault ended.
    faults_ended_at: float = 0.0
    # Longest time for which the process of the soak itself stood still.
    longest_stall_seconds: float = 0.0
    # A path of the route that only the newest configuration version has.
    newest_route_path: str = ""
