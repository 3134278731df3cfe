"""Configuration changes, replacement of hosts, and their control cost."""

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

CUSTOMER_KEY = "measured-key"
MAX_IN_FORCE_SECONDS = 5.0
MAX_LEAVING_SECONDS = 3.0
TICK_SECONDS = 0.2
MAX_CORE_PERCENT = 1.5
MAX_BYTES_PER_SECOND = 11_000
SCOPE_TEMPLATE = """\
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
    """Return the figures of the scenario that ``scenario`` names."""
    return _SCENARIOS[parameters["scenario"]](parameters, variant, seed)


def _start_system(hosts, zones=3):
    text = SCOPE_TEMPLATE.format(number=0, key=hash_key(CUSTOMER_KEY))
    names = [f"zone-{number % zones}" for number in range(hosts)]
    bounds = Bounds(
        caller_threads=12,
        address_valid_seconds=1.0,
        leaving_margin_seconds=1.0,
    )
    return LocalSystem([text], names, bounds=bounds).start()


def _apply_change(system, number, host=None):
    """Apply a changed scope at a host; return the accepted revision.

    Parameters
    ----------
    system : LocalSystem
        The running system.
    number : int
        Makes the text of the change differ from that of others.
    host : EntryHost, optional
        Host to apply at; by default the first.
    """
    host = host or next(iter(system.hosts.values()))
    client = HostClient(host.settings.operators_address, OPERATOR_KEY)
    text = system.texts[0].replace("name: n0", f"name: n{number}")
    path = "/v1/admin/scopes/s"
    return client.call("PUT", path, AuditEntry, text.encode()).revision


def _all_have_revision(system, revision):
    """Return whether every host has a revision, or a later one, in force."""
    configurations = [h.snapshots.configuration for h in system.hosts.values()]
    return all(
        configuration is not None and configuration.revision >= revision
        for configuration in configurations
    )


def _wait_for_membership(system):
    """Wait until every host sees all hosts as live, at most 30 s."""
    count = len(system.hosts)
    return system.wait_until(
        lambda: all(
            len(h.snapshots.members.live()) == count
            for h in system.hosts.values()
        ),
        30,
    )


def _in_force(parameters, variant, seed):
    """Measure the time from an accepted change until all hosts apply it.

    The variant ``slow`` delays answers of the key-value service,
    ``restarts`` kills and replaces a host before every fifth change.
    """
    system = _start_system(parameters["hosts"])
    delays = []
    try:
        _wait_for_membership(system)
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
            revision = _apply_change(
                system, number + 1, hosts[number % len(hosts)]
            )
            accepted_at = time.monotonic()
            system.wait_until(
                lambda r=revision: _all_have_revision(system, r), 30
            )
            delays.append(time.monotonic() - accepted_at)
    finally:
        system.key_value.faults.set(FaultOrder(delay_seconds=0.0))
        system.stop()
    return [
        Figure(
            name="in_force_median", value=percentile(delays, 0.5), unit="s"
        ),
        Figure(
            name="in_force_p99",
            value=percentile(delays, 0.99),
            unit="s",
            bound=MAX_IN_FORCE_SECONDS,
        ),
    ]


def _racing(parameters, variant, seed):
    """Apply changes that race, with lost answers, late writes and outages.

    `FakeService.on_race` starts a nested attempt in the middle of an outer
    one, up to two levels deep. Each attempt has its own plan of faults;
    when it ends, the plan of the outer attempt is restored.
    """
    generator = random.Random(seed)
    service = FakeService()
    attempts = []

    def attempt(depth=0):
        clock = ManualClock(100.0)
        retry = Retry(clock, clock.advance, generator)
        number = len(attempts)
        attempts.append(None)
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
        outer_plan = service.plan
        fault_count = generator.randrange(14)
        service.plan = generator.choices(FAULTS, k=fault_count)
        service.on_race = lambda: attempt(depth + 1) if depth < 2 else None
        try:
            entry = ConfigurationStore(service, "/m/", retry).apply(change)
            attempts[number] = (change, None, entry.revision)
        except ApricotseamError as error:
            attempts[number] = (change, error.outcome, 0)
        service.plan = outer_plan

    while len(attempts) < parameters["applies"]:
        service.is_down = generator.random() < 0.02
        attempt()
        service.is_down = False
        if generator.random() < 0.3:
            service.deliver_late_writes()
    service.deliver_late_writes()
    service.plan = []
    return _check_history(service, attempts)


def _check_history(service, attempts):
    """Compare the reported outcome of each attempt with the history.

    Parameters
    ----------
    service : FakeService
        Holds the history of changes.
    attempts : list of (Change, Outcome or None, int)
        For each attempt the change, the outcome of its error (None if it
        was accepted), and the reported revision (0 after an error).

    Returns
    -------
    list of Figure
        Numbers of changes that were attempted, accepted, lost although
        accepted, stored twice, reverted by an older text, and stored
        although reported as not run.
    """
    store = ConfigurationStore(service, "/m/")
    root, _ = store.read_root()
    entries = []
    before_revision = None
    while True:
        page = store.list_changes(before_revision, 500)
        if not page:
            break
        entries.extend(page)
        before_revision = page[-1].revision
    revisions = {}
    duplicated = 0
    for entry in entries:
        duplicated += entry.change_id in revisions
        revisions[entry.change_id] = entry.revision
    lost = not_run_but_applied = accepted = 0
    for change, outcome, revision in attempts:
        if outcome is None:
            accepted += 1
            lost += revisions.get(change.change_id) != revision
        elif outcome is Outcome.NOT_RUN:
            not_run_but_applied += change.change_id in revisions
    latest_changes = {}
    for entry in entries:
        latest_changes.setdefault(entry.scope, entry.change_id)
    texts = {change.change_id: change.text for change, _, _ in attempts}
    reverted = sum(
        store.read_text(root.scopes[scope]) != texts[change]
        for scope, change in latest_changes.items()
    )
    values = {
        "lost": lost,
        "doubled": duplicated,
        "reverted": reverted,
        "not_run_but_applied": not_run_but_applied,
    }
    figures = [
        Figure(name=name, value=value, unit="changes", bound=0)
        for name, value in values.items()
    ]
    return [
        Figure(name="applies", value=len(attempts), unit="changes"),
        Figure(name="accepted", value=accepted, unit="changes"),
        *figures,
    ]


class _Callers:
    """Threads that send requests to the router one after another.

    Each keeps the addresses of the hosts until ``valid_until`` has passed.
    ``failures`` holds the error of each request that was not answered.
    """

    def __init__(self, system, count):
        self._system = system
        self.stopping = threading.Event()
        self.sent = 0
        self.failures = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop all threads."""
        self.stopping.set()
        for thread in self._threads:
            thread.join(10)

    def _run(self):
        answer = None
        while not self.stopping.is_set():
            if answer is None or time.time() >= answer["valid_until"]:
                answer = self._fetch_addresses()
                if answer is None:
                    continue
            self._send_request(answer["addresses"])

    def _fetch_addresses(self):
        for host in list(self._system.hosts.values()):
            try:
                client = HostClient(
                    host.settings.callers_address, CUSTOMER_KEY
                )
                return client.call("GET", "/v1/addresses", dict)
            except ApricotseamError:
                continue
        return None

    def _send_request(self, addresses):
        """Send one request; try the next address if a host is unreachable."""
        self.sent += 1
        for address in addresses:
            try:
                client = HostClient(address, CUSTOMER_KEY)
                client.call("GET", "/v1/services/portal/x", dict)
                return
            except UnreachableError as error:
                last_error = error
            except ApricotseamError as error:
                last_error = error
                break
        self.failures.append(f"{last_error.code}: {last_error.found}")


def _rolling(parameters, variant, seed):
    """Replace every host in turn while callers send requests.

    The variant ``kill`` kills a host without a drain before it is
    replaced.
    """
    system = _start_system(parameters["hosts"])
    try:
        _wait_for_membership(system)
        _apply_change(system, 1)
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
            value=len(callers.failures),
            unit="requests",
            bound=bound,
        ),
    ]


def _leaving(parameters, variant, seed):
    """Measure how long a target still gets new requests while leaving.

    The time starts when the host list shows the target as leaving.
    """
    system = _start_system(parameters["hosts"])
    delays = []
    try:
        _wait_for_membership(system)
        _apply_change(system, 1)
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
            leaving_at = last_run_at = time.monotonic()
            run_count = sum(target.runs.values())
            while time.monotonic() < leaving_at + 4:
                time.sleep(0.005)
                new_count = sum(target.runs.values())
                if new_count != run_count:
                    run_count, last_run_at = new_count, time.monotonic()
            delays.append(last_run_at - leaving_at)
            break
        callers.stop()
    finally:
        system.stop()
    return [
        Figure(
            name="last_new_work",
            value=max(delays),
            unit="s",
            bound=MAX_LEAVING_SECONDS,
        ),
        Figure(name="requests", value=callers.sent, unit="requests"),
    ]


def _calls(parameters, variant, seed):
    """Measure calls per second to the key-value service.

    They are measured without configuration changes, then with some.
    """
    system = _start_system(parameters["hosts"], zones=parameters["zones"])
    figures = []
    try:
        _wait_for_membership(system)
        _apply_change(system, 1)
        system.wait_until(lambda: _all_have_revision(system, 1), 20)
        time.sleep(2)
        seconds = parameters["seconds"]
        for name, changes in (("idle", 0), ("changes", parameters["changes"])):
            calls_before = sum(system.key_value.calls.values())
            started = time.monotonic()
            for number in range(changes):
                _apply_change(system, number + 2)
                time.sleep(seconds / changes / 2)
            time.sleep(max(0, started + seconds - time.monotonic()))
            calls = sum(system.key_value.calls.values()) - calls_before
            rate = calls / (time.monotonic() - started)
            figures.append(
                Figure(name=f"calls_{name}", value=rate, unit="calls/s")
            )
    finally:
        system.stop()
    return figures


def _membership(parameters, variant, seed):
    """Measure the membership protocol on simulated hosts, after joining."""
    hosts = parameters["hosts"]
    nodes = {}
    generator = random.Random(seed)
    now = 100.0
    for number in range(hosts):
        own_member = Member(
            name=f"entry-{number}",
            peers_address=f"10.0.{number // 250}.{number % 250}:7003",
            callers_address=f"10.0.{number // 250}.{number % 250}:7001",
            operators_address=f"10.0.{number // 250}.{number % 250}:7002",
            availability_zone=f"zone-{number % 7}",
            incarnation=1_700_000_000_000 + number,
            revision=1,
        )
        node = Membership(own_member, random.Random(number), now)
        node.set_seeds(["10.0.0.0:7003"])
        nodes[own_member.peers_address] = node
    sent = {"messages": 0, "bytes": 0}

    def tick_all():
        """Tick every node and deliver all messages, and replies to them."""
        queue = []
        for address, node in nodes.items():
            queue.extend((address, *pair) for pair in node.tick(now))
        while queue:
            source, address, message = queue.pop()
            sent["messages"] += 1
            sent["bytes"] += len(msgspec.msgpack.encode(message))
            pairs = nodes[address].receive(source, message, now)
            queue.extend((address, *pair) for pair in pairs)

    settled_seconds = None
    for tick in range(parameters["settle_ticks"]):
        now += TICK_SECONDS
        tick_all()
        if settled_seconds is None and all(
            len(node.snapshot()) == hosts for node in nodes.values()
        ):
            settled_seconds = (tick + 1) * TICK_SECONDS
    sent = {"messages": 0, "bytes": 0}
    started = time.process_time()
    for _ in range(parameters["ticks"]):
        now += TICK_SECONDS
        for address in generator.sample(sorted(nodes), max(1, hosts // 20)):
            facts = Facts(revision=1, load=generator.randrange(100))
            nodes[address].set_facts(facts)
        tick_all()
    processor_seconds = time.process_time() - started
    seconds = parameters["ticks"] * TICK_SECONDS
    host_seconds = hosts * seconds
    return [
        Figure(name="settled", value=settled_seconds or -1, unit="s"),
        Figure(
            name="processor",
            value=100 * processor_seconds / host_seconds,
            unit="% of a core",
            bound=MAX_CORE_PERCENT,
        ),
        Figure(
            name="messages",
            value=sent["messages"] / host_seconds,
            unit="messages/s",
        ),
        Figure(
            name="traffic",
            value=sent["bytes"] / host_seconds,
            unit="bytes/s",
            bound=MAX_BYTES_PER_SECOND,
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
