"""Calls to the platform that grow with hosts, targets and changes."""

import functools
import time

import msgspec

from measure._processes import System
from measure._scope import synthetic_scope
from measure._usage import processor_seconds
from measure.slopes._slope import Slope

WATCHED_SECONDS = 4.0
SETTLE_SECONDS = 2.0
HOSTS_A_ZONE = 2
IN_FORCE_TIMEOUT_SECONDS = 10.0


def _calls(system, name):
    answer = system.call(system.addresses[name], "GET", "/standin/calls")
    return sum(msgspec.json.decode(answer.body).values())


@functools.lru_cache
def _idle(hosts, zones=1):
    """Return what a system spends a second while nothing happens.

    Returns
    -------
    dict of str to float
        Calls to each part, and the share of a core of a host in percent.
    """
    parts = ("key-value", "host-list", "model-0-engine-0")
    scope = synthetic_scope(chains=zones, stages=1, zones=zones)
    with System(scope, hosts=hosts) as system:
        time.sleep(SETTLE_SECONDS)
        pids = [system.pid(host) for host in system.hosts]
        calls = {part: _calls(system, part) for part in parts}
        used = sum(map(processor_seconds, pids))
        time.sleep(WATCHED_SECONDS)
        used = sum(map(processor_seconds, pids)) - used
        rates = {
            part: (_calls(system, part) - before) / WATCHED_SECONDS
            for part, before in calls.items()
        }
        rates["processor"] = used / WATCHED_SECONDS / hosts * 100
        return rates


def _idle_rate(name, hosts):
    return _idle(hosts)[name]


def _rate_of_zones(name, zones):
    return _idle(HOSTS_A_ZONE * zones, zones)[name]


def _change_calls(changes):
    """Return the calls to the key-value service of a number of changes."""
    scope = synthetic_scope(chains=1, stages=1)
    with System(scope, hosts=2) as system:
        time.sleep(SETTLE_SECONDS)
        started = time.monotonic()
        before = _calls(system, "key-value")
        time.sleep(SETTLE_SECONDS)
        idle = (_calls(system, "key-value") - before) / (
            time.monotonic() - started
        )
        started = time.monotonic()
        before = _calls(system, "key-value")
        for number in range(changes):
            scope["customers"][0]["weight"] = 1.0 + number
            system.apply()
        time.sleep(SETTLE_SECONDS)
        used = _calls(system, "key-value") - before
        return used - idle * (time.monotonic() - started)


def _change_processor(customers):
    """Return processor time of a host for one change of a configuration."""
    scope = synthetic_scope(chains=1, stages=1, customers=customers)
    with System(scope, hosts=2) as system:
        pid = system.pid("entry-1")
        idle = processor_seconds(pid)
        time.sleep(SETTLE_SECONDS)
        idle = (processor_seconds(pid) - idle) / SETTLE_SECONDS
        started = time.monotonic()
        before = processor_seconds(pid)
        scope["customers"][0]["weight"] = 2.0
        system.apply()
        _wait_for(system, "entry-1", 2)
        time.sleep(SETTLE_SECONDS)
        used = processor_seconds(pid) - before
        return (used - idle * (time.monotonic() - started)) * 1e3


def _wait_for(system, host, revision):
    address = system.settings[host].operators_address
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        status = system.call(address, "GET", "/v1/admin/status").json(dict)
        if status["revision"] >= revision:
            return
        time.sleep(0.05)
    raise TimeoutError(f"{host} has not taken revision {revision}")


SERVICE_SLOPES = [
    Slope(
        name="calls a second to the key-value service",
        unit="1/s",
        per="host",
        measure=functools.partial(_idle_rate, "key-value"),
    ),
    Slope(
        name="calls a second to the host list",
        unit="1/s",
        per="host",
        measure=functools.partial(_idle_rate, "host-list"),
    ),
    Slope(
        name="calls a second to the key-value service by zones",
        unit="1/s",
        per="availability zone",
        measure=functools.partial(_rate_of_zones, "key-value"),
    ),
    Slope(
        name="calls a second to the host list by zones",
        unit="1/s",
        per="availability zone",
        measure=functools.partial(_rate_of_zones, "host-list"),
    ),
    Slope(
        name="calls a second to an engine",
        unit="1/s",
        per="host",
        measure=functools.partial(_idle_rate, "model-0-engine-0"),
    ),
    Slope(
        name="share of a core of an idle host",
        unit="%",
        per="host",
        measure=functools.partial(_idle_rate, "processor"),
    ),
    Slope(
        name="calls to the key-value service of a change",
        unit="calls",
        per="change",
        measure=_change_calls,
    ),
    Slope(
        name="processor time of a change on a host",
        unit="ms",
        per="customer",
        measure=_change_processor,
    ),
]
