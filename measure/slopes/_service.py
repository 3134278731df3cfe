"""Calls to the platform by hosts, zones and configuration changes."""

import functools
import time

import msgspec

from measure._processes import System
from measure._scope import synthetic_scope
from measure._usage import processor_seconds
from measure.slopes._slope import Slope

MEASURED_SECONDS = 4.0
SETTLE_SECONDS = 2.0
HOSTS_PER_ZONE = 2
REVISION_TIMEOUT_SECONDS = 10.0


def _received_calls(system, name):
    """Return the number of calls that a stand-in has received."""
    answer = system.call(system.addresses[name], "GET", "/standin/calls")
    return sum(msgspec.json.decode(answer.body).values())


@functools.lru_cache
def _idle_rates(hosts, zones=1):
    """Return calls and processor use of a system without requests.

    Returns
    -------
    dict of str to float
        Calls per second to each stand-in by its name, and under
        ``processor`` the mean processor time of a host, in percent of a
        core.
    """
    standins = ("key-value", "host-list", "model-0-engine-0")
    scope = synthetic_scope(chains=zones, stages=1, zones=zones)
    with System(scope, hosts=hosts) as system:
        time.sleep(SETTLE_SECONDS)
        pids = [system.pid(host) for host in system.hosts]
        calls = {
            standin: _received_calls(system, standin) for standin in standins
        }
        used = sum(map(processor_seconds, pids))
        time.sleep(MEASURED_SECONDS)
        used = sum(map(processor_seconds, pids)) - used
        rates = {
            standin: (_received_calls(system, standin) - before)
            / MEASURED_SECONDS
            for standin, before in calls.items()
        }
        rates["processor"] = used / MEASURED_SECONDS / hosts * 100
        return rates


def _rate_by_hosts(name, hosts):
    return _idle_rates(hosts)[name]


def _rate_by_zones(name, zones):
    return _idle_rates(HOSTS_PER_ZONE * zones, zones)[name]


def _change_calls(changes):
    """Return the calls to the key-value service that changes cause.

    Calls that are made without changes are subtracted.
    """
    scope = synthetic_scope(chains=1, stages=1)
    with System(scope, hosts=2) as system:
        time.sleep(SETTLE_SECONDS)
        started = time.monotonic()
        before = _received_calls(system, "key-value")
        time.sleep(SETTLE_SECONDS)
        idle = (_received_calls(system, "key-value") - before) / (
            time.monotonic() - started
        )
        started = time.monotonic()
        before = _received_calls(system, "key-value")
        for number in range(changes):
            scope["customers"][0]["weight"] = 1.0 + number
            system.apply_scope()
        time.sleep(SETTLE_SECONDS)
        used = _received_calls(system, "key-value") - before
        return used - idle * (time.monotonic() - started)


def _change_milliseconds(customers):
    """Return processor time of a host for one configuration change.

    Parameters
    ----------
    customers : int
        Customers in the scope that is changed.

    Returns
    -------
    float
        Milliseconds, without the processor time that the host uses when
        idle.
    """
    scope = synthetic_scope(chains=1, stages=1, customers=customers)
    with System(scope, hosts=2) as system:
        pid = system.pid("entry-1")
        idle = processor_seconds(pid)
        time.sleep(SETTLE_SECONDS)
        idle = (processor_seconds(pid) - idle) / SETTLE_SECONDS
        started = time.monotonic()
        before = processor_seconds(pid)
        scope["customers"][0]["weight"] = 2.0
        system.apply_scope()
        _wait_for_revision(system, "entry-1", 2)
        time.sleep(SETTLE_SECONDS)
        used = processor_seconds(pid) - before
        return (used - idle * (time.monotonic() - started)) * 1e3


def _wait_for_revision(system, host, revision):
    address = system.settings[host].operators_address
    deadline = time.monotonic() + REVISION_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        status = system.call(address, "GET", "/v1/admin/status").json(dict)
        if status["revision"] >= revision:
            return
        time.sleep(0.05)
    raise TimeoutError(f"{host} did not apply revision {revision} in time")


SERVICE_SLOPES = [
    Slope(
        name="calls a second to the key-value service",
        unit="1/s",
        per="host",
        measure=functools.partial(_rate_by_hosts, "key-value"),
    ),
    Slope(
        name="calls a second to the host list",
        unit="1/s",
        per="host",
        measure=functools.partial(_rate_by_hosts, "host-list"),
    ),
    Slope(
        name="calls a second to the key-value service by zones",
        unit="1/s",
        per="availability zone",
        measure=functools.partial(_rate_by_zones, "key-value"),
    ),
    Slope(
        name="calls a second to the host list by zones",
        unit="1/s",
        per="availability zone",
        measure=functools.partial(_rate_by_zones, "host-list"),
    ),
    Slope(
        name="calls a second to an engine",
        unit="1/s",
        per="host",
        measure=functools.partial(_rate_by_hosts, "model-0-engine-0"),
    ),
    Slope(
        name="share of a core of an idle host",
        unit="%",
        per="host",
        measure=functools.partial(_rate_by_hosts, "processor"),
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
        measure=_change_milliseconds,
    ),
]
