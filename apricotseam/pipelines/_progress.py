"""Progress of a stream and the decision after a failed step."""

import enum

import msgspec

from apricotseam.pipelines._budget import RecordedInputBudget
from apricotseam.pipelines._chain import Stage

MAX_RECORDED_BYTES = 4 << 20
# Step errors after which the stage is asked for its position.
POSITION_QUERY_CODES = frozenset({"stopped", "wrong_position"})


class Symptom(enum.Enum):
    """How a step failed, as observed by this host."""

    NOT_SENT = "not_sent"
    ANSWER_LOST = "answer_lost"
    LATE_ANSWER = "late_answer"
    WRONG_ANSWER = "wrong_answer"


class StageStatus(enum.Enum):
    """State of a stage, from its answer to a position query.

    ``BEFORE`` means that the stage waits for the failed step, ``DONE`` that
    it has run the step last, and ``ELSEWHERE`` any other position.
    """

    NOT_ASKED = "not_asked"
    SILENT = "silent"
    UNKNOWN_STREAM = "unknown_stream"
    BEFORE = "before"
    DONE = "done"
    ELSEWHERE = "elsewhere"


class Decision(enum.Enum):
    """Next action after a failed step.

    ``ASK`` queries the position of the stage, ``WAIT`` pauses before the
    next query, ``SEND`` sends the step again and ``TAKE`` uses the result
    that the stage still has. ``IMPORT`` moves the KV cache to a replacement
    and ``REPLAY`` recomputes it there.
    """

    ASK = "ask"
    WAIT = "wait"
    SEND = "send"
    TAKE = "take"
    IMPORT = "import"
    REPLAY = "replay"


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """Everything known about a failed step.

    ``stall_deadline`` is the monotonic time in seconds by which a stage
    that answers position queries must have run the step.
    """

    symptom: Symptom
    stall_deadline: float
    status: StageStatus = StageStatus.NOT_ASKED


def decide(evidence, now):
    """Return the next action after a failed step.

    A step whose answer was lost is never sent again within the same
    attempt; the stage is asked for its position instead. If the stage
    answers but does not run the step by the deadline, its KV cache is
    moved to a replacement. If it does not answer or is in an unexpected
    state, a replacement recomputes the cache from the recorded inputs.

    Parameters
    ----------
    evidence : Evidence
        The observed failure and the state of the stage.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    Decision

    Examples
    --------
    >>> seen = Evidence(symptom=Symptom.ANSWER_LOST, stall_deadline=2.0)
    >>> decide(seen, 1.0)
    <Decision.ASK: 'ask'>
    """
    if evidence.symptom is Symptom.WRONG_ANSWER:
        return Decision.REPLAY
    if evidence.status is StageStatus.NOT_ASKED:
        return Decision.ASK
    if evidence.status is StageStatus.DONE:
        return Decision.TAKE
    if evidence.status is not StageStatus.BEFORE:
        return Decision.REPLAY
    if evidence.symptom is Symptom.NOT_SENT:
        return Decision.SEND
    if now < evidence.stall_deadline:
        return Decision.WAIT
    return Decision.IMPORT


def classify_position(answer, attempt, position):
    """Return the `StageStatus` that a stage's answer implies.

    Parameters
    ----------
    answer : StreamPosition
        Answer of the stage to a position query.
    attempt, position : int
        Attempt and position of the failed step.
    """
    if answer.next_position == position:
        return StageStatus.BEFORE
    last = answer.last
    if answer.next_position != position + 1 or last is None:
        return StageStatus.ELSEWHERE
    if (last.attempt, last.position) != (attempt, position):
        return StageStatus.ELSEWHERE
    return StageStatus.DONE if last.error is None else StageStatus.ELSEWHERE


class ChainEntry(msgspec.Struct, frozen=True):
    """A stage of a stream, its attempt and its recorded inputs."""

    stage: Stage
    attempt: int
    inputs: list[str]


class StreamProgress:
    """Stages, attempts and recorded inputs of one stream.

    The inputs of the first stage, the prompt and the tokens, are always
    kept. Inputs of later stages are kept up to a limit in bytes; beyond
    it they are dropped, and replacing a later stage needs a restart from
    the inputs of the first stage.

    Parameters
    ----------
    stages : iterable of Stage
        Stages of the chain in layer order.
    max_bytes : int
        Limit on the recorded inputs of later stages in bytes.
    budget : RecordedInputBudget, optional
        Limit shared by all streams.
    """

    __slots__ = (
        "_attempts",
        "_max_bytes",
        "_budget",
        "_recorded_bytes",
        "_highest_attempt",
        "_last_inputs",
        "_inputs",
        "_stages",
        "excluded",
    )

    def __init__(self, stages, max_bytes=MAX_RECORDED_BYTES, budget=None):
        self._stages = list(stages)
        self._attempts = [1] * len(self._stages)
        self._inputs = [[] for _ in self._stages]
        self._max_bytes = max_bytes
        self._budget = budget or RecordedInputBudget()
        self._recorded_bytes = 0
        self._highest_attempt = 1
        self._last_inputs = [None] * len(self._stages)
        self.excluded = set()

    @property
    def stages(self):
        """Stages in layer order."""
        return tuple(self._stages)

    @property
    def recorded_bytes(self):
        """Size of the recorded inputs of later stages in bytes."""
        return self._recorded_bytes

    @property
    def is_recording(self):
        """Whether the inputs of later stages are also recorded."""
        return self._max_bytes >= 0

    def attempt(self, index):
        """Return the attempt under which a stage runs the stream."""
        return self._attempts[index]

    def inputs(self, index):
        """Return the recorded inputs of a stage, by position."""
        return self._inputs[index]

    def last_input(self, index):
        """Return the most recent input of a stage, which is always kept."""
        return self._last_inputs[index]

    def record(self, index, payloads):
        """Record inputs of a stage at its next positions."""
        self._last_inputs[index] = payloads[-1]
        if index > 0:
            if not self.is_recording:
                return
            if not self._reserve(sum(map(len, payloads))):
                self.drop_inputs()
                return
        self._inputs[index].extend(payloads)

    def replace(self, index, stages):
        """Replace one stage by others under a new attempt number.

        Parameters
        ----------
        index : int
            Index of the stage to replace.
        stages : sequence of Stage
            Stages that cover exactly its layers.
        """
        self._highest_attempt += 1
        count = len(stages)
        recorded = self._inputs[index]
        self._stages[index : index + 1] = stages
        self._attempts[index : index + 1] = [self._highest_attempt] * count
        self._inputs[index : index + 1] = [recorded, *([] for _ in stages[1:])]
        self._last_inputs[index + 1 : index + 1] = [None] * (count - 1)

    def entry(self, index):
        """Return the `ChainEntry` of a stage, to `restore` it later."""
        return ChainEntry(
            self._stages[index],
            self._attempts[index],
            list(self._inputs[index]),
        )

    def restore(self, index, count, entry):
        """Undo `replace` after its stages could not be rebuilt.

        Parameters
        ----------
        index : int
            Index of the first of the stages that replaced the entry.
        count : int
            Number of these stages.
        entry : ChainEntry
            The stage that they replaced.
        """
        self._stages[index : index + count] = [entry.stage]
        self._attempts[index : index + count] = [entry.attempt]
        del self._last_inputs[index + 1 : index + count]
        self._inputs[index : index + count] = [entry.inputs]

    def lacks_inputs(self, index, count):
        """Return whether fewer than ``count`` inputs are recorded."""
        return len(self._inputs[index]) < count

    def _reserve(self, count):
        if self._recorded_bytes + count > self._max_bytes:
            return False
        if not self._budget.reserve(count):
            return False
        self._recorded_bytes += count
        return True

    def drop_inputs(self):
        """Drop the inputs of later stages and stop recording them."""
        self._budget.release(self._recorded_bytes)
        self._max_bytes = -1
        self._recorded_bytes = 0
        for index in range(1, len(self._inputs)):
            self._inputs[index] = []
