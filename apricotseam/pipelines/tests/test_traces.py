"""Replay of recorded failures of stages and links.

A trace of kind ``recovery`` names targets with their layers, the chain, and
the faults that the next calls of each target show (see `LayerEngine`). One
of kind ``plan`` names targets with rates and rounds of links. ``outcome`` is
what must come of it.
"""

import itertools
import pathlib

import pytest
import yaml

from apricotseam.clock import ManualClock
from apricotseam.config import Model
from apricotseam.errors import FailedError
from apricotseam.pipelines import _metrics
from apricotseam.pipelines import Chain
from apricotseam.pipelines import ChainRunner
from apricotseam.pipelines import plan_chains
from apricotseam.pipelines import Stage
from apricotseam.pipelines import StreamPlan
from apricotseam.pipelines.tests._layers import answer
from apricotseam.pipelines.tests._layers import LayerEngine
from apricotseam.pipelines.tests._layers import RangeChooser

TRACES = pathlib.Path(__file__).parents[3] / "traces"
WAYS = ("ask", "import", "replay", "restart", "outwait", "none")


def load(kind):
    """Return the traces of a kind by name."""
    found = {}
    for path in sorted(TRACES.glob("*.yaml")):
        trace = yaml.safe_load(path.read_text())
        if isinstance(trace, dict) and trace.get("kind") == kind:
            found[path.stem] = trace
    return found


RECOVERIES = load("recovery")
PLANS = load("plan")


def ways():
    """Return how often each way of recovery was taken so far."""
    return {way: _metrics.RECOVERIES.labels(way)._value.get() for way in WAYS}


@pytest.mark.parametrize("name", RECOVERIES)
def test_recovery_follows_the_trace(name):
    trace = RECOVERIES[name]
    engine = LayerEngine(
        {n: tuple(r) for n, r in trace["targets"].items()}, trace["layers"]
    )
    for target, faults in trace["faults"].items():
        engine.faults[target].extend(faults)
    clock = ManualClock()
    runner = ChainRunner(engine, clock, 0.5, wait=clock.advance)
    stages = tuple(map(engine.stage, trace["chain"]))
    plan = StreamPlan(
        stream="s",
        chain=Chain("m", "v1", stages),
        prompt="hello",
        max_tokens=trace["tokens"],
        layers=trace["layers"],
    )
    before = ways()
    got = []
    failed = None
    try:
        got.extend(runner.run(plan, RangeChooser(engine)))
    except FailedError as error:
        failed = error
    outcome = trace["outcome"]
    whole = answer(trace["layers"], "hello", trace["tokens"])
    if outcome["whole"]:
        assert failed is None
        assert [token.text for token in got] == whole
    else:
        assert failed.remedy
    taken = {way: count - before[way] for way, count in ways().items()}
    assert {w: n for w, n in taken.items() if n} == outcome["ways"]
    check_stages(engine, trace)


def check_stages(engine, trace):
    """Check who ran the last position, and the order at each stage."""
    runs = {}
    for (target, _, _), positions in engine.seen.items():
        start = positions[0]
        assert positions == list(range(start, start + len(positions)))
        runs[target] = max(runs.get(target, 0), positions[-1])
    if trace["outcome"]["whole"]:
        last = [t for t, p in runs.items() if p == trace["tokens"] - 1]
        assert sorted(last) == sorted(trace["outcome"]["last_stages"])


@pytest.mark.parametrize("name", PLANS)
def test_plan_follows_the_trace(name):
    trace = PLANS[name]
    model = Model(
        name="m", layers=trace["layers"], versions=["v1"], serving="v1"
    )
    stages = [
        Stage(t["name"], t["name"], t["zone"], *t["layers"])
        for t in trace["targets"]
    ]
    rates = {t["name"]: float(t["rate"]) for t in trace["targets"]}
    for number in trace["rounds"]:
        links = {
            frozenset(link["between"]): float(link["rate"])
            for link in number["links"]
        }
        plan = plan_chains(model, "v1", stages, rates, links)
        crossing = sum(
            weight
            for chain, weight in plan.chains
            for one, two in itertools.pairwise(chain.stages)
            if one.availability_zone != two.availability_zone
        )
        outcome = number["outcome"]
        assert plan.planned == pytest.approx(outcome["tokens_per_second"])
        assert crossing == pytest.approx(outcome["crossing"])
