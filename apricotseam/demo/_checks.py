"""Checks of the demonstration: each shows one promise under a fault."""

import concurrent.futures
import itertools
import uuid

import msgspec

from apricotseam.client import HostClient
from apricotseam.config import AuditEntry
from apricotseam.config import load_scope_file
from apricotseam.demo._load import Question
from apricotseam.demo._load import SteadyCallers
from apricotseam.demo._system import OPERATOR_KEY
from apricotseam.errors import ApricotseamError
from apricotseam.standins import FaultOrder
from apricotseam.web import HttpClient

LAYERS = 32
_TURN = itertools.count()
COPIES = 3


class Promise(msgspec.Struct, frozen=True):
    """A promise, what was seen of it and whether it was kept."""

    name: str
    seen: str
    is_kept: bool


QUESTIONS = [
    Question("colegio-central", "student-assistant", "Is it due?", LAYERS),
    Question("colegio-sur", "returns-assistant", "My deposit?", LAYERS),
    Question("milano-desk", "callback-summary", "Sum this up", LAYERS),
    Question("mutua-brescia", "follow-up-note", "Write a note", LAYERS),
]


def apply_files(system):
    """Apply both teams' files and wait until every host has them."""
    entries = [_apply(system, text) for text in system.texts]
    revision = entries[-1].revision
    is_everywhere = system.wait_until(
        lambda: all(
            host.snapshots.configuration is not None
            and host.snapshots.configuration.revision == revision
            for host in system.hosts.values()
        )
    )
    is_up = system.wait_until(lambda: _answers(system), 30)
    return Promise(
        "a declared file is in force everywhere",
        f"{len(entries)} files, revision {revision} on"
        f" {len(system.hosts)} hosts",
        is_everywhere and is_up,
    )


def answer_customers(system):
    """Ask as several customers at once and compare every answer."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        asked = QUESTIONS * 4
        answers = list(
            pool.map(
                lambda question: list(
                    question.open().read_at(_addresses(system))
                ),
                asked,
            )
        )
    right = sum(
        answer == question.expected
        for answer, question in zip(answers, asked, strict=True)
    )
    return Promise(
        "each answer is whole and every layer runs once, in order",
        f"{right} of {len(asked)} answers as the reference model gives them",
        right == len(asked),
    )


def kill_stage(system):
    """Kill a stage that runs an answer; the answer must go on."""
    question = QUESTIONS[0]
    answer = question.open().read_at(_addresses(system))
    got = [next(answer), next(answer)]
    victim = next(
        name
        for name, engine in system.engines.items()
        if engine.executions and engine.running
    )
    system.engines.pop(victim).stop()
    got.extend(answer)
    return Promise(
        "an answer goes on when a stage dies",
        f"killed {victim} at token 2; {len(got)} of"
        f" {len(question.expected)} tokens, none twice",
        got == question.expected,
    )


def kill_host(system):
    """Kill the entry host that streams an answer; it must go on."""
    question = QUESTIONS[1]
    victim, host = sorted(system.hosts.items())[0]
    addresses = _addresses(system)
    own = host.settings.callers_address
    addresses.sort(key=lambda address: address != own)
    answer = question.open().read_at(addresses)
    got = [next(answer), next(answer)]
    system.kill_host(victim)
    got.extend(answer)
    return Promise(
        "an answer goes on at another host when its host dies",
        f"killed {victim} at token 2; {len(got)} of"
        f" {len(question.expected)} tokens, none twice",
        got == question.expected,
    )


def repeat_booking(system):
    """Send one booking through several hosts at once; one run."""
    key = "demo-key-colegio-central"
    home = _addresses(system)[0]
    ticket = HostClient(home, key).call("GET", "/v1/addresses", dict)["ticket"]
    identifier = uuid.uuid4().hex
    headers = {"Apricotseam-Ticket": ticket, "X-Request-Id": identifier}
    with concurrent.futures.ThreadPoolExecutor(COPIES) as pool:
        outcomes = list(
            pool.map(
                lambda address: _book(address, key, headers),
                (_addresses(system) * COPIES)[:COPIES],
            )
        )
    runs = sum(
        service.runs[identifier] for service in system.services.values()
    )
    return Promise(
        "a booking that is sent through several hosts runs once",
        f"{COPIES} copies, {runs} run, answers {sorted(outcomes)}",
        runs == 1 and "answered" in outcomes,
    )


def roll_hosts(system):
    """Replace every host in turn under load; no answer is cut off."""
    callers = SteadyCallers(QUESTIONS, lambda: _addresses(system)).start()
    names = sorted(system.hosts)
    for name in names:
        system.replace_host(name)
    callers.stop()
    return Promise(
        "a planned stop cuts off no request",
        f"{len(names)} hosts replaced, {callers.whole} answers whole,"
        f" {callers.wrong} wrong, {len(callers.failed)} failed",
        callers.whole > 0 and not callers.wrong and not callers.failed,
    )


def lose_service(system):
    """Take the key-value service away; answers go on, nothing reverts."""
    before = _revisions(system)
    system.key_value.faults.set(FaultOrder(down=True))
    promise = answer_customers(system)
    after = _revisions(system)
    system.key_value.faults.set(FaultOrder(down=False))
    return Promise(
        "an outage of the key-value service stops no answer",
        f"{promise.seen}; revision {sorted(after)} as before",
        promise.is_kept and before == after,
    )


def _revisions(system):
    return {
        host.snapshots.configuration.revision for host in system.hosts.values()
    }


def _apply(system, text):
    scope = load_scope_file(text).scope
    host = next(iter(system.hosts.values()))
    client = HostClient(host.settings.operators_address, OPERATOR_KEY)
    return client.call(
        "PUT", f"/v1/admin/scopes/{scope}", AuditEntry, text.encode()
    )


def _answers(system):
    try:
        for question in (QUESTIONS[0], QUESTIONS[2]):
            for address in _addresses(system):
                list(question.open().read_at([address]))
    except ApricotseamError:
        return False
    return True


def _addresses(system):
    """Return the callers' addresses, each time from another one on."""
    addresses = [
        host.settings.callers_address for host in system.hosts.values()
    ]
    first = next(_TURN) % len(addresses)
    return addresses[first:] + addresses[:first]


def _book(address, key, headers):
    answer = HttpClient().call(
        address,
        "POST",
        "/v1/services/librarian-portal/deposits",
        b'{"book": 7}',
        headers={"Authorization": f"Bearer {key}", **headers},
    )
    if answer.status == 200:
        return "answered"
    return msgspec.json.decode(answer.body)["error"]["outcome"]
