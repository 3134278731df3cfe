"""Cost of each role of a host, calculated from measured slopes."""

import math

import msgspec

from measure._capacity import request_cores
from measure._tables import format_number

# Body of the messages whose bytes on the wire are measured; the rest of these
# bytes is the overhead of a message.
MESSAGE_BODY_BYTES = 200
# Merges of changed load reports into the target table.
MERGES_PER_SECOND = 4


class Role(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one role on a host, at the size of the fleet.

    ``processor`` is in milliseconds per second, ``memory`` in bytes and
    ``sent`` in bytes per second; None if the figure is not measured.
    ``state``, ``messages`` and ``mechanism`` describe the role on the
    capacity page, and ``experiments`` names those that gave the figures.
    ``is_control`` is whether the role counts towards the control budget.
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
    """Return the roles of a host.

    Parameters
    ----------
    fleet : Fleet
        Size of the system.
    costs : Costs
        Measured slopes.

    Returns
    -------
    list of Role
    """
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
    answer_ms = costs.get(
        "slopes-calls", "processor time of an address answer"
    )
    return Role(
        name="caller listener: addresses",
        state="none; answers are built from the membership table",
        messages="at most"
        f" {format_number(fleet.host_requests_per_second)} answers a second,"
        " if every caller asks for addresses before each request",
        processor=fleet.host_requests_per_second * answer_ms,
        memory=0.0,
        is_control=False,
        mechanism="callers cache answers while they are valid; answers are"
        " built in a worker thread of the listener",
        experiments=("slopes-calls",),
    )


def _request_path(fleet, costs):
    stream_bytes = costs.get("slopes-calls", "memory of a stream")
    return Role(
        name="request path",
        state=f"{format_number(fleet.host_streams)} answers in progress",
        messages=f"{format_number(fleet.host_requests_per_second)} requests"
        f" and {format_number(fleet.host_tokens_per_second)} tokens a second"
        f" over {fleet.stages} stages",
        processor=request_cores(fleet, costs) * 1e3,
        memory=fleet.host_streams * stream_bytes,
        is_control=False,
        mechanism="one thread per answer; steps of several answers for the"
        " same stage share a call; several processes per host",
        experiments=("slopes-requests", "slopes-calls"),
    )


def _membership(fleet, costs):
    name = "slopes-membership"
    doublings = math.log2(fleet.hosts)
    rate = costs.cost_at(name, "membership messages of a host", doublings)
    body_bytes = costs.cost_at(name, "membership bytes of a host", doublings)
    decisions_ms = costs.cost_at(
        name, "membership decisions of a host", doublings
    )
    message_ms = costs.get(
        "slopes-messages", "processor time of a message, both sides"
    )
    wire_bytes = costs.get(
        "slopes-messages", "bytes of a message of 200 bytes on the wire"
    )
    member_bytes = costs.get("slopes-state", "memory of a member")
    return Role(
        name="membership and peers",
        state=f"{format_number(fleet.hosts)} records",
        messages=f"{format_number(rate)} messages a second sent, and as"
        " many received;"
        f" {format_number(fleet.member_changes_per_second)} joins and"
        " failures a second in the whole fleet",
        processor=decisions_ms + rate * message_ms,
        memory=fleet.hosts * member_bytes,
        sent=body_bytes + rate * (wire_bytes - MESSAGE_BODY_BYTES),
        mechanism="gossip with a fixed number of partners; facts of hosts,"
        " such as their load, at a rate that is fixed for the whole fleet;"
        " tables are compared in pages",
        experiments=("slopes-membership", "slopes-messages", "slopes-state"),
    )


def _configuration(fleet, costs):
    change_ms = costs.cost_at(
        "slopes-platform",
        "processor time of a change on a host",
        fleet.customers,
    )
    customer_bytes = costs.get("slopes-state", "memory of a customer")
    return Role(
        name="configuration reader",
        state=f"{format_number(fleet.customers)} customers and all targets",
        messages=f"{format_number(fleet.changes_per_second)} changes a second",
        processor=fleet.changes_per_second * change_ms,
        memory=fleet.customers * customer_bytes,
        mechanism="a few hosts of each availability zone, chosen by rank,"
        " watch the root in the key-value service; the others get it and its"
        " content-addressed chunks from peers; a changed scope is loaded in"
        " full",
        experiments=("slopes-platform", "slopes-state"),
    )


def _targets(fleet, costs):
    merge_ms = costs.get("slopes-state", "processor time to merge a target")
    reports_ms = costs.get(
        "slopes-state", "processor time to merge changed reports"
    )
    target_bytes = costs.get("slopes-state", "memory of a target")
    host_bytes = costs.get("slopes-state", "memory of a listed host")
    hosts = fleet.targets + fleet.hosts
    return Role(
        name="target table",
        state=f"{format_number(fleet.targets)} targets,"
        f" {format_number(hosts)} listed hosts; loads of a bounded subset"
        " of the targets only",
        messages="load reports of the subset",
        processor=fleet.targets
        * (
            MERGES_PER_SECOND * reports_ms
            + fleet.changes_per_second * merge_ms
        ),
        memory=fleet.targets * target_bytes + hosts * host_bytes,
        mechanism="each host watches a subset of the targets, chosen by"
        " rank; the table is rebuilt when the configuration or the host list"
        " changes, and otherwise only targets with changed reports are"
        " replaced",
        experiments=("slopes-state",),
    )


def _admission(fleet, costs):
    name = "slopes-admission"
    customer_bytes = costs.get(name, "memory of a customer in admission")
    admission_ms = costs.get(name, "processor time of an admission")
    return Role(
        name="admission and limits",
        state=f"at most {format_number(fleet.customers)} active customers,"
        f" {format_number(fleet.host_streams)} entries",
        messages="no messages of its own for fair shares",
        processor=fleet.host_requests_per_second * admission_ms,
        memory=fleet.customers * customer_bytes,
        mechanism="fair queues per pool with bounds on requests and bytes;"
        " the state of customers without requests is dropped",
        experiments=(name,),
    )


def _execution_home(fleet, costs):
    name = "slopes-execution"
    calls = fleet.host_requests_per_second * (1 - fleet.idempotent_share)
    ticket_ms = costs.get(name, "processor time of a ticket")
    record_bytes = costs.get(name, "memory of a ticket's record")
    records = calls * (fleet.address_valid_seconds + fleet.record_seconds)
    return Role(
        name="execution home",
        state=f"{format_number(records)} records at"
        f" {format_number(calls)} calls a second that are not idempotent",
        messages="one question to the home of the ticket per call",
        processor=calls * ticket_ms,
        memory=records * record_bytes,
        mechanism="the ticket names its home host; records expire",
        experiments=(name,),
    )


def _orderer():
    return Role(
        name="orderer",
        state="one lease and the declared state of each group that it orders",
        messages="renewals of its leases; orders to the targets of its groups",
        processor=None,
        memory=None,
        mechanism="a lease with a fencing token in the key-value service",
        experiments=(),
    )


def _operators_listener(fleet, costs):
    idle_percent = costs.get(
        "slopes-platform", "share of a core of an idle host"
    )
    check_bytes = costs.get(
        "slopes-state", "peak memory of checking a customer"
    )
    base_percent = costs.get(
        "slopes-platform", "share of a core of an idle host: at none"
    )
    return Role(
        name="operators' listener and idle work",
        state="while a scope file is checked, its whole text and YAML nodes",
        messages="status calls and metrics",
        processor=(base_percent + idle_percent) * 10,
        memory=fleet.customers * check_bytes,
        mechanism="a few worker threads; periodic work of the control path",
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
        mechanism="a node imports no numeric library",
        experiments=("imports",),
    )
