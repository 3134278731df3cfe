"""Hosts that read entries of the store which another program has written."""

import asyncio
import json
import time

import msgspec
import pytest

from apricotseam.coordination import decode_host_record
from apricotseam.coordination import HostRecord
from apricotseam.errors import InvalidInputError
from apricotseam.node._quarantine_keeper import QUARANTINE_PREFIX
from apricotseam.node._quarantine_keeper import StoredEnd
from apricotseam.node import _store_items
from apricotseam.node._store_items import HOSTS_PREFIX
from apricotseam.node.tests.harness import run
from apricotseam.platform.standins import sample_configuration
from apricotseam.platform.standins import TargetStandIn
from apricotseam.platform import TARGETS_PREFIX
from apricotseam.web import free_address

HOSTS = 2
# Time after which hosts have read an entry, and after which they have acted
# on it several times.
READ_SECONDS = 0.4
ACT_SECONDS = 3.2
# Time for which the store answers nobody, so that hosts ask each other.
OUTAGE_SECONDS = 1.0
NESTED = b'{"x":' + b"[" * 100_000
HUGE = 10**30


def failures(node):
    """Return the names of the components of a host that have failed."""
    return {
        sample.labels["child"]
        for metric in node.registry.collect()
        if metric.name == "apricotseam_child_failures"
        for sample in metric.samples
        if sample.name.endswith("_total") and sample.value
    }


async def act(platform):
    """Let the hosts act on what they read, also without the store."""
    await asyncio.sleep(READ_SECONDS)
    platform.store.refused.update(platform.store_addresses)
    # Ends the watches that wait for a change.
    platform.store.put("other/key", b"")
    await asyncio.sleep(OUTAGE_SECONDS)
    platform.store.refused.clear()
    await asyncio.sleep(ACT_SECONDS)


async def check(platform):
    """Check that all hosts still work, follow the store and serve."""
    configuration = sample_configuration()
    configuration["Version"] = 1_000
    platform.set_configuration(configuration)
    await platform.wait_until(
        lambda: all(n.configuration.version == 1_000 for n in platform.nodes)
    )
    assert [failures(node) for node in platform.nodes] == [set()] * HOSTS
    for number in range(HOSTS):
        for path in ("/chat/x", "/read/x"):
            status, _, body = await platform.send_request(path, number)
            assert (status, body is not None) == (200, True)


def play(entries):
    """Write entries, by key, to the store of hosts that serve."""

    async def scenario(platform):
        for key, value in entries.items():
            platform.store.put(key, value)
        await act(platform)
        await check(platform)

    run(scenario, hosts=HOSTS)


def host_entry(**changes):
    """Return the entry of a host that has just started, with changes."""
    record = HostRecord(
        peers_address=free_address(),
        callers_address=free_address(),
        zone="a",
        started_ms=int(time.time() * 1000),
    )
    return json.dumps(msgspec.structs.asdict(record) | changes).encode()


# Description and what replaces fields of a host's record.
HOST_FIELDS = [
    ("start too large", {"started_ms": HUGE}),
    ("start of 64 bits", {"started_ms": (1 << 64) - 1}),
    ("start before 1970", {"started_ms": -HUGE}),
    ("port out of range", {"peers_address": "127.0.0.1:99999"}),
    ("port of many digits", {"peers_address": f"127.0.0.1:{'9' * 5000}"}),
    ("no port", {"peers_address": "127.0.0.1"}),
    ("no address", {"peers_address": ""}),
    ("host name with an empty label", {"peers_address": "a..b:80"}),
    ("host name that is too long", {"peers_address": f"{'a' * 70}:80"}),
    ("callers' port out of range", {"callers_address": "127.0.0.1:99999"}),
    ("relays' port out of range", {"relay_address": "127.0.0.1:99999"}),
    ("zone of a megabyte", {"zone": "z" * 1_000_000}),
    ("zone of another type", {"zone": 4}),
]


# Values of entries that are no records.
VALUES = [b"", b"\xff", b"null", b"[]", b"{}", b'{"x":1e999}', NESTED]


def host_entries():
    """Return odd entries of hosts, by key."""
    values = [*VALUES, *(host_entry(**case[1]) for case in HOST_FIELDS)]
    return {f"{HOSTS_PREFIX}odd-{n}": v for n, v in enumerate(values)}


def test_odd_entries_of_hosts():
    """Guards against hosts that end again and again on a host's entry."""
    play(host_entries())


@pytest.mark.parametrize(
    "changes",
    [case[1] for case in HOST_FIELDS],
    ids=[case[0] for case in HOST_FIELDS],
)
def test_host_entry_with_an_odd_field_is_refused(changes):
    with pytest.raises(InvalidInputError):
        decode_host_record(host_entry(**changes))


@pytest.mark.parametrize("value", VALUES)
def test_host_entry_that_is_no_record_is_refused(value):
    with pytest.raises(InvalidInputError):
        decode_host_record(value)


def quarantine_entry(**changes):
    """Return the entry of a part of prompts under which targets ended."""
    now_ms = time.time() * 1000
    ends = [
        StoredEnd(f"t{n}", 1, f"r{n}", "c", now_ms, now_ms, True)
        for n in range(2)
    ]
    ends = [msgspec.structs.asdict(end) | changes for end in ends]
    return json.dumps({"trait": "part:1f", "ends": ends}).encode()


# Description and what replaces fields of the ends of a stored trait.
END_FIELDS = [
    ("start too large", {"born_ms": HUGE}),
    ("time beyond the floats", {"at_ms": 10**400}),
    ("time of sending beyond the floats", {"sent_at_ms": 10**400}),
    ("time before 1970", {"at_ms": -1e300}),
    ("target of a megabyte", {"target": "t" * 1_000_000}),
    ("customer of another type", {"customer": 4}),
]


def test_odd_entries_of_quarantine():
    """Guards against hosts that end again and again on a stored trait."""
    values = [*VALUES, *(quarantine_entry(**case[1]) for case in END_FIELDS)]
    many = {"trait": "part:2f", "ends": [{}] * 100_000}
    unknown = {"trait": "other", "ends": []}
    values += [json.dumps(many).encode(), json.dumps(unknown).encode()]
    entries = {
        f"{QUARANTINE_PREFIX}odd-{n}": value for n, value in enumerate(values)
    }
    play(entries)


# Description and what replaces fields of the entry of a target.
TARGET_FIELDS = [
    ("layers without end", {"Layers": {"From": 0, "Target": 1 << 61}}),
    ("layers beyond the model", {"Layers": {"From": 90, "Target": 99}}),
    ("no layers", {"Layers": {"From": 2, "Target": 2}}),
    ("many slots", {"Slots": 1 << 61}),
    ("slots beyond 64 bits", {"Slots": HUGE}),
    ("start beyond 64 bits", {"born": HUGE}),
    ("start at the bound", {"born": (1 << 62) - 1}),
    ("orders at the bound", {"Sequence": (1 << 62) - 1}),
    ("port out of range", {"Address": "127.0.0.1:99999"}),
    ("host name with an empty label", {"Address": "a..b:80"}),
    ("host name", {"Address": "nobody.invalid:80"}),
    ("another kind", {"RouteKind": "other"}),
    ("another service", {"Service": "other"}),
    ("zone of a megabyte", {"Zone": "z" * 1_000_000}),
    ("kind of a megabyte", {"RouteKind": "k" * 1_000_000}),
    ("service of a megabyte", {"Service": "s" * 1_000_000}),
    ("service without a name", {"Service": ""}),
]


@pytest.mark.parametrize("is_engine", [False, True], ids=["plain", "engine"])
def test_odd_entries_of_targets(is_engine):
    """Guards against hosts that end again and again on a target's entry."""
    values = list(VALUES)
    for _, changes in TARGET_FIELDS:
        entry = TargetStandIn("odd", free_address(), is_engine).entry()
        fields = json.loads(entry) | changes
        values.append(json.dumps(fields).encode())
    play({f"{TARGETS_PREFIX}odd-{n}": v for n, v in enumerate(values)})


def test_entry_that_cannot_be_applied_keeps_no_other_back(monkeypatch):
    """Guards against hosts that follow the store no longer after a fault."""
    decode = _store_items.decode_target

    def decode_or_fail(key, value, position):
        if "odd" in key:
            raise RuntimeError("cannot go on")
        return decode(key, value, position)

    monkeypatch.setattr(_store_items, "decode_target", decode_or_fail)

    async def scenario(platform):
        target = TargetStandIn("last", free_address())
        for number in range(10):
            platform.store.put(f"{TARGETS_PREFIX}odd-{number}", b"{}")
        platform.register(target)
        for node in platform.nodes:
            await platform.wait_until(
                lambda node=node: node.forwarding.fleet.get("last")
            )
        return [failures(node) for node in platform.nodes]

    assert run(scenario, hosts=HOSTS) == [{"entry"}] * HOSTS
