"""Writes the capacity page from roles and slopes."""

import math

from measure._capacity import busy_cores
from measure._capacity import control_totals
from measure._capacity import platform_calls
from measure._capacity import processes
from measure._capacity import request_cores
from measure._roles import roles
from measure._tables import NOT_MEASURED
from measure._tables import number
from measure._tables import replace_marked

# What will carry a cost that is over its bound, by the name of the cost.
CARRIERS = {
    "processor time of control": "scopes of fewer customers, since a change"
    " loads only its own scope; targets merged again only for the scope that"
    " changed",
    "memory of control": "files checked in parts, so that their nodes are"
    " not all in memory at once; the host list kept by the readers only",
    "memory of control of all processes of a host": "one process of a host"
    " runs control and hands its snapshots to the others over loopback",
    "bytes of control": "smaller pages when tables are compared, and facts"
    " that travel once",
    "key-value service, nothing changes": "a few readers for each"
    " availability zone by rank over the membership, the rest learn from"
    " peers",
    "key-value service, changes of the configuration": "claims and changes"
    " gathered into one swap",
    "cores of the request path": "several processes a host, each with its"
    " own address, and steps of many answers in one call",
}


def page_parts(fleet, costs):
    """Return the marked parts of the page by their markers."""
    listed = roles(fleet, costs)
    return {
        "roles": _roles_table(listed),
        "platform": _platform_table(fleet, costs),
        "request path": _request_path(fleet, costs),
        "excess": _excess(fleet, costs, listed),
    }


def write_page(text, fleet, costs):
    """Return the page with all marked parts replaced."""
    for name, body in page_parts(fleet, costs).items():
        text = replace_marked(text, name, body)
    return text


def over_bound(fleet, costs, listed):
    """Return ``(name, value, bound, unit)`` of all that is over its bound."""
    control = fleet.control
    processor, memory, sent = control_totals(listed)
    found = [
        (
            "processor time of control",
            processor,
            control.processor_percent,
            "% of a core",
        ),
        ("memory of control", memory, control.megabytes, "MB"),
        (
            "memory of control of all processes of a host",
            memory * _needed_processes(fleet, costs),
            control.megabytes,
            "MB",
        ),
        ("bytes of control", sent, control.kilobytes_per_second, "KB/s"),
        ("cores of the request path", request_cores(fleet, costs), 1, "cores"),
    ]
    for part, calls, bound, _ in platform_calls(fleet, costs):
        if bound is not None:
            found.append((part, calls, bound, "calls a second"))
    return [row for row in found if row[1] > row[2]]


def _needed_processes(fleet, costs):
    """Return the fewest processes of a host, 1 if it was not measured."""
    cores = [request_cores(fleet, costs), busy_cores(fleet, costs)]
    known = [value for value in cores if not math.isnan(value)]
    return processes(fleet, min(known)) if known else 1


def _roles_table(listed):
    lines = [
        "| role | state | messages | processor time, ms a second | memory,"
        " MB | sent, KB/s | mechanism | slopes measured by |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for role in listed:
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
        "| calls of the whole fleet to | calls a second | it takes | slope |",
        "|---|---|---|---|",
    ]
    for part, calls, bound, slope in platform_calls(fleet, costs):
        taken = number(bound) if bound is not None else "not stated"
        lines.append(f"| {part} | {_value(calls)} | {taken} | {slope} |")
    return "\n".join(lines)


def _request_path(fleet, costs):
    lines = [
        "| load | cores of a host | processes of a host |",
        "|---|---|---|",
    ]
    for name, cores in (
        (
            f"few answers under way, {fleet.stages} stages",
            request_cores(fleet, costs),
        ),
        ("many answers under way, 2 stages", busy_cores(fleet, costs)),
    ):
        needed = NOT_MEASURED
        if not math.isnan(cores):
            needed = str(processes(fleet, cores))
        lines.append(f"| {name} | {_value(cores)} | {needed} |")
    lines.append("")
    lines.append(
        f"A host carries {number(fleet.host_requests)} requests and"
        f" {number(fleet.host_tokens)} tokens a second at the peak, in"
        f" {number(fleet.host_streams)} answers under way if each token takes"
        f" {number(fleet.between_tokens_milliseconds)} ms. A process may be"
        f" used to {fleet.busy_share:.0%}."
    )
    return "\n".join(lines)


def _excess(fleet, costs, listed):
    lines = []
    for name, value, bound, unit in over_bound(fleet, costs, listed):
        lines.append(
            f"- **{name}**: {number(value)} {unit}, bound {number(bound)}."
            f" To carry it: {CARRIERS[name]}."
        )
    unknown = [
        role.name
        for role in listed
        if any(
            value is None or math.isnan(value)
            for value in (role.processor, role.memory)
        )
    ]
    if unknown:
        lines.append(f"- Not measured in full: {', '.join(unknown)}.")
    return "\n".join(lines) or "Nothing is over its bound."


def _value(value, scale=1.0):
    return number(None if value is None else value / scale)
