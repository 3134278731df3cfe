"""What is recorded of a stream and what is decided when a stage fails."""

import enum

import msgspec

from apricotseam.pipelines._budget import RecordBudget

RECORDED_BYTES = 4 << 20
ASK_FIRST_CODES = frozenset({"stopped", "wrong_position"})


class Symptom(enum.Enum):
    """What was seen when a step did not succeed."""

    NOT_SENT = "not_sent"
    ANSWER_LOST = "answer_lost"
    LATE_ANSWER = "late_answer"
    WRONG_ANSWER = "wrong_answer"


class Word(enum.Enum):
    """What a stage said when it was asked for its position."""

    NOT_ASKED = "not_asked"
    SILENT = "silent"
    UNKNOWN_STREAM = "unknown_stream"
    BEFORE = "before"
    DONE = "done"
    ELSEWHERE = "elsewhere"


class Decision(enum.Enum):
    """What to do about a step that did not succeed."""

    ASK = "ask"
    WAIT = "wait"
    SEND = "send"
    TAKE = "take"
    IMPORT = "import"
    REPLAY = "replay"


class Evidence(msgspec.Struct, frozen=True, kw_only=True):
    """All that is known of a step that did not succeed.

    ``stall_deadline`` is the monotonic time by which a stage that answers
    questions must have run the step.
    """

    symptom: Symptom
    stall_deadline: float
    word: Word = Word.NOT_ASKED


def decide(evidence, now):
    """Return the `Decision` that follows from evidence.

    A step whose answer was lost is never sent again at the same attempt:
    the stage is asked where it is. A stage that answers but does not run
    the step by the deadline gives its KV cache to a replacement; a stage
    that is silent or in another state is replaced by replay.

    Parameters
    ----------
    evidence : Evidence
        What was seen and what the stage said.
    now : float
        Monotonic time in seconds.

    Examples
    --------
    >>> seen = Evidence(symptom=Symptom.ANSWER_LOST, stall_deadline=2.0)
    >>> decide(seen, 1.0)
    <Decision.ASK: 'ask'>
    """
    if evidence.symptom is Symptom.WRONG_ANSWER:
        return Decision.REPLAY
    if evidence.word is Word.NOT_ASKED:
        return Decision.ASK
    if evidence.word is Word.DONE:
        return Decision.TAKE
    if evidence.word is not Word.BEFORE:
        return Decision.REPLAY
    if evidence.symptom is Symptom.NOT_SENT:
        return Decision.SEND
    if now < evidence.stall_deadline:
        return Decision.WAIT
    return Decision.IMPORT


def read_word(answer, attempt, position):
    """Return the `Word` of a stage's `StreamPosition`.

    Parameters
    ----------
    answer : StreamPosition
        What the stage answered.
    attempt, position : int
        Attempt and position of the step in question.
    """
    if answer.next_position == position:
        return Word.BEFORE
    last = answer.last
    if answer.next_position != position + 1 or last is None:
        return Word.ELSEWHERE
    if (last.attempt, last.position) != (attempt, position):
        return Word.ELSEWHERE
    return Word.DONE if last.error is None else Word.ELSEWHERE


class StreamProgress:
    """Stages, attempts and recorded inputs of one stream.

    The first stage's inputs, the prompt and the tokens, are always kept.
    Inputs of later stages are kept up to a bound in bytes; past it they
    are dropped and a rebuild starts from the first stage's inputs.

    Parameters
    ----------
    stages : iterable of Stage
        Stages of the chain in layer order.
    bound_bytes : int
        Bound on the recorded inputs of later stages.
    budget : RecordBudget, optional
        Bound on those of all streams.
    """

    __slots__ = (
        "_attempts",
        "_bound_bytes",
        "_budget",
        "_bytes",
        "_highest_attempt",
        "_last_inputs",
        "_inputs",
        "_stages",
        "excluded",
    )

    def __init__(self, stages, bound_bytes=RECORDED_BYTES, budget=None):
        self._stages = list(stages)
        self._attempts = [1] * len(self._stages)
        self._inputs = [[] for _ in self._stages]
        self._bound_bytes = bound_bytes
        self._budget = budget or RecordBudget()
        self._bytes = 0
        self._highest_attempt = 1
        self._last_inputs = [None] * len(self._stages)
        self.excluded = set()

    @property
    def stages(self):
        """Stages in layer order."""
        return tuple(self._stages)

    @property
    def recorded_bytes(self):
        """Bytes of recorded inputs of later stages."""
        return self._bytes

    @property
    def is_complete(self):
        """Whether inputs of all stages are recorded."""
        return self._bound_bytes >= 0

    def attempt(self, index):
        """Return the attempt under which a stage runs the stream."""
        return self._attempts[index]

    def inputs(self, index):
        """Return the recorded inputs of a stage, by position."""
        return self._inputs[index]

    def last_input(self, index):
        """Return the newest input of a stage; it is always kept."""
        return self._last_inputs[index]

    def record(self, index, payloads):
        """Record inputs of a stage at its next positions."""
        self._last_inputs[index] = payloads[-1]
        if index > 0:
            if not self.is_complete:
                return
            if not self._take(sum(map(len, payloads))):
                self.drop()
                return
        self._inputs[index].extend(payloads)

    def replace(self, index, stages):
        """Put stages in the place of one, each under a new attempt.

        Parameters
        ----------
        index : int
            Place of the stage that is given up.
        stages : sequence of Stage
            Stages that cover just its layers.
        """
        self._highest_attempt += 1
        count = len(stages)
        kept = self._inputs[index]
        self._stages[index : index + 1] = stages
        self._attempts[index : index + 1] = [self._highest_attempt] * count
        self._inputs[index : index + 1] = [kept, *([] for _ in stages[1:])]
        self._last_inputs[index + 1 : index + 1] = [None] * (count - 1)

    def merge(self, index, count, inputs):
        """Join stages into one place again after a rebuild failed.

        Parameters
        ----------
        index : int
            Place of the first of them.
        count : int
            Number of stages.
        inputs : list of str
            Recorded inputs of the joined place.
        """
        del self._stages[index + 1 : index + count]
        del self._attempts[index + 1 : index + count]
        del self._last_inputs[index + 1 : index + count]
        self._inputs[index : index + count] = [inputs]

    def lacks_inputs(self, index, count):
        """Return whether a stage's first inputs were dropped."""
        return len(self._inputs[index]) < count

    def _take(self, count):
        if self._bytes + count > self._bound_bytes:
            return False
        if not self._budget.take(count):
            return False
        self._bytes += count
        return True

    def drop(self):
        """Drop the inputs of later stages and record no more of them."""
        self._budget.give_back(self._bytes)
        self._bound_bytes = -1
        self._bytes = 0
        for index in range(1, len(self._inputs)):
            self._inputs[index] = []
