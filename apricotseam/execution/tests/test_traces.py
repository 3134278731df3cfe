"""Recorded sequences of copies with what each must be told."""

import pathlib

import pytest
import yaml

from apricotseam.clock import ManualClock
from apricotseam.errors import ApricotseamError
from apricotseam.execution import ExecutionRequest
from apricotseam.execution.tests.fakes import Chaos
from apricotseam.execution.tests.fakes import FakeHost
from apricotseam.execution.tests.fakes import FakeService
from apricotseam.execution.tests.fakes import Network
from apricotseam.web import Response

TRACES = pathlib.Path(__file__).parents[3] / "traces"
FAULTS = {"none": "ok", "answer_lost": "after", "late": "late"}
FAULTS["refused"] = "gone"


class Replay:
    """Three hosts that play one trace."""

    def __init__(self, trace):
        self.clock = ManualClock(1000.0)
        self.chaos = Chaos()
        self.network = Network(self.chaos)
        self.service = FakeService(self.chaos)
        self.hosts = {}
        self.runs = 0
        for address in ("h0", "h1", "h2"):
            self.replace(address)
        self.ticket = None
        if trace["request"] == "ticket":
            home = self.hosts[trace["home"]]
            self.ticket = home.tickets.issue("s", "c", 30.0)

    def replace(self, address):
        """Start a later process at an address."""
        incarnation = len(self.network.handlers) + int(self.clock.wall())
        self.clock.advance(1.0)
        self.hosts[address] = FakeHost(
            self.network, self.service, self.clock, address, incarnation
        )

    def play(self, step):
        """Carry out one step."""
        if "pause" in step:
            self.network.down.add(step["pause"])
        elif "wake" in step:
            self.network.down.discard(step["wake"])
        elif "replace" in step:
            self.replace(step["replace"])
        elif "pass" in step:
            self.clock.advance(step["pass"])
        elif "land" in step:
            self.chaos.deliver_late()
        else:
            self.chaos.faults = [FAULTS[f] for f in step.get("faults", [])]
            assert self.copy(self.hosts[step["copy"]]) == step["told"], step
            self.chaos.faults = []

    def copy(self, host):
        """Send one copy and return what it is told."""
        request = ExecutionRequest(
            scope="s",
            customer="c",
            digest="ab" * 32,
            ticket=self.ticket,
            key=None if self.ticket else "booking-17",
        )
        by = host.tickets if self.ticket else host.keys
        try:
            answer = by.run_once(request, self.run)
        except ApricotseamError as error:
            return error.outcome.value
        assert answer.body == b"booked"
        return "answered"

    def run(self):
        """Run the request at the target."""
        self.runs += 1
        return Response(200, b"booked")


@pytest.mark.parametrize(
    "path", sorted(TRACES.glob("execution-*.yaml")), ids=lambda p: p.stem
)
def test_trace(path):
    trace = yaml.safe_load(path.read_text())
    replay = Replay(trace)
    for step in trace["steps"]:
        replay.play(step)
    assert replay.runs == trace["runs"]
