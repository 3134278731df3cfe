"""Runs of calls that are not idempotent, through faults and repeats."""

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

MILLISECONDS = 1000
CALL_SECONDS = 30.0
PAUSE_SECONDS = 3.0
OUTAGE_SECONDS = 1.0
TICKETS = 16
DROPPED_ANSWERS = 6
WAYS = ("ticket", "key", "neither")
CALM_WAYS = (*WAYS, "home")
HEADERS = {"Authorization": f"Bearer {KEY_PREFIX}customer-0"}


class Told(msgspec.Struct, frozen=True):
    """What the callers of one request were told, over its copies."""

    request: str
    way: str
    outcomes: tuple[str, ...]
    seconds: float


class Callers:
    """Sends requests and repeats of them through all hosts."""

    def __init__(self, system, parameters, seed):
        self._system = system
        self._parameters = parameters
        self._seed = seed

    def send(self, number, way=None):
        """Send one request with its copies; return the `Told`."""
        generator = random.Random(f"{self._seed}/{number}")
        way = way or generator.choice(WAYS)
        request = f"{way}-{number}"
        headers = {
            **HEADERS,
            "X-Request-Id": request,
            **self._once(way, generator),
        }
        begun = time.monotonic()
        outcomes = [self._copy(generator, headers, way)]
        seconds = time.monotonic() - begun
        if way == "neither":
            return Told(request, way, tuple(outcomes), seconds)
        headers = {**headers, "Apricotseam-Repeat": "1"}
        copies = self._parameters["repeats"]
        while len(outcomes) <= copies and self._wants_more(
            outcomes, generator
        ):
            outcomes.append(self._copy(generator, headers))
        return Told(request, way, tuple(outcomes), seconds)

    def send_together(self, number, way):
        """Send all copies of one request at the same time."""
        generator = random.Random(f"{self._seed}/{number}")
        request = f"{way}-{number}"
        headers = {
            **HEADERS,
            "X-Request-Id": request,
            **self._once(way, generator),
        }
        headers["Apricotseam-Repeat"] = "1"
        count = 1 + self._parameters["repeats"]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            seeds = [random.Random(f"{number}/{n}") for n in range(count)]
            outcomes = pool.map(lambda g: self._copy(g, headers), seeds)
            return Told(request, way, tuple(outcomes), 0.0)

    def _wants_more(self, outcomes, generator):
        is_settled = outcomes[-1] in ("answered", "failed")
        return generator.random() < (0.3 if is_settled else 0.9)

    def _once(self, way, generator):
        if way in ("ticket", "home"):
            return {"Apricotseam-Ticket": self._ticket(generator, way)}
        if way == "key":
            return {"Idempotency-Key": str(_uuid7())}
        return {}

    def _ticket(self, generator, way):
        while True:
            address = self._address(generator)
            if way == "home":
                address = self._system.addresses[self._system.hosts[0]]
            path = f"/v1/addresses?tickets={TICKETS}"
            try:
                answer = self._call(address, "GET", path, None, HEADERS)
            except ApricotseamError:
                time.sleep(0.05)
                continue
            if answer.status == 200:
                return generator.choice(answer.json(dict)["tickets"])

    def _copy(self, generator, headers, way=""):
        address = self._address(generator)
        if way == "home":
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
        deadline = time.monotonic() + CALL_SECONDS
        return self._system.client.call(
            address, method, path, body, deadline, headers
        )

    def _address(self, generator):
        return self._system.addresses[generator.choice(self._system.hosts)]


class Faults:
    """Brings faults about, one after the other, until it is stopped."""

    def __init__(self, system, parameters, seed):
        self._system = system
        self._period = parameters["fault_period_seconds"]
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._loop, daemon=True)
        self.counts = collections.Counter()

    def __enter__(self):
        """Begin."""
        self._thread.start()
        return self

    def __exit__(self, *_):
        """End after the fault under way."""
        self._stopping.set()
        self._thread.join()

    def _loop(self):
        faults = [self._kill, self._pause, self._drop, self._outage]
        while not self._stopping.wait(self._period):
            fault = faults[self.counts.total() % len(faults)]
            fault()
            self.counts[fault.__name__.strip("_")] += 1

    def _kill(self):
        name = self._random.choice(self._system.hosts)
        self._system.fault(name, "kill")
        self._system.restart_host(name)

    def _pause(self):
        name = self._random.choice(self._system.hosts)
        self._system.fault(name, "pause")
        time.sleep(PAUSE_SECONDS)
        self._system.fault(name, "resume")

    def _drop(self):
        part = self._random.choice(["key-value", "server-0", "server-1"])
        order = {"drop_answers": DROPPED_ANSWERS}
        self._system.fault(part, "standin", order)

    def _outage(self):
        self._system.fault("key-value", "standin", {"down": True})
        time.sleep(OUTAGE_SECONDS)
        self._system.fault("key-value", "standin", {"down": False})


def run(parameters, variant, seed):
    """Send requests under faults, or without for the time of each way."""
    scope = synthetic_scope(chains=1, stages=1, services=2)
    bounds = {"caller_threads": 64, "address_valid_seconds": 10.0}
    with System(scope, parameters["hosts"], bounds=bounds) as system:
        if variant == "calm":
            return _times(system, parameters, seed)
        return _counts(system, parameters, seed)


def _counts(system, parameters, seed):
    callers = Callers(system, parameters, seed)
    numbers = range(parameters["requests"])
    order = {"delay_seconds": parameters["service_seconds"]}
    for name in ("server-0", "server-1"):
        system.fault(name, "standin", order)

    def send(number):
        if number % 5 == 0:
            return callers.send_together(number, WAYS[number % 2])
        return callers.send(number)

    pool = concurrent.futures.ThreadPoolExecutor(parameters["threads"])
    with Faults(system, parameters, seed) as faults, pool:
        told = list(pool.map(send, numbers))
    runs = _runs(system)
    false_refusals = [t for t in told if _is_false(t, runs[t.request])]
    answered = [t for t in told if "answered" in t.outcomes]
    unrun = [t for t in answered if runs[t.request] != 1]
    copies = collections.Counter(o for t in told for o in t.outcomes)
    total = copies.total()
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
            value=float(len(unrun)),
            unit="requests",
            bound=0.0,
        ),
        Figure(name="requests", value=float(len(told)), unit="requests"),
        Figure(
            name="requests answered",
            value=len(answered) / len(told),
            unit="share",
        ),
        *[
            Figure(name=f"copies {name}", value=count / total, unit="share")
            for name, count in sorted(copies.items())
        ],
        *[
            Figure(name=f"faults {name}", value=float(count), unit="faults")
            for name, count in sorted(faults.counts.items())
        ],
    ]


def _is_false(told, runs):
    """Return whether the last word of a refusal was wrong.

    A copy that is refused as not run may be followed by one that is run;
    what counts is a refusal after which no further copy was sent, or one
    told after a run.
    """
    if runs == 0:
        return False
    return told.outcomes[-1] == "not_run" or _after_answer(told.outcomes)


def _after_answer(outcomes):
    answered = [i for i, o in enumerate(outcomes) if o == "answered"]
    refused = [i for i, o in enumerate(outcomes) if o == "not_run"]
    return bool(answered and refused and refused[-1] > answered[0])


def _runs(system):
    runs = collections.Counter()
    for name in ("server-0", "server-1"):
        address = system.addresses[name]
        answer = system.call(address, "GET", "/service/v1/runs")
        runs.update(answer.json(dict))
    return runs


def _times(system, parameters, seed):
    callers = Callers(system, {**parameters, "repeats": 0}, seed)
    by_way = {way: [] for way in CALM_WAYS}
    for number in range(parameters["calm_requests"]):
        for way in CALM_WAYS:
            told = callers.send(f"{way}-{number}", way)
            if told.outcomes == ("answered",):
                by_way[way].append(told.seconds)
    base = statistics.median(by_way["neither"])
    figures = []
    for way in CALM_WAYS:
        median = statistics.median(by_way[way])
        figures.append(
            Figure(
                name=f"time by {way}, median",
                value=median * MILLISECONDS,
                unit="ms",
            )
        )
        if way != "neither":
            figures.append(
                Figure(
                    name=f"time added by {way}, median",
                    value=(median - base) * MILLISECONDS,
                    unit="ms",
                )
            )
    return figures


def _uuid7():
    random_bits = uuid.uuid4().int & ((1 << 80) - 1)
    value = (int(time.time() * MILLISECONDS) << 80) | random_bits
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(3 << 62) | (2 << 62)
    return uuid.UUID(int=value)
