"""No request that callers were told has not run ever runs at a target.

Whole requests go through two hosts to targets that follow scripts. Targets
write down what they run, also after the answer, and the test compares.
"""

import asyncio
import itertools

import hypothesis
import hypothesis.strategies as st

from apricotseam.fleet import Health
from apricotseam.http1 import TransportError
from apricotseam.node.tests.harness import SimulatedPlatform
from apricotseam.node.tests.test_relay import cut_off
from apricotseam.node.tests.test_relay import meet
from apricotseam.platform.standins import not_run_headers
from apricotseam.platform.standins import signed_headers
from apricotseam.platform.standins import TargetStandIn

PROMISES = {408, 421, 429, 503}
PATHS = ["/once/x", "/read/x", "/feed/x", "/chat/x"]
DEADLINE_MS = 350
# Time after the receipt of a request at which a late target runs it.
LATE_SECONDS = 0.5
DELAY_SECONDS = 0.15
# What a target does with a request that it does not run, and with one that it
# runs. The numbers are statuses without the mark that nothing was run.
DECLINES = ["decline", "misdirect", "reset", "restart", "cut host"]
RUNS = [
    "good",
    "delay",
    "late",
    "reset after run",
    "restart after run",
    "cut host after run",
    "stray decline",
    "nameless decline",
    408,
    429,
    500,
    503,
]
ENVIRONMENTS = ["", "first host cut off", "host stops", "other host stops"]
numbers = itertools.count()


class ScriptedTarget(TargetStandIn):
    """Target that treats each arrival of a request as its script says.

    Parameters
    ----------
    platform : ScriptedPlatform
        Holds the scripts, and what was run.
    *arguments, **options
        As for `TargetStandIn`.
    """

    def __init__(self, platform, *arguments, **options):
        super().__init__(*arguments, **options)
        self._platform = platform

    async def _serve(self, request, exchange):
        request_id = request.header(b"apricotseam-request-id")
        actions = self._platform.scripts.get(request_id)
        action = actions.pop(0) if actions else "good"
        if action in RUNS and action != "late":
            self._platform.runs.add(request_id)
        await self._act(action, request_id, request, exchange)

    async def _act(self, action, request_id, request, exchange):
        platform = self._platform
        if action == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_SECONDS, platform.runs.add, request_id)
            await asyncio.sleep(LATE_SECONDS)
        elif action in ("decline", "stray decline"):
            named = "another" if action == "stray decline" else request_id
            exchange.answer(503, headers=not_run_headers(named))
        elif action == "nameless decline":
            exchange.answer(503, headers=not_run_headers("")[1:])
        elif action == "misdirect":
            exchange.answer(421, headers=signed_headers(request_id))
        elif action in ("reset", "reset after run"):
            exchange.abort_response()
        elif action in ("restart", "restart after run"):
            await platform.replace(self)
        elif action in ("cut host", "cut host after run"):
            cut_off(platform.nodes[0])
            exchange.abort_response()
        elif isinstance(action, int):
            exchange.answer(action, headers=signed_headers(request_id))
        else:
            if action == "delay":
                await asyncio.sleep(DELAY_SECONDS)
            await super()._serve(request, exchange)


class ScriptedPlatform(SimulatedPlatform):
    """Two hosts and targets that follow scripts."""

    def __init__(self):
        super().__init__(engine_targets=4, plain_targets=3, hosts=2)
        self.engine_targets = [
            ScriptedTarget(self, t.identity, t.address, is_engine=True)
            for t in self.engine_targets
        ]
        self.plain_targets = [
            ScriptedTarget(self, t.identity, t.address)
            for t in self.plain_targets
        ]
        # Actions that are left for a request, by its identifier.
        self.scripts = {}
        # Identifiers of the requests that were run.
        self.runs = set()
        self._open = []
        self._restarts = set()
        self._restart_lock = asyncio.Lock()

    async def __aenter__(self):
        await super().__aenter__()
        await meet(self)
        self._open = [node.forwarding.pool.open for node in self.nodes]
        return self

    async def replace(self, target):
        """End a target's process; another one starts in its place.

        This ends the connection of the request, and so the calling task.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._replace(target))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)
        await asyncio.shield(task)

    async def _replace(self, target):
        async with self._restart_lock:
            target.stop()
            layers = target.layers
            target.restart()
            target.layers = layers
            self.register(target)
            await target.start()

    def reset(self, environment):
        """Forget earlier failures, and bring an environment about."""
        for node, open_connection in zip(self.nodes, self._open):
            context = node.forwarding
            context.pool.open = open_connection
            context.shutdown_at = None
            context.prober.reach._lost_since.clear()
            context.prober.reach._failed.clear()
            for target in context.fleet:
                target.health = Health()
        if environment == "first host cut off":
            cut_off(self.nodes[0])
        elif environment:
            index = 0 if environment == "host stops" else 1
            self.nodes[index].forwarding.shutdown_at = 0.0

    async def send_scripted(self, path, host_index, actions):
        """Send a request; return its identifier and status, None without."""
        request_id = f"r{next(numbers)}"
        self.scripts[request_id] = list(actions)
        try:
            status, _, _ = await self.send_request(
                path,
                host_index,
                Apricotseam_Request_Id=request_id,
                Apricotseam_Deadline_Ms=str(DEADLINE_MS),
            )
        except TransportError:
            status = None
        return request_id, status

    async def run_example(self, environment, requests):
        """Send requests at once; return the false promises, and statuses."""
        self.reset(environment)
        answers = await asyncio.gather(
            *(self.send_scripted(*request) for request in requests)
        )
        await asyncio.sleep(LATE_SECONDS)
        return [
            (request, status)
            for request, (request_id, status) in zip(requests, answers)
            if status in PROMISES and request_id in self.runs
        ], [status for _, status in answers]


requests_to_send = st.tuples(
    st.sampled_from(PATHS),
    st.sampled_from([0, 0, 1]),
    st.lists(st.sampled_from(DECLINES + RUNS), min_size=1, max_size=3),
)


# Guards against a status with which callers repeat a request that has run, or
# still runs.
def test_no_request_runs_that_was_promised_not_to():
    seen = []
    with asyncio.Runner() as runner:
        platform = ScriptedPlatform()
        runner.run(platform.__aenter__())

        @hypothesis.settings(
            max_examples=25,
            deadline=None,
            derandomize=True,
            database=None,
            # An example takes almost a second; its requests say enough.
            phases=[hypothesis.Phase.generate],
        )
        @hypothesis.given(
            st.sampled_from(ENVIRONMENTS),
            st.lists(requests_to_send, min_size=8, max_size=16),
        )
        def check(environment, requests):
            false_promises, statuses = runner.run(
                platform.run_example(environment, requests)
            )
            seen.extend(statuses)
            assert not false_promises

        try:
            check()
        finally:
            runner.run(platform.__aexit__())
    # The scripts lead to promises as well as to failures and answers.
    assert {200, 502, 503, 504} <= set(seen)
