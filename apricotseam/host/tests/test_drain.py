"""Tests of the planned stop, the host list's rules and report pacing."""

import pathlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest
import yaml

from apricotseam.external import ListedHost
from apricotseam.host._drain import Drain
from apricotseam.host._drain import DrainPhase
from apricotseam.host._gate import Gate
from apricotseam.host._listing import Listing
from apricotseam.host._reports import ReportPlan

TRACES = pathlib.Path(__file__).parents[3] / "traces"


def listed(name, state="live"):
    """Return a line of the host list."""
    return ListedHost(
        name=name,
        address=f"10.0.0.1:{len(name)}",
        role="target",
        availability_zone="a",
        state=state,
    )


def load_trace(name):
    """Return the steps of a recorded trace."""
    return yaml.safe_load((TRACES / f"{name}.yaml").read_text())["steps"]


def test_stale_host_list_trace():
    listing = Listing()
    for step in load_trace("stale-host-list"):
        reading = [listed(n, s) for n, s in step["reading"].items()]
        hosts = listing.update(reading, step["at"])
        assert {h.name: h.state for h in hosts} == step["holds"], step


def test_rolling_stop_trace():
    """Callers keep old addresses as long as their answers allow."""
    drain = Drain(valid_seconds=10, margin_seconds=5, linger_seconds=1)
    for step in load_trace("rolling-stop"):
        if "begin" in step:
            drain.begin(step["at"], step["begin"])
        phase = drain.advance(step["at"], step["in_progress"])
        assert phase.value == step["phase"], step


class DrainMachine(stateful.RuleBasedStateMachine):
    """Callers send while their answers are valid; none is refused."""

    VALID_SECONDS = 10.0
    MARGIN_SECONDS = 3.0
    STOP_SECONDS = 60.0

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.drain = Drain(
            valid_seconds=self.VALID_SECONDS,
            margin_seconds=self.MARGIN_SECONDS,
            linger_seconds=0.5,
        )
        self.begun = None
        self.named_until = 0.0
        self.running = 0

    @stateful.rule()
    def name_host(self):
        if self.begun is None or self.now <= self.begun + self.MARGIN_SECONDS:
            self.named_until = self.now + self.VALID_SECONDS

    @stateful.rule()
    def begin(self):
        if self.begun is None:
            self.begun = self.now
        self.drain.begin(self.now, self.now + self.STOP_SECONDS)

    @stateful.rule()
    def send(self):
        phase = self.drain.advance(self.now, self.running)
        if self.now < self.named_until:
            assert phase in (DrainPhase.SERVING, DrainPhase.ANNOUNCED)
            self.running += 1

    @stateful.rule()
    def finish(self):
        self.running = max(0, self.running - 1)

    @stateful.rule(seconds=st.floats(0.1, 8.0))
    def wait(self, seconds):
        self.now += seconds
        phase = self.drain.advance(self.now, self.running)
        if phase is DrainPhase.ENDED and self.running:
            assert self.now >= self.begun + self.STOP_SECONDS


TestDrainMachine = DrainMachine.TestCase
TestDrainMachine.settings = hypothesis.settings(stateful_step_count=30)


def test_gate_counts_until_the_body_is_closed_and_then_refuses():
    statuses = []

    def start_response(status, headers):
        statuses.append(status)

    gate = Gate(lambda environ, start: iter([b"a", b"b"]))
    environ = {"PATH_INFO": "/v1/chat/completions"}
    body = gate(environ, start_response)
    gate.refuse()
    assert (gate.in_progress, list(body)) == (1, [b"a", b"b"])
    body.close()
    body.close()
    assert gate.in_progress == 0
    refused = msgspec.json.decode(gate(environ, start_response)[0])["error"]
    assert (refused["code"], refused["outcome"]) == ("host_leaving", "not_run")
    assert statuses == ["503 Service Unavailable"]
    addresses = gate({"PATH_INFO": "/v1/addresses"}, start_response)
    assert list(addresses) == [b"a", b"b"]


@pytest.mark.parametrize("count, low, high", [(4, 7, 9), (200, 18, 22)])
def test_reports_stay_within_a_rate(count, low, high):
    plan = ReportPlan()
    addresses = [f"10.0.0.1:{n}" for n in range(count)]
    calls = 0
    for tick in range(2000):
        calls += len(plan.due(addresses, 100 + tick * 0.05))
    assert low <= (calls - count) / 100 <= high


def test_dead_target_is_asked_less_often():
    plan = ReportPlan()
    calls = 0
    for tick in range(400):
        if plan.due(["10.0.0.1:1"], 100 + tick * 0.05):
            calls += 1
            plan.note("10.0.0.1:1", False)
    assert calls <= 8
