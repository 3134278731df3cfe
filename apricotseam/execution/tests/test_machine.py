"""At most once as a state machine over the real code."""

import uuid

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from apricotseam.clock import ManualClock
from apricotseam.errors import ApricotseamError
from apricotseam.errors import NoTargetError
from apricotseam.errors import Outcome
from apricotseam.errors import OutcomeUnknownError
from apricotseam.execution import ExecutionRequest
from apricotseam.execution.tests.fakes import Chaos
from apricotseam.execution.tests.fakes import FakeHost
from apricotseam.execution.tests.fakes import FakeService
from apricotseam.execution.tests.fakes import Network
from apricotseam.web import Response

ADDRESSES = ["h0", "h1", "h2"]
HOSTS = st.integers(0, 2)
FAULTS = st.sampled_from(
    ["ok", "ok", "copy", "after", "late", "replace", "sleep", "before"]
)
RUNS = st.sampled_from(["answer", "lost", "refused", "copy", "sleep"])
PAUSE_SECONDS = 20.0


class Promise:
    """What one request may do and what its callers were told."""

    def __init__(self, name, ticket=None, key=None):
        self.name = name
        self.ticket = ticket
        self.key = key
        self.runs = 0
        self.copies = 0


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Hosts that die, pause and lose messages; callers that repeat."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(1000.0)
        self.chaos = Chaos()
        self.network = Network(self.chaos)
        self.service = FakeService(self.chaos)
        self.incarnation = 0
        self.hosts = {}
        self.promises = []
        for address in ADDRESSES:
            self.replace(address)
        self.take_ticket(0)
        self.make_keys()

    def replace(self, address):
        self.incarnation += 1
        self.hosts[address] = FakeHost(
            self.network,
            self.service,
            self.clock,
            address,
            self.incarnation,
        )

    def take_ticket(self, host):
        issued = self.hosts[ADDRESSES[host]].tickets.issue("s", "c", 30.0)
        name = f"r{len(self.promises)}"
        self.promises.append(Promise(name, ticket=issued))

    def make_keys(self):
        made = int(self.clock.wall() * 1000) << 80
        timed = str(uuid.UUID(int=made | 7 << 76 | 2 << 62))
        for key in ("booking-17", timed):
            name = f"r{len(self.promises)}"
            self.promises.append(Promise(name, key=key))

    @stateful.rule(which=st.integers(0, 2), host=HOSTS, end=RUNS)
    def send_plain_copy(self, which, host, end):
        self.send_copy(which, host, [], end, host)

    @stateful.rule(
        which=st.integers(0, 2),
        host=HOSTS,
        faults=st.lists(FAULTS, min_size=1, max_size=5),
        end=RUNS,
        other=HOSTS,
    )
    def send_copy(self, which, host, faults, end, other):
        promise = self.promises[which]
        actions = {
            "copy": lambda: self.submit(promise, other, "answer"),
            "replace": lambda: self.replace(ADDRESSES[other]),
            "sleep": lambda: self.clock.advance(PAUSE_SECONDS),
        }
        self.chaos.faults = [actions.get(f, f) for f in faults]
        self.submit(promise, host, end, actions.get(end))
        self.chaos.faults = []

    @stateful.rule(seconds=st.sampled_from([1.0, 31.0, 100.0, 700.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @stateful.rule(host=HOSTS)
    def replace_host(self, host):
        self.replace(ADDRESSES[host])

    @stateful.rule(which=st.integers(0, 2), host=HOSTS, parted=HOSTS)
    def send_while_parted(self, which, host, parted):
        self.network.down = {ADDRESSES[parted]}
        self.service.is_down = True
        self.send_copy(which, host, [], "answer", host)
        self.network.down = set()
        self.service.is_down = False

    @stateful.rule()
    def deliver_late(self):
        self.chaos.deliver_late()

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(promise.runs <= 1 for promise in self.promises)

    def submit(self, promise, host, end, pause=None):
        """Send one copy through one host and check what it is told."""
        runner = self.hosts[ADDRESSES[host]]
        request = ExecutionRequest(
            scope="s",
            customer="c",
            digest="ab" * 32,
            ticket=promise.ticket,
            key=promise.key,
            is_repeat=promise.copies > 0,
        )
        promise.copies += 1

        def run():
            if pause is not None:
                pause()
            if end == "refused":
                raise NoTargetError("no connection", "wait")
            promise.runs += 1
            if end == "lost":
                raise OutcomeUnknownError("lost", "read")
            return Response(200, promise.name.encode())

        by = runner.tickets if promise.ticket else runner.keys
        try:
            response = by.run_once(request, run)
        except ApricotseamError as error:
            if error.outcome is Outcome.NOT_RUN:
                assert promise.runs == 0, error
        else:
            assert response.body == promise.name.encode()
            assert promise.runs == 1


AtMostOnce.TestCase.settings = hypothesis.settings(
    max_examples=500,
    stateful_step_count=10,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
test_at_most_once = AtMostOnce.TestCase
