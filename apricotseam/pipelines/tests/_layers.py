"""In-memory model engine with fault injection."""

import collections
import zlib

from apricotseam.errors import AnswerLostError
from apricotseam.errors import NoTargetError
from apricotseam.errors import TargetError
from apricotseam.external import ModelEngine
from apricotseam.external import StepResult
from apricotseam.external import StreamPosition
from apricotseam.pipelines import Stage
from apricotseam.pipelines import StageChooser
from apricotseam.web import UnreachableError


SLOW_STAGE_QUERIES = 30
# Position queries that a silent stage leaves without an answer.
SILENT_STAGE_QUERIES = 6


def next_layer_state(version, layer, state, payload):
    """Return a layer's next state, a checksum of all its inputs."""
    text = f"{version}/{layer}/{state}/{payload}"
    return format(zlib.crc32(text.encode()), "x")


def expected_tokens(layers, prompt, count, version="v1"):
    """Return the tokens of a run without faults."""
    states = [""] * layers
    payload = prompt
    tokens = []
    for _ in range(count):
        for layer in range(layers):
            states[layer] = next_layer_state(
                version, layer, states[layer], payload
            )
            payload = states[layer]
        payload = "t" + payload
        tokens.append(payload)
    return tokens


class _StreamState:
    def __init__(self, attempt, states, position=0, last=None):
        self.attempt = attempt
        self.states = states
        self.position = position
        self.last = last


class LayerEngine(ModelEngine):
    """Targets by address, each with a range of layers and faults.

    ``faults`` maps an address to a queue of faults, one for each of its
    next calls:

    - ``refuse``: the connection is refused and the steps are not run;
    - ``lose``: the steps are run and the answer is lost;
    - ``lose_before``: the steps are not run and the answer is lost;
    - ``wrong``: the steps are run and the results carry an error;
    - ``late``: the steps are run and the results are those of others;
    - ``slow``: the steps are run after ``SLOW_STAGE_QUERIES`` position
      queries;
    - ``silent``: the same after ``SILENT_STAGE_QUERIES``, which get no
      answer;
    - ``die``: the target becomes unreachable;
    - ``""``: no fault.
    """

    def __init__(self, ranges, layers):
        self.layers = layers
        self.ranges = dict(ranges)
        self.dead = set()
        self.faults = collections.defaultdict(collections.deque)
        self.streams = {}
        self.executed = collections.defaultdict(list)
        self.calls = 0
        self.pending = []
        self.silent_queries = collections.Counter()

    def stage(self, address):
        first, last = self.ranges[address]
        return Stage(address, address, "zone", first, last)

    def run_steps(self, address, steps, deadline):
        self.calls += 1
        self._check_alive(address)
        faults = self.faults[address]
        fault = faults.popleft() if faults else ""
        if fault == "die":
            self.dead.add(address)
        if fault == "slow":
            self.pending.append((address, steps, SLOW_STAGE_QUERIES))
        if fault == "silent":
            self.pending.append((address, steps, SILENT_STAGE_QUERIES))
            self.silent_queries[address] = SILENT_STAGE_QUERIES
        if fault in ("die", "lose_before", "slow", "silent"):
            raise AnswerLostError("lost", "ask")
        if fault == "refuse":
            raise UnreachableError("refused", "retry")
        results = [self._run(address, step) for step in steps]
        if fault == "lose":
            raise AnswerLostError("lost", "ask")
        if fault == "wrong":
            return [_error(step, "broken") for step in steps]
        if fault == "late":
            return [
                StepResult(stream="other", attempt=1, position=0)
                for _ in steps
            ]
        return results

    def _run(self, address, step):
        first, last = self.ranges[address]
        assert (step.first, step.last) == (first, last)
        key = (address, step.stream)
        state = self.streams.setdefault(
            key, _StreamState(step.attempt, [""] * (last - first + 1))
        )
        if step.attempt < state.attempt:
            return _error(step, "stale_attempt")
        state.attempt = step.attempt
        if step.position != state.position:
            return _error(step, "wrong_position")
        self.executed[(address, step.stream, step.attempt)].append(
            step.position
        )
        payload = step.payload
        for index in range(len(state.states)):
            state.states[index] = next_layer_state(
                step.version, first + index, state.states[index], payload
            )
            payload = state.states[index]
        state.position += 1
        is_last = last == self.layers - 1
        state.last = StepResult(
            stream=step.stream,
            attempt=step.attempt,
            position=step.position,
            payload=payload,
            token="t" + payload if is_last else None,
        )
        return state.last

    def _run_pending(self):
        """Run the steps of slow calls after enough position queries."""
        for entry in list(self.pending):
            address, steps, remaining_queries = entry
            self.pending.remove(entry)
            if remaining_queries > 0:
                self.pending.append((address, steps, remaining_queries - 1))
                continue
            for step in steps:
                self._run(address, step)

    def position(self, address, stream, deadline):
        self._run_pending()
        if self.silent_queries[address]:
            self.silent_queries[address] -= 1
            raise AnswerLostError("no answer", "ask again")
        state = self._state(address, stream)
        return StreamPosition(next_position=state.position, last=state.last)

    def export_cache(self, address, stream, deadline):
        state = self._state(address, stream)
        return (list(state.states), state.position, state.last)

    def import_cache(self, address, stream, attempt, cache, deadline):
        self._check_alive(address)
        states, position, last = cache
        self.streams[(address, stream)] = _StreamState(
            attempt, list(states), position, last
        )

    def cancel(self, address, stream, deadline):
        self._check_alive(address)
        self.streams.pop((address, stream), None)

    def report(self, address, deadline):
        raise NotImplementedError

    def cache_events(self, address, after, deadline):
        raise NotImplementedError

    def order(self, address, order, deadline):
        raise NotImplementedError

    def _state(self, address, stream):
        self._check_alive(address)
        state = self.streams.get((address, stream))
        if state is None:
            raise TargetError("unknown stream", "rebuild it")
        return state

    def _check_alive(self, address):
        if address in self.dead:
            raise UnreachableError("no connection", "try another")


class RangeChooser(StageChooser):
    """Chooses one target with exactly the layers, or else two."""

    def __init__(self, engine):
        self._engine = engine

    def replace(self, chain, stage, excluded):
        needed = (stage.first, stage.last)
        usable = {
            address: layers
            for address, layers in self._engine.ranges.items()
            if address not in excluded
        }
        for address, layers in usable.items():
            if layers == needed:
                return (self._engine.stage(address),)
        for head, (first, first_end) in usable.items():
            for tail, layers in usable.items():
                if first == needed[0] and layers == (
                    first_end + 1,
                    needed[1],
                ):
                    return self._engine.stage(head), self._engine.stage(tail)
        raise NoTargetError("none", "wait")


def _error(step, code):
    return StepResult(
        stream=step.stream,
        attempt=step.attempt,
        position=step.position,
        error=code,
    )
