"""Records of the stand-in engine: options, streams, pending steps."""

import threading

import msgspec

from apricotseam.external import StepResult


class EngineOptions(msgspec.Struct, kw_only=True):
    """Options of a stand-in engine.

    ``first`` and ``last`` are the first and last layer held, both included,
    of ``layers`` in the whole model. ``step_seconds`` is the duration of one
    batch and ``load_seconds`` that of loading weights. With
    ``checks_fencing`` set, orders with an old fencing token or past their
    deadline are refused. Every ``event_gap_every``-th cache event is omitted,
    none if 0. Streams end after ``end_after`` tokens, never if 0.
    ``weight_store`` is the ``ip:port`` of the weight store that must allow
    each load; if it is None, loads start without asking.
    """

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
    """State of one stream at this engine.

    ``placement`` is what the engine held when the stream was started, see
    `placement_of`. ``last_result`` is the result of the last executed step,
    which is returned again if the step is repeated.
    """

    __slots__ = (
        "attempt",
        "last_result",
        "next_position",
        "placement",
        "states",
        "version",
    )

    def __init__(self, attempt, version, states, placement):
        self.attempt = attempt
        self.placement = placement
        self.version = version
        self.states = states
        self.next_position = 0
        self.last_result = None


class PendingSteps:
    """The steps of one call, which waits until all have results."""

    __slots__ = ("done", "remaining", "results", "steps")

    def __init__(self, steps):
        self.steps = steps
        self.results = [None] * len(steps)
        self.remaining = len(steps)
        self.done = threading.Event()


class ExportedCache(msgspec.Struct, kw_only=True):
    """KV cache and position of one stream, for transfer to another engine.

    ``first`` is the first layer of the engine, ``states`` has one item for
    each of its layers, and ``last`` is the result of the last executed step.
    """

    version: str
    first: int
    states: list[str]
    next_position: int
    last: StepResult | None = None
