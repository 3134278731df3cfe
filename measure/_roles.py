"""What each role of a host costs, worked out from measured slopes."""

import math

import msgspec

from measure._capacity import request_cores
from measure._tables import number

MESSAGE_BODY_BYTES = 200
MERGES_PER_SECOND = 4


class Role(msgspec.Struct, frozen=True, kw_only=True):
    """What one role costs a host at the size of the fleet.

    Processor time is in milliseconds a second, memory and messages in
    bytes; None where nothing was measured.
    """

    name: str
    state: str
    messages: str
    processor: float | None
    memory: float | None
    sent: float | None = None
    is_control: bool = True
    mechanism: str
    experiments: tuple[str, ...]


def roles(fleet, costs):
    """Return the `Role` of each part of a host."""
    return [
        _caller_listener(fleet, costs),
        _request_path(fleet, costs),
        _membership(fleet, costs),
        _configuration(fleet, costs),
        _targets(fleet, costs),
        _admission(fleet, costs),
        _execution_home(fleet, costs),
        _orderer(),
        _operators_listener(fleet, costs),
        _imports(costs),
    ]


def _caller_listener(fleet, costs):
    answer = costs.get("slopes-calls", "processor time of an address answer")
    return Role(
        name="caller listener: addresses",
        state="none; answers are made from the table of members",
        messages=f"at most {number(fleet.host_requests)} answers a second,"
        " if every caller asks before each request",
        processor=fleet.host_requests * answer,
        memory=0.0,
        is_control=False,
        mechanism="answers are kept by callers until their deadline; a"
        " worker thread of the listener",
        experiments=("slopes-calls",),
    )


def _request_path(fleet, costs):
    thread = costs.get("slopes-calls", "memory of a stream")
    return Role(
        name="request path",
        state=f"{number(fleet.host_streams)} answers under way",
        messages=f"{number(fleet.host_requests)} requests and"
        f" {number(fleet.host_tokens)} tokens a second over"
        f" {fleet.stages} stages",
        processor=request_cores(fleet, costs) * 1e3,
        memory=fleet.host_streams * thread,
        is_control=False,
        mechanism="one thread an answer; steps of several answers to one"
        " stage share a call; several processes a host",
        experiments=("slopes-requests", "slopes-calls"),
    )


def _membership(fleet, costs):
    name = "slopes-membership"
    doublings = math.log2(fleet.hosts)
    rate = costs.line(name, "membership messages of a host", doublings)
    body = costs.line(name, "membership bytes of a host", doublings)
    decisions = costs.line(name, "membership decisions of a host", doublings)
    message = costs.get(
        "slopes-messages", "processor time of a message, both sides"
    )
    wire = costs.get(
        "slopes-messages", "bytes of a message of 200 bytes on the wire"
    )
    member = costs.get("slopes-state", "memory of a member")
    return Role(
        name="membership and peers",
        state=f"{number(fleet.hosts)} records",
        messages=f"{number(rate)} messages a second sent, as many received;"
        f" {number(fleet.member_changes_per_second)} joins and failures a"
        " second in the whole fleet",
        processor=decisions + rate * message,
        memory=fleet.hosts * member,
        sent=body + rate * (wire - MESSAGE_BODY_BYTES),
        mechanism="gossip with a fixed number of partners; facts at a rate"
        " fixed for the whole fleet; state compared in pages",
        experiments=("slopes-membership", "slopes-messages", "slopes-state"),
    )


def _configuration(fleet, costs):
    change = costs.line(
        "slopes-platform",
        "processor time of a change on a host",
        fleet.customers,
    )
    customer = costs.get("slopes-state", "memory of a customer")
    return Role(
        name="configuration reader",
        state=f"{number(fleet.customers)} customers and all targets",
        messages=f"{number(fleet.changes_per_second)} changes a second",
        processor=fleet.changes_per_second * change,
        memory=fleet.customers * customer,
        mechanism="a few readers of each availability zone by rank watch the"
        " root; the rest take it and its content-addressed chunks from peers;"
        " a scope is loaded whole when it changed",
        experiments=("slopes-platform", "slopes-state"),
    )


def _targets(fleet, costs):
    merge = costs.get("slopes-state", "processor time to merge a target")
    changed = costs.get(
        "slopes-state", "processor time to merge changed reports"
    )
    target = costs.get("slopes-state", "memory of a target")
    listed = costs.get("slopes-state", "memory of a listed host")
    hosts = fleet.targets + fleet.hosts
    return Role(
        name="target table",
        state=f"{number(fleet.targets)} targets, {number(hosts)} listed"
        " hosts; loads of a bounded subset only",
        messages="reports of the subset",
        processor=fleet.targets
        * (MERGES_PER_SECOND * changed + fleet.changes_per_second * merge),
        memory=fleet.targets * target + hosts * listed,
        mechanism="a subset of targets for each host by rank; made again when"
        " the configuration or the host list changed, else the targets of"
        " changed reports are replaced",
        experiments=("slopes-state",),
    )


def _admission(fleet, costs):
    name = "slopes-admission"
    customer = costs.get(name, "memory of a customer in admission")
    entry = costs.get(name, "processor time of an admission")
    return Role(
        name="admission and limits",
        state=f"at most {number(fleet.customers)} customers seen,"
        f" {number(fleet.host_streams)} entries",
        messages="none of its own for fair shares",
        processor=fleet.host_requests * entry,
        memory=fleet.customers * customer,
        mechanism="fair queues by pool with bounds on requests and bytes;"
        " customers without requests are forgotten",
        experiments=(name,),
    )


def _execution_home(fleet, costs):
    name = "slopes-execution"
    calls = fleet.host_requests * (1 - fleet.idempotent_share)
    ticket = costs.get(name, "processor time of a ticket")
    record = costs.get(name, "memory of a ticket's record")
    kept = calls * (fleet.address_valid_seconds + fleet.record_seconds)
    return Role(
        name="execution home",
        state=f"{number(kept)} records at"
        f" {number(calls)} calls a second that are not idempotent",
        messages="one question to the ticket's home a call",
        processor=calls * ticket,
        memory=kept * record,
        mechanism="the ticket names its home; records end at a deadline",
        experiments=(name,),
    )


def _orderer():
    return Role(
        name="orderer",
        state="one lease and the declared state for each group that it orders",
        messages="renewals of its leases, orders to the targets of its groups",
        processor=None,
        memory=None,
        mechanism="a lease with a fencing number in the key-value service",
        experiments=(),
    )


def _operators_listener(fleet, costs):
    idle = costs.get("slopes-platform", "share of a core of an idle host")
    checked = costs.get("slopes-state", "peak memory of checking a customer")
    base = costs.get(
        "slopes-platform", "share of a core of an idle host: at none"
    )
    return Role(
        name="operators' listener and idle work",
        state="while a file is checked, its whole text and nodes",
        messages="status calls, metrics",
        processor=(base + idle) * 10,
        memory=fleet.customers * checked,
        mechanism="a few worker threads; the periods of the control path",
        experiments=("slopes-platform", "slopes-state"),
    )


def _imports(costs):
    megabytes = costs.get("imports", "resident after imports")
    return Role(
        name="program itself",
        state="modules and libraries",
        messages="none",
        processor=0.0,
        memory=megabytes * 1e6,
        mechanism="no numeric library in a node",
        experiments=("imports",),
    )
