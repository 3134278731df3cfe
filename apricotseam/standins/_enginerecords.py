"""Records of a stand-in engine: options, streams, waiting steps."""

import threading

import msgspec

from apricotseam.external import StepResult


class EngineOptions(msgspec.Struct, kw_only=True):
    """What a stand-in engine is made of."""

    name: str
    model: str
    version: str
    layers: int
    first: int
    last: int
    accelerator: str = "standard"
    step_seconds: float = 0.02
    max_batch: int = 16
    checks_fencing: bool = False
    event_gap_every: int = 0
    end_after: int = 0
    leaving: bool = False
    load_seconds: float = 0.0
    weight_store: str | None = None
    adapters: list[str] = []
    role: str = "both"


class Stream:
    """State of one stream at a stage."""

    __slots__ = (
        "attempt",
        "held",
        "last",
        "next_position",
        "states",
        "version",
    )

    def __init__(self, attempt, version, states, held):
        self.attempt = attempt
        self.held = held
        self.version = version
        self.states = states
        self.next_position = 0
        self.last = None


class PendingSteps:
    """A batch of steps of one call that waits for its results."""

    __slots__ = ("done", "left", "results", "steps")

    def __init__(self, steps):
        self.steps = steps
        self.results = [None] * len(steps)
        self.left = len(steps)
        self.done = threading.Event()


class ExportedCache(msgspec.Struct, kw_only=True):
    """KV cache of one stream as a stand-in exports it."""

    version: str
    first: int
    states: list[str]
    next_position: int
    last: StepResult | None = None
