"""Checks of the demonstration, one for each guarantee of the router.

Each takes a `LocalSystem` and returns a `CheckResult`. The first line of its
docstring is printed as progress.
"""

import concurrent.futures
import itertools
import uuid

import msgspec

from apricotseam.client import HostClient
from apricotseam.config import AuditEntry
from apricotseam.config import load_scope_file
from apricotseam.demo._load import LoadGenerator
from apricotseam.demo._load import Question
from apricotseam.demo._system import OPERATOR_KEY
from apricotseam.errors import ApricotseamError
from apricotseam.standins import FaultOrder
from apricotseam.web import HttpClient

# Layers of each model in the example files.
LAYERS = 32
_ROTATION = itertools.count()
# Number of times that the same booking is sent.
COPIES = 3


class CheckResult(msgspec.Struct, frozen=True):
    """Result of a check.

    ``name`` is the guarantee as a clause, ``observed`` describes what was
    measured, and ``is_kept`` tells whether the guarantee held.
    """

    name: str
    observed: str
    is_kept: bool


QUESTIONS = [
    Question("colegio-central", "student-assistant", "Is it due?", LAYERS),
    Question("colegio-sur", "returns-assistant", "My deposit?", LAYERS),
    Question("milano-desk", "callback-summary", "Sum this up", LAYERS),
    Question("mutua-brescia", "follow-up-note", "Write a note", LAYERS),
]


def apply_files(system):
    """Apply all scope files and wait until every host uses them."""
    entries = [_apply_scope_file(system, text) for text in system.texts]
    revision = entries[-1].revision
    is_everywhere = system.wait_until(
        lambda: all(
            host.snapshots.configuration is not None
            and host.snapshots.configuration.revision == revision
            for host in system.hosts.values()
        )
    )
    is_answered = system.wait_until(lambda: _every_host_answers(system), 30)
    return CheckResult(
        "an applied file is in force on every host",
        f"{len(entries)} files, revision {revision} on"
        f" {len(system.hosts)} hosts",
        is_everywhere and is_answered,
    )


def compare_answers(system):
    """Send questions of several customers at once and check all answers."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        questions = QUESTIONS * 4
        answers = list(
            pool.map(
                lambda question: list(
                    question.open().read_from_addresses(_addresses(system))
                ),
                questions,
            )
        )
    correct = sum(
        answer == question.expected
        for answer, question in zip(answers, questions, strict=True)
    )
    return CheckResult(
        "every answer is complete and runs each layer once, in order",
        f"{correct} of {len(questions)} answers equal those of the"
        " reference model",
        correct == len(questions),
    )


def kill_stage(system):
    """Kill an engine that runs a stage of an answer, which must continue."""
    question = QUESTIONS[0]
    answer = question.open().read_from_addresses(_addresses(system))
    tokens = [next(answer), next(answer)]
    victim = next(
        name
        for name, engine in system.engines.items()
        if engine.executions and engine.approximate_stream_count
    )
    system.engines.pop(victim).stop()
    tokens.extend(answer)
    return CheckResult(
        "an answer continues when an engine of its chain is killed",
        f"killed {victim} after 2 tokens; received {len(tokens)} of"
        f" {len(question.expected)} tokens",
        tokens == question.expected,
    )


def kill_host(system):
    """Kill the entry host that streams an answer, which must continue."""
    question = QUESTIONS[1]
    victim, host = sorted(system.hosts.items())[0]
    addresses = _addresses(system)
    victim_address = host.settings.callers_address
    addresses.sort(key=lambda address: address != victim_address)
    answer = question.open().read_from_addresses(addresses)
    tokens = [next(answer), next(answer)]
    system.kill_host(victim)
    tokens.extend(answer)
    return CheckResult(
        "an answer continues at another host when its host is killed",
        f"killed {victim} after 2 tokens; received {len(tokens)} of"
        f" {len(question.expected)} tokens",
        tokens == question.expected,
    )


def send_booking_copies(system):
    """Send one booking through several hosts at once; it must run once."""
    key = "demo-key-colegio-central"
    issuer = _addresses(system)[0]
    ticket = HostClient(issuer, key).call("GET", "/v1/addresses", dict)[
        "ticket"
    ]
    identifier = uuid.uuid4().hex
    headers = {"Apricotseam-Ticket": ticket, "X-Request-Id": identifier}
    with concurrent.futures.ThreadPoolExecutor(COPIES) as pool:
        outcomes = list(
            pool.map(
                lambda address: _send_booking(address, key, headers),
                (_addresses(system) * COPIES)[:COPIES],
            )
        )
    runs = sum(
        service.runs[identifier] for service in system.services.values()
    )
    return CheckResult(
        "a booking that is sent through several hosts runs once",
        f"{COPIES} copies, {runs} executed, outcomes {sorted(outcomes)}",
        runs == 1 and "answered" in outcomes,
    )


def replace_hosts(system):
    """Replace every host in turn under load; no answer may be cut off."""
    generator = LoadGenerator(QUESTIONS, lambda: _addresses(system)).start()
    names = sorted(system.hosts)
    for name in names:
        system.replace_host(name)
    generator.stop()
    return CheckResult(
        "a planned shutdown interrupts no request",
        f"{len(names)} hosts replaced; answers: {generator.correct} correct,"
        f" {generator.incorrect} incorrect, {len(generator.failed)} failed",
        generator.correct > 0
        and not generator.incorrect
        and not generator.failed,
    )


def interrupt_key_value_service(system):
    """Stop the key-value service; answers and revision must not change."""
    before = _revisions(system)
    system.key_value.faults.set(FaultOrder(down=True))
    result = compare_answers(system)
    after = _revisions(system)
    system.key_value.faults.set(FaultOrder(down=False))
    return CheckResult(
        "answers continue during an outage of the key-value service",
        f"{result.observed}; revision {sorted(after)} during the outage",
        result.is_kept and before == after,
    )


def _revisions(system):
    return {
        host.snapshots.configuration.revision for host in system.hosts.values()
    }


def _apply_scope_file(system, text):
    scope = load_scope_file(text).scope
    host = next(iter(system.hosts.values()))
    client = HostClient(host.settings.operators_address, OPERATOR_KEY)
    return client.call(
        "PUT", f"/v1/admin/scopes/{scope}", AuditEntry, text.encode()
    )


def _every_host_answers(system):
    try:
        for question in (QUESTIONS[0], QUESTIONS[2]):
            for address in _addresses(system):
                list(question.open().read_from_addresses([address]))
    except ApricotseamError:
        return False
    return True


def _addresses(system):
    """Return the callers' addresses of all hosts, rotated with each call."""
    addresses = [
        host.settings.callers_address for host in system.hosts.values()
    ]
    offset = next(_ROTATION) % len(addresses)
    return addresses[offset:] + addresses[:offset]


def _send_booking(address, key, headers):
    """Return "answered", or the outcome that the error response states."""
    response = HttpClient().call(
        address,
        "POST",
        "/v1/services/librarian-portal/deposits",
        b'{"book": 7}',
        headers={"Authorization": f"Bearer {key}", **headers},
    )
    if response.status == 200:
        return "answered"
    return msgspec.json.decode(response.body)["error"]["outcome"]
