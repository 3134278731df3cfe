"""What callers and back ends saw during a run."""

import dataclasses
import enum


class Kind(enum.Enum):
    """Kinds of request by the start of their path."""

    CHAT = "/chat/"
    FEED = "/feed/"
    ONCE = "/once/"
    READ = "/read/"

    @property
    def is_stream(self):
        """Whether the answer is a stream of events."""
        return self in (Kind.CHAT, Kind.FEED)


class Ending(enum.Enum):
    """How an attempt ended for its caller."""

    WHOLE = "whole"
    CUT = "cut"
    LOST = "lost"
    HUNG = "hung"
    UNREACHED = "unreached"


@dataclasses.dataclass(slots=True, kw_only=True)
class Attempt:
    """One request of a caller and its answer; times are monotonic seconds."""

    request_id: str
    kind: Kind
    path: str
    host: int
    sent_at: float
    body: bytes
    ended_at: float = 0.0
    status: int = 0
    answer: bytes = b""
    ending: Ending = Ending.UNREACHED
    is_signed: bool = False
    answered_id: str | None = None
    retry_after: str | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Run:
    """A back end's work on a request; ``chain`` is empty without one."""

    request_id: str
    target: str
    chain: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Kill:
    """The end of a host's process by a signal; a monotonic time."""

    host: int
    at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was not kept."""

    promise: str
    request_id: str
    found: str


@dataclasses.dataclass(slots=True)
class Records:
    """All that was seen in a run."""

    attempts: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    kills: list = dataclasses.field(default_factory=list)
    # Exit codes of processes that ended by themselves, by host.
    exits: list = dataclasses.field(default_factory=list)
    healed_at: float = 0.0
    newest_path: str = ""
