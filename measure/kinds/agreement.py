"""What hosts agree on: changes, leaving and the cost of both."""

import random
import threading
import time

import msgspec

from apricotseam.callers import hash_key
from apricotseam.client import HostClient
from apricotseam.clock import ManualClock
from apricotseam.config import AuditEntry
from apricotseam.config import Bounds
from apricotseam.config import Change
from apricotseam.config import ConfigurationStore
from apricotseam.config import Retry
from apricotseam.config.tests.fakes import FakeService
from apricotseam.config.tests.fakes import FAULTS
from apricotseam.demo import LocalSystem
from apricotseam.demo import OPERATOR_KEY
from apricotseam.errors import ApricotseamError
from apricotseam.errors import Outcome
from apricotseam.external import LEAVING
from apricotseam.external import ListedHost
from apricotseam.membership import Facts
from apricotseam.membership import Member
from apricotseam.membership import Membership
from apricotseam.standins import FaultOrder
from apricotseam.web import UnreachableError
from measure._figure import Figure
from measure._readers import percentile

KEY = "measured-key"
MAX_IN_FORCE_SECONDS = 5.0
MAX_LEAVING_SECONDS = 3.0
TICK_SECONDS = 0.2
MAX_CORE_PERCENT = 1.5
MAX_BYTES_A_SECOND = 11_000
SCOPE = """\
scope: s
groups:
  - name: portal
    kind: service
    targets:
      - {{name: p1, address: '10.0.0.1:1', availability_zone: zone-0}}
      - {{name: p2, address: '10.0.0.2:1', availability_zone: zone-1}}
priorities: [{{name: normal, rank: 1}}]
services:
  - name: portal
    group: portal
    calls: [{{method: GET, path: /, idempotent: true, priority: normal}}]
customers:
  - name: c
    requests_per_second: 100000
    key_hashes: [{key}]
  - {{name: n{number}, key_hashes: []}}
"""


def run(parameters, variant, seed):
    """Return the figures of one scenario."""
    return _SCENARIOS[parameters["scenario"]](parameters, variant, seed)


def _system(hosts, zones=3):
    text = SCOPE.format(number=0, key=hash_key(KEY))
    names = [f"zone-{number % zones}" for number in range(hosts)]
    bounds = Bounds(
        caller_threads=12,
        address_valid_seconds=1.0,
        leaving_margin_seconds=1.0,
    )
    return LocalSystem([text], names, bounds=bounds).start()


def _apply(system, number, host=None):
    host = host or next(iter(system.hosts.values()))
    client = HostClient(host.settings.operators_address, OPERATOR_KEY)
    text = system.texts[0].replace("name: n0", f"name: n{number}")
    path = "/v1/admin/scopes/s"
    return client.call("PUT", path, AuditEntry, text.encode()).revision


def _has(system, revision):
    found = [h.snapshots.configuration for h in system.hosts.values()]
    return all(c is not None and c.revision >= revision for c in found)


def _settle(system):
    count = len(system.hosts)
    return system.wait_until(
        lambda: all(
            len(h.snapshots.members.live()) == count
            for h in system.hosts.values()
        ),
        30,
    )


def _in_force(parameters, variant, seed):
    """Time from an accepted change to the revision on every host."""
    system = _system(parameters["hosts"])
    times = []
    try:
        _settle(system)
        if variant == "slow":
            order = FaultOrder(delay_seconds=parameters["delay_seconds"])
            system.key_value.faults.set(order)
        for number in range(parameters["changes"]):
            if variant == "restarts" and number % 5 == 4:
                name = next(iter(system.hosts))
                zone = system.hosts[name].settings.availability_zone
                system.kill_host(name)
                system.add_host(f"again-{number}", zone)
            hosts = list(system.hosts.values())
            revision = _apply(system, number + 1, hosts[number % len(hosts)])
            start = time.monotonic()
            system.wait_until(lambda r=revision: _has(system, r), 30)
            times.append(time.monotonic() - start)
    finally:
        system.key_value.faults.set(FaultOrder(delay_seconds=0.0))
        system.stop()
    return [
        Figure(name="in_force_median", value=percentile(times, 0.5), unit="s"),
        Figure(
            name="in_force_p99",
            value=percentile(times, 0.99),
            unit="s",
            bound=MAX_IN_FORCE_SECONDS,
        ),
    ]


def _racing(parameters, variant, seed):
    """Applies that race while answers are lost and the service is down."""
    generator = random.Random(seed)
    service = FakeService()
    answers = []

    def attempt(depth=0):
        clock = ManualClock(100.0)
        retry = Retry(clock, clock.advance, generator)
        number = len(answers)
        answers.append(None)
        scope = generator.choice("abc")
        change = Change(
            change_id=f"c{number}",
            operator="o",
            source="s",
            wall_time=float(number),
            scope=scope,
            text=f"scope: {scope}\npriorities: [{{name: p, rank: 1}}]\n"
            f"customers: [{{name: n{number}, key_hashes: []}}]\n",
        )
        kept = service.plan
        length = generator.randrange(14)
        service.plan = generator.choices(FAULTS, k=length)
        service.on_race = lambda: attempt(depth + 1) if depth < 2 else None
        try:
            entry = ConfigurationStore(service, "/m/", retry).apply(change)
            answers[number] = (change, None, entry.revision)
        except ApricotseamError as error:
            answers[number] = (change, error.outcome, 0)
        service.plan = kept

    while len(answers) < parameters["applies"]:
        service.is_down = generator.random() < 0.02
        attempt()
        service.is_down = False
        if generator.random() < 0.3:
            service.land()
    service.land()
    service.plan = []
    return _judge(service, answers)


def _judge(service, answers):
    store = ConfigurationStore(service, "/m/")
    root, _ = store.read_root()
    entries = []
    before = None
    while True:
        page = store.list_changes(before, 500)
        if not page:
            break
        entries.extend(page)
        before = page[-1].revision
    found = {}
    doubled = 0
    for entry in entries:
        doubled += entry.change_id in found
        found[entry.change_id] = entry.revision
    lost = wrong = accepted = 0
    for change, outcome, revision in answers:
        if outcome is None:
            accepted += 1
            lost += found.get(change.change_id) != revision
        elif outcome is Outcome.NOT_RUN:
            wrong += change.change_id in found
    newest = {}
    for entry in entries:
        newest.setdefault(entry.scope, entry.change_id)
    texts = {change.change_id: change.text for change, _, _ in answers}
    reverted = sum(
        store.read_text(root.scopes[scope]) != texts[change]
        for scope, change in newest.items()
    )
    values = {
        "lost": lost,
        "doubled": doubled,
        "reverted": reverted,
        "not_run_but_applied": wrong,
    }
    figures = [
        Figure(name=name, value=value, unit="changes", bound=0)
        for name, value in values.items()
    ]
    return [
        Figure(name="applies", value=len(answers), unit="changes"),
        Figure(name="accepted", value=accepted, unit="changes"),
        *figures,
    ]


class _Callers:
    """Callers that keep addresses as long as their answers allow."""

    def __init__(self, system, count):
        self._system = system
        self.stopping = threading.Event()
        self.sent = 0
        self.cut = []
        self._threads = [
            threading.Thread(target=self._work, daemon=True)
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """End all callers."""
        self.stopping.set()
        for thread in self._threads:
            thread.join(10)

    def _work(self):
        answer = None
        while not self.stopping.is_set():
            if answer is None or time.time() >= answer["valid_until"]:
                answer = self._ask()
                if answer is None:
                    continue
            self._send(answer["addresses"])

    def _ask(self):
        for host in list(self._system.hosts.values()):
            try:
                client = HostClient(host.settings.callers_address, KEY)
                return client.call("GET", "/v1/addresses", dict)
            except ApricotseamError:
                continue
        return None

    def _send(self, addresses):
        """Send one request, to the next address if none was reached."""
        self.sent += 1
        for address in addresses:
            try:
                client = HostClient(address, KEY)
                client.call("GET", "/v1/services/portal/x", dict)
                return
            except UnreachableError as error:
                found = error
            except ApricotseamError as error:
                found = error
                break
        self.cut.append(f"{found.code}: {found.found}")


def _rolling(parameters, variant, seed):
    """Every host is replaced in turn while callers send."""
    system = _system(parameters["hosts"])
    try:
        _settle(system)
        _apply(system, 1)
        system.wait_until(
            lambda: all(h.is_ready for h in system.hosts.values())
        )
        callers = _Callers(system, parameters["callers"])
        for name in list(system.hosts):
            if variant == "kill":
                zone = system.hosts[name].settings.availability_zone
                system.kill_host(name)
                system.add_host(f"{name}-next", zone)
                time.sleep(1.0)
            else:
                system.replace_host(name)
        callers.stop()
    finally:
        system.stop()
    bound = 0 if variant == "product" else None
    return [
        Figure(name="requests", value=callers.sent, unit="requests"),
        Figure(
            name="failed_requests",
            value=len(callers.cut),
            unit="requests",
            bound=bound,
        ),
    ]


def _leaving(parameters, variant, seed):
    """Last new work at a target after the host list shows it leaving."""
    system = _system(parameters["hosts"])
    lags = []
    try:
        _settle(system)
        _apply(system, 1)
        system.wait_until(
            lambda: all(h.is_ready for h in system.hosts.values())
        )
        callers = _Callers(system, parameters["callers"])
        for name, zone in (("p1", "zone-0"), ("p2", "zone-1")):
            target = system.services[name]
            host = ListedHost(
                name=name,
                address=target.address,
                role="target",
                availability_zone=zone,
                group="portal",
                state=LEAVING,
            )
            system.host_list.set(host)
            start = last = time.monotonic()
            count = sum(target.runs.values())
            while time.monotonic() < start + 4:
                time.sleep(0.005)
                now = sum(target.runs.values())
                if now != count:
                    count, last = now, time.monotonic()
            lags.append(last - start)
            break
        callers.stop()
    finally:
        system.stop()
    return [
        Figure(
            name="last_new_work",
            value=max(lags),
            unit="s",
            bound=MAX_LEAVING_SECONDS,
        ),
        Figure(name="requests", value=callers.sent, unit="requests"),
    ]


def _calls(parameters, variant, seed):
    """Calls to the key-value service a second, idle and under changes."""
    system = _system(parameters["hosts"], zones=parameters["zones"])
    figures = []
    try:
        _settle(system)
        _apply(system, 1)
        system.wait_until(lambda: _has(system, 1), 20)
        time.sleep(2)
        seconds = parameters["seconds"]
        for name, changes in (("idle", 0), ("changes", parameters["changes"])):
            before = sum(system.key_value.calls.values())
            start = time.monotonic()
            for number in range(changes):
                _apply(system, number + 2)
                time.sleep(seconds / changes / 2)
            time.sleep(max(0, start + seconds - time.monotonic()))
            calls = sum(system.key_value.calls.values()) - before
            rate = calls / (time.monotonic() - start)
            figures.append(
                Figure(name=f"calls_{name}", value=rate, unit="calls/s")
            )
    finally:
        system.stop()
    return figures


def _membership(parameters, variant, seed):
    """Processor time, bytes and table of the membership protocol."""
    hosts = parameters["hosts"]
    protocol = {}
    generator = random.Random(seed)
    now = 100.0
    for number in range(hosts):
        own = Member(
            name=f"entry-{number}",
            peers_address=f"10.0.{number // 250}.{number % 250}:7003",
            callers_address=f"10.0.{number // 250}.{number % 250}:7001",
            operators_address=f"10.0.{number // 250}.{number % 250}:7002",
            availability_zone=f"zone-{number % 7}",
            incarnation=1_700_000_000_000 + number,
            revision=1,
        )
        member = Membership(own, random.Random(number), now)
        member.set_seeds(["10.0.0.0:7003"])
        protocol[own.peers_address] = member
    sent = {"messages": 0, "bytes": 0}

    def step():
        queue = []
        for address, member in protocol.items():
            queue.extend((address, *p) for p in member.tick(now))
        while queue:
            source, address, message = queue.pop()
            sent["messages"] += 1
            sent["bytes"] += len(msgspec.msgpack.encode(message))
            pairs = protocol[address].receive(source, message, now)
            queue.extend((address, *p) for p in pairs)

    settled = None
    for tick in range(parameters["settle_ticks"]):
        now += TICK_SECONDS
        step()
        if settled is None and all(
            len(m.snapshot()) == hosts for m in protocol.values()
        ):
            settled = (tick + 1) * TICK_SECONDS
    sent = {"messages": 0, "bytes": 0}
    start = time.process_time()
    for _ in range(parameters["ticks"]):
        now += TICK_SECONDS
        for address in generator.sample(sorted(protocol), max(1, hosts // 20)):
            facts = Facts(revision=1, load=generator.randrange(100))
            protocol[address].set_facts(facts)
        step()
    spent = time.process_time() - start
    seconds = parameters["ticks"] * TICK_SECONDS
    each = hosts * seconds
    return [
        Figure(name="settled", value=settled or -1, unit="s"),
        Figure(
            name="processor",
            value=100 * spent / each,
            unit="% of a core",
            bound=MAX_CORE_PERCENT,
        ),
        Figure(
            name="messages", value=sent["messages"] / each, unit="messages/s"
        ),
        Figure(
            name="traffic",
            value=sent["bytes"] / each,
            unit="bytes/s",
            bound=MAX_BYTES_A_SECOND,
        ),
    ]


_SCENARIOS = {
    "in_force": _in_force,
    "racing": _racing,
    "rolling": _rolling,
    "leaving": _leaving,
    "calls": _calls,
    "membership": _membership,
}
