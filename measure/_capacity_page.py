"""Writes the capacity page from the roles of a host and measured slopes."""

import math

from measure._capacity import busy_request_cores
from measure._capacity import control_totals
from measure._capacity import platform_calls
from measure._capacity import process_count
from measure._capacity import request_cores
from measure._roles import roles
from measure._tables import format_number
from measure._tables import NOT_MEASURED
from measure._tables import replace_marked

# Planned remedies by the name of the cost, for costs that exceed their bound.
REMEDIES = {
    "processor time of control": "scopes with fewer customers, since a"
    " change loads only its own scope; merging only the targets of the scope"
    " that changed",
    "memory of control": "checking scope files in parts, so that not all of"
    " their YAML nodes are in memory at once; keeping the host list only on"
    " the hosts that read it",
    "memory of control of all processes of a host": "one process of a host"
    " does the control work and sends its snapshots to the others over"
    " loopback",
    "bytes of control": "smaller pages when tables are compared, and sending"
    " each fact only once",
    "key-value service, nothing changes": "a few reading hosts in each"
    " availability zone, chosen by rank over the membership; the others get"
    " the data from peers",
    "key-value service, changes of the configuration": "batching"
    " claims and changes into one compare-and-swap",
    "cores of the request path": "several processes per host, each with its"
    " own address, and steps of many answers in one call",
}


def page_parts(fleet, costs):
    """Return the texts of the marked parts of the page.

    Returns
    -------
    dict of str to str
        Text by the name of the marker.
    """
    host_roles = roles(fleet, costs)
    return {
        "roles": _roles_table(host_roles),
        "platform": _platform_table(fleet, costs),
        "request path": _request_path(fleet, costs),
        "excess": _excess(fleet, costs, host_roles),
    }


def write_page(text, fleet, costs):
    """Return the text of the page with all marked parts replaced."""
    for name, body in page_parts(fleet, costs).items():
        text = replace_marked(text, name, body)
    return text


def over_bound(fleet, costs, host_roles):
    """Return ``(name, value, bound, unit)`` of each cost over its bound."""
    control = fleet.control
    processor, memory, sent = control_totals(host_roles)
    rows = [
        (
            "processor time of control",
            processor,
            control.processor_percent,
            "% of a core",
        ),
        ("memory of control", memory, control.megabytes, "MB"),
        (
            "memory of control of all processes of a host",
            memory * _min_process_count(fleet, costs),
            control.megabytes,
            "MB",
        ),
        ("bytes of control", sent, control.kilobytes_per_second, "KB/s"),
        ("cores of the request path", request_cores(fleet, costs), 1, "cores"),
    ]
    for part, calls, bound, _ in platform_calls(fleet, costs):
        if bound is not None:
            rows.append((part, calls, bound, "calls a second"))
    return [row for row in rows if row[1] > row[2]]


def _min_process_count(fleet, costs):
    """Return the smallest number of processes of a host.

    It is 1 if the cost of the request path was not measured.
    """
    cores = [request_cores(fleet, costs), busy_request_cores(fleet, costs)]
    known = [value for value in cores if not math.isnan(value)]
    return process_count(fleet, min(known)) if known else 1


def _roles_table(host_roles):
    lines = [
        "| role | state | messages | processor time, ms a second | memory,"
        " MB | sent, KB/s | mechanism | slopes measured by |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for role in host_roles:
        commands = ", ".join(
            f"`python -m measure run {name}`" for name in role.experiments
        )
        cells = [
            role.name + ("" if role.is_control else " (not control)"),
            role.state,
            role.messages,
            _value(role.processor),
            _value(role.memory, 1e6),
            _value(role.sent, 1e3) if role.sent is not None else "",
            role.mechanism,
            commands or NOT_MEASURED,
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _platform_table(fleet, costs):
    lines = [
        "| calls of the whole fleet to | calls a second | limit | slope |",
        "|---|---|---|---|",
    ]
    for part, calls, bound, slope in platform_calls(fleet, costs):
        limit = format_number(bound) if bound is not None else "not stated"
        lines.append(f"| {part} | {_value(calls)} | {limit} | {slope} |")
    return "\n".join(lines)


def _request_path(fleet, costs):
    lines = [
        "| load | cores of a host | processes of a host |",
        "|---|---|---|",
    ]
    for name, cores in (
        (
            f"few answers in progress, {fleet.stages} stages",
            request_cores(fleet, costs),
        ),
        (
            "many answers in progress, 2 stages",
            busy_request_cores(fleet, costs),
        ),
    ):
        needed = NOT_MEASURED
        if not math.isnan(cores):
            needed = str(process_count(fleet, cores))
        lines.append(f"| {name} | {_value(cores)} | {needed} |")
    lines.append("")
    lines.append(
        "At the peak, a host serves"
        f" {format_number(fleet.host_requests_per_second)} requests and"
        f" {format_number(fleet.host_tokens_per_second)} tokens a second, with"
        f" {format_number(fleet.host_streams)} answers in progress if each"
        f" token takes {format_number(fleet.between_tokens_milliseconds)} ms."
        f" The planned utilization of a process is at most"
        f" {fleet.busy_share:.0%}."
    )
    return "\n".join(lines)


def _excess(fleet, costs, host_roles):
    lines = []
    for name, value, bound, unit in over_bound(fleet, costs, host_roles):
        lines.append(
            f"- **{name}**: {format_number(value)} {unit}, bound"
            f" {format_number(bound)}. Planned remedy: {REMEDIES[name]}."
        )
    unmeasured = [
        role.name
        for role in host_roles
        if any(
            value is None or math.isnan(value)
            for value in (role.processor, role.memory)
        )
    ]
    if unmeasured:
        lines.append(f"- Not fully measured: {', '.join(unmeasured)}.")
    return "\n".join(lines) or "Nothing is over its bound."


def _value(value, scale=1.0):
    return format_number(None if value is None else value / scale)
