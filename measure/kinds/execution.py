"""Non-idempotent calls that are repeated while faults are injected."""

import collections
import concurrent.futures
import random
import statistics
import threading
import time
import uuid

import msgspec

from apricotseam.errors import ApricotseamError
from measure._figure import Figure
from measure._processes import System
from measure._scope import KEY_PREFIX
from measure._scope import synthetic_scope

MILLISECONDS_PER_SECOND = 1000
CALL_TIMEOUT_SECONDS = 30.0
PAUSE_SECONDS = 3.0
OUTAGE_SECONDS = 1.0
TICKETS_PER_ANSWER = 16
DROPPED_ANSWERS = 6
DEDUP_METHODS = ("ticket", "key", "neither")
CALM_DEDUP_METHODS = (*DEDUP_METHODS, "home")
HEADERS = {"Authorization": f"Bearer {KEY_PREFIX}customer-0"}


class RequestResult(msgspec.Struct, frozen=True):
    """Outcomes that the router returned for one request and its copies.

    ``dedup`` is how copies of the request are recognized: by ``ticket``,
    by ``key`` (the idempotency key), by ``neither``, or by ``home``, a
    ticket whose first copy is sent to the host that issued it. ``seconds``
    is the time that the first copy took.
    """

    request: str
    dedup: str
    outcomes: tuple[str, ...]
    seconds: float


class Callers:
    """Sends requests and copies of them to hosts chosen at random."""

    def __init__(self, system, parameters, seed):
        self._system = system
        self._parameters = parameters
        self._seed = seed

    def send(self, number, dedup=None):
        """Send one request, then copies of it one after another.

        Parameters
        ----------
        number : int or str
            Identifies the request and seeds its random choices.
        dedup : str, optional
            Method of recognizing copies; by default one of `DEDUP_METHODS`
            at random.

        Returns
        -------
        RequestResult
        """
        generator = random.Random(f"{self._seed}/{number}")
        dedup = dedup or generator.choice(DEDUP_METHODS)
        request = f"{dedup}-{number}"
        headers = {
            **HEADERS,
            "X-Request-Id": request,
            **self._dedup_headers(dedup, generator),
        }
        started = time.monotonic()
        outcomes = [self._send_copy(generator, headers, dedup)]
        seconds = time.monotonic() - started
        if dedup == "neither":
            return RequestResult(request, dedup, tuple(outcomes), seconds)
        headers = {**headers, "Apricotseam-Repeat": "1"}
        max_repeats = self._parameters["repeats"]
        while len(outcomes) <= max_repeats and self._should_repeat(
            outcomes, generator
        ):
            outcomes.append(self._send_copy(generator, headers))
        return RequestResult(request, dedup, tuple(outcomes), seconds)

    def send_together(self, number, dedup):
        """Send all copies of one request at once.

        Returns
        -------
        RequestResult
            ``seconds`` is 0, since the time is not measured.
        """
        generator = random.Random(f"{self._seed}/{number}")
        request = f"{dedup}-{number}"
        headers = {
            **HEADERS,
            "X-Request-Id": request,
            **self._dedup_headers(dedup, generator),
        }
        headers["Apricotseam-Repeat"] = "1"
        count = 1 + self._parameters["repeats"]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            generators = [random.Random(f"{number}/{n}") for n in range(count)]
            outcomes = pool.map(
                lambda g: self._send_copy(g, headers), generators
            )
            return RequestResult(request, dedup, tuple(outcomes), 0.0)

    def _should_repeat(self, outcomes, generator):
        """Choose at random whether to send another copy.

        It is less likely after an outcome that is final.
        """
        is_settled = outcomes[-1] in ("answered", "failed")
        return generator.random() < (0.3 if is_settled else 0.9)

    def _dedup_headers(self, dedup, generator):
        if dedup in ("ticket", "home"):
            return {"Apricotseam-Ticket": self._ticket(generator, dedup)}
        if dedup == "key":
            return {"Idempotency-Key": str(_uuid7())}
        return {}

    def _ticket(self, generator, dedup):
        while True:
            address = self._random_address(generator)
            if dedup == "home":
                address = self._system.addresses[self._system.hosts[0]]
            path = f"/v1/addresses?tickets={TICKETS_PER_ANSWER}"
            try:
                answer = self._call(address, "GET", path, None, HEADERS)
            except ApricotseamError:
                time.sleep(0.05)
                continue
            if answer.status == 200:
                return generator.choice(answer.json(dict)["tickets"])

    def _send_copy(self, generator, headers, dedup=""):
        address = self._random_address(generator)
        if dedup == "home":
            address = self._system.addresses[self._system.hosts[0]]
        path = "/v1/services/desk/bookings"
        try:
            answer = self._call(address, "POST", path, b"{}", headers)
        except ApricotseamError as error:
            return "no_connection" if error.code == "unreachable" else "lost"
        if answer.status < 400:
            return "answered"
        return answer.json(dict)["error"]["outcome"]

    def _call(self, address, method, path, body, headers):
        deadline = time.monotonic() + CALL_TIMEOUT_SECONDS
        return self._system.client.call(
            address, method, path, body, deadline, headers
        )

    def _random_address(self, generator):
        return self._system.addresses[generator.choice(self._system.hosts)]


class FaultInjector:
    """Injects faults, one after the other, until it is stopped."""

    def __init__(self, system, parameters, seed):
        self._system = system
        self._period = parameters["fault_period_seconds"]
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._inject_faults, daemon=True
        )
        self.counts = collections.Counter()

    def __enter__(self):
        """Start injecting faults."""
        self._thread.start()
        return self

    def __exit__(self, *_):
        """Stop after the current fault."""
        self._stopping.set()
        self._thread.join()

    def _inject_faults(self):
        faults = [self._kill, self._pause, self._drop, self._outage]
        while not self._stopping.wait(self._period):
            fault = faults[self.counts.total() % len(faults)]
            fault()
            self.counts[fault.__name__.strip("_")] += 1

    def _kill(self):
        name = self._random.choice(self._system.hosts)
        self._system.inject_fault(name, "kill")
        self._system.restart_host(name)

    def _pause(self):
        name = self._random.choice(self._system.hosts)
        self._system.inject_fault(name, "pause")
        time.sleep(PAUSE_SECONDS)
        self._system.inject_fault(name, "resume")

    def _drop(self):
        standin = self._random.choice(["key-value", "server-0", "server-1"])
        order = {"drop_answers": DROPPED_ANSWERS}
        self._system.inject_fault(standin, "standin", order)

    def _outage(self):
        self._system.inject_fault("key-value", "standin", {"down": True})
        time.sleep(OUTAGE_SECONDS)
        self._system.inject_fault("key-value", "standin", {"down": False})


def run(parameters, variant, seed):
    """Send requests while faults are injected, or measure latency.

    The variant ``calm`` injects no faults and measures the time of a
    request with each method of recognizing copies.
    """
    scope = synthetic_scope(chains=1, stages=1, services=2)
    bounds = {"caller_threads": 64, "address_valid_seconds": 10.0}
    with System(scope, parameters["hosts"], bounds=bounds) as system:
        if variant == "calm":
            return _latency_figures(system, parameters, seed)
        return _fault_figures(system, parameters, seed)


def _fault_figures(system, parameters, seed):
    callers = Callers(system, parameters, seed)
    numbers = range(parameters["requests"])
    order = {"delay_seconds": parameters["service_seconds"]}
    for name in ("server-0", "server-1"):
        system.inject_fault(name, "standin", order)

    def send(number):
        if number % 5 == 0:
            return callers.send_together(number, DEDUP_METHODS[number % 2])
        return callers.send(number)

    pool = concurrent.futures.ThreadPoolExecutor(parameters["threads"])
    with FaultInjector(system, parameters, seed) as faults, pool:
        results = list(pool.map(send, numbers))
    runs = _run_counts(system)
    false_refusals = [
        r for r in results if _is_false_refusal(r, runs[r.request])
    ]
    answered = [r for r in results if "answered" in r.outcomes]
    not_run_once = [r for r in answered if runs[r.request] != 1]
    copy_outcomes = collections.Counter(o for r in results for o in r.outcomes)
    total = copy_outcomes.total()
    return [
        Figure(
            name="most runs of one request",
            value=float(max(runs.values())),
            unit="runs",
            bound=1.0,
        ),
        Figure(
            name="requests told not_run that a target ran",
            value=float(len(false_refusals)),
            unit="requests",
            bound=0.0,
        ),
        Figure(
            name="requests answered that did not run once",
            value=float(len(not_run_once)),
            unit="requests",
            bound=0.0,
        ),
        Figure(name="requests", value=float(len(results)), unit="requests"),
        Figure(
            name="requests answered",
            value=len(answered) / len(results),
            unit="share",
        ),
        *[
            Figure(name=f"copies {name}", value=count / total, unit="share")
            for name, count in sorted(copy_outcomes.items())
        ],
        *[
            Figure(name=f"faults {name}", value=float(count), unit="faults")
            for name, count in sorted(faults.counts.items())
        ],
    ]


def _is_false_refusal(result, runs):
    """Return whether a request that was run was wrongly refused as not run.

    A copy may rightly be refused as not run and a later copy be run. A
    refusal is wrong if it is the last outcome or follows an answer.
    """
    if runs == 0:
        return False
    return result.outcomes[-1] == "not_run" or _was_refused_after_answer(
        result.outcomes
    )


def _was_refused_after_answer(outcomes):
    answered_at = [i for i, o in enumerate(outcomes) if o == "answered"]
    refused_at = [i for i, o in enumerate(outcomes) if o == "not_run"]
    return bool(answered_at and refused_at and refused_at[-1] > answered_at[0])


def _run_counts(system):
    runs = collections.Counter()
    for name in ("server-0", "server-1"):
        address = system.addresses[name]
        answer = system.call(address, "GET", "/service/v1/runs")
        runs.update(answer.json(dict))
    return runs


def _latency_figures(system, parameters, seed):
    callers = Callers(system, {**parameters, "repeats": 0}, seed)
    seconds_by_method = {dedup: [] for dedup in CALM_DEDUP_METHODS}
    for number in range(parameters["calm_requests"]):
        for dedup in CALM_DEDUP_METHODS:
            result = callers.send(f"{dedup}-{number}", dedup)
            if result.outcomes == ("answered",):
                seconds_by_method[dedup].append(result.seconds)
    baseline = statistics.median(seconds_by_method["neither"])
    figures = []
    for dedup in CALM_DEDUP_METHODS:
        median = statistics.median(seconds_by_method[dedup])
        figures.append(
            Figure(
                name=f"time by {dedup}, median",
                value=median * MILLISECONDS_PER_SECOND,
                unit="ms",
            )
        )
        if dedup != "neither":
            figures.append(
                Figure(
                    name=f"time added by {dedup}, median",
                    value=(median - baseline) * MILLISECONDS_PER_SECOND,
                    unit="ms",
                )
            )
    return figures


def _uuid7():
    """Return a UUID of version 7, whose first 48 bits are the time in ms."""
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    value = (int(time.time() * MILLISECONDS_PER_SECOND) << 80) | random_bits
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(3 << 62) | (2 << 62)
    return uuid.UUID(int=value)
