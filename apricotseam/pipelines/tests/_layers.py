"""An engine of layer states in memory that can be told to fail."""

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


SLOW_QUESTIONS = 30


def mix(version, layer, state, payload):
    """Return the new state of a layer; any change of input changes it."""
    text = f"{version}/{layer}/{state}/{payload}"
    return format(zlib.crc32(text.encode()), "x")


def answer(layers, prompt, count, version="v1"):
    """Return the tokens of a right run."""
    states = [""] * layers
    payload = prompt
    tokens = []
    for _ in range(count):
        for layer in range(layers):
            states[layer] = mix(version, layer, states[layer], payload)
            payload = states[layer]
        payload = "t" + payload
        tokens.append(payload)
    return tokens


class _State:
    def __init__(self, attempt, states, position=0, last=None):
        self.attempt = attempt
        self.states = states
        self.position = position
        self.last = last


class LayerEngine(ModelEngine):
    """Targets by address, each with a range of layers and faults.

    ``faults`` maps an address to a queue of faults that its next steps
    show: ``refuse``, ``lose`` (run, answer lost), ``lose_before`` (not
    run, answer lost), ``wrong``, ``late``, ``slow`` (run after many
    questions), ``die`` or ``""`` for none.
    """

    def __init__(self, ranges, layers):
        self.layers = layers
        self.ranges = dict(ranges)
        self.dead = set()
        self.faults = collections.defaultdict(collections.deque)
        self.streams = {}
        self.seen = collections.defaultdict(list)
        self.calls = 0
        self.pending = []

    def stage(self, address):
        first, last = self.ranges[address]
        return Stage(address, address, "zone", first, last)

    def run_steps(self, address, steps, deadline):
        self.calls += 1
        self._alive(address)
        faults = self.faults[address]
        fault = faults.popleft() if faults else ""
        if fault == "die":
            self.dead.add(address)
        if fault == "slow":
            self.pending.append((address, steps, SLOW_QUESTIONS))
        if fault in ("die", "lose_before", "slow"):
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
            key, _State(step.attempt, [""] * (last - first + 1))
        )
        if step.attempt < state.attempt:
            return _error(step, "stale_attempt")
        state.attempt = step.attempt
        if step.position != state.position:
            return _error(step, "wrong_position")
        self.seen[(address, step.stream, step.attempt)].append(step.position)
        payload = step.payload
        for index in range(len(state.states)):
            state.states[index] = mix(
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
        """Run steps of a slow call once enough questions were asked."""
        for entry in list(self.pending):
            address, steps, questions = entry
            self.pending.remove(entry)
            if questions > 0:
                self.pending.append((address, steps, questions - 1))
                continue
            for step in steps:
                self._run(address, step)

    def position(self, address, stream, deadline):
        self._run_pending()
        state = self._state(address, stream)
        return StreamPosition(next_position=state.position, last=state.last)

    def export_cache(self, address, stream, deadline):
        state = self._state(address, stream)
        return (list(state.states), state.position, state.last)

    def import_cache(self, address, stream, attempt, cache, deadline):
        self._alive(address)
        states, position, last = cache
        self.streams[(address, stream)] = _State(
            attempt, list(states), position, last
        )

    def cancel(self, address, stream, deadline):
        self._alive(address)
        self.streams.pop((address, stream), None)

    def report(self, address, deadline):
        raise NotImplementedError

    def cache_events(self, address, after, deadline):
        raise NotImplementedError

    def order(self, address, order, deadline):
        raise NotImplementedError

    def _state(self, address, stream):
        self._alive(address)
        state = self.streams.get((address, stream))
        if state is None:
            raise TargetError("unknown stream", "rebuild it")
        return state

    def _alive(self, address):
        if address in self.dead:
            raise UnreachableError("no connection", "try another")


class RangeChooser(StageChooser):
    """Chooses any target that holds just the layers, else two that do."""

    def __init__(self, engine):
        self._engine = engine

    def replace(self, chain, stage, excluded):
        wanted = (stage.first, stage.last)
        usable = {
            address: layers
            for address, layers in self._engine.ranges.items()
            if address not in excluded
        }
        for address, layers in usable.items():
            if layers == wanted:
                return (self._engine.stage(address),)
        for one, (first, middle) in usable.items():
            for two, layers in usable.items():
                if first == wanted[0] and layers == (middle + 1, wanted[1]):
                    return self._engine.stage(one), self._engine.stage(two)
        raise NoTargetError("none", "wait")


def _error(step, code):
    return StepResult(
        stream=step.stream,
        attempt=step.attempt,
        position=step.position,
        error=code,
    )
