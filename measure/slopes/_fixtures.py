"""Builds configurations, target tables and host lists of a given size."""

import msgspec

from apricotseam.config._load import load_scope_data
from apricotseam.config import Configuration
from apricotseam.config import ScopeFile
from apricotseam.external import EngineReport
from apricotseam.external import ListedHost
from apricotseam.membership import Member
from apricotseam.membership import MemberTable
from apricotseam.routing import merge_targets
from measure._scope import dump_scope
from measure._scope import synthetic_scope
from measure._scope import ZONES

STAGES = 4


def scope_text(customers=10, targets=8):
    """Return a scope file, as operators write it, of a given size."""
    scope = synthetic_scope(
        chains=max(1, targets // STAGES), stages=STAGES, customers=customers
    )
    return dump_scope(scope)


def stored_scope(customers):
    """Return a scope as JSON, in the form that hosts read and decode."""
    scope = synthetic_scope(customers=customers)
    return msgspec.json.encode(msgspec.convert(scope, type=ScopeFile))


def configuration_from_data(data):
    """Return the configuration that a host loads from `stored_scope`."""
    scope_file = load_scope_data(data)
    return Configuration(1, {scope_file.scope: scope_file})


def configuration_with_targets(size):
    """Return a configuration with a number of targets."""
    scope = synthetic_scope(chains=max(1, size // STAGES), stages=STAGES)
    scope_file = msgspec.convert(scope, type=ScopeFile)
    return Configuration(1, {scope_file.scope: scope_file})


def target_table(size):
    """Return a target table with a report of each target."""
    configuration = configuration_with_targets(size)
    return merge_targets(configuration, {}, engine_reports(configuration))


def engine_reports(configuration):
    """Return a report of each engine of a configuration, by address."""
    by_address = {}
    for scope_file in configuration.scopes.values():
        for group in scope_file.groups:
            for target in group.targets:
                if target.layers is not None:
                    by_address[target.address] = _engine_report(group, target)
    return by_address


def listed_hosts(size):
    """Return the host list by address, decoded as a host decodes it."""
    hosts = [_listed_host(number) for number in range(size)]
    body = msgspec.json.encode(hosts)
    decoded = msgspec.json.decode(body, type=list[ListedHost])
    return {host.address: host for host in decoded}


def members(size):
    """Return a membership table with a number of members."""
    return MemberTable(
        [member(number) for number in range(size)], peer_address(0)
    )


def member(number):
    """Return the record of one member."""
    return Member(
        name=f"entry-{number}",
        peers_address=peer_address(number),
        callers_address=f"10.3.{number // 250}.{number % 250}:8080",
        operators_address=f"10.3.{number // 250}.{number % 250}:8081",
        availability_zone=ZONES[number % len(ZONES)],
        incarnation=1_780_000_000_000 + number,
    )


def peer_address(number):
    """Return the address on which a member listens to its peers."""
    return f"10.3.{number // 250}.{number % 250}:8082"


def _engine_report(group, target):
    return EngineReport(
        name=target.name,
        model=group.model,
        version="v1",
        first=target.layers.first,
        last=target.layers.last,
        accelerator="standard",
        queued_steps=1,
        running_streams=1,
        max_batch=16,
        step_seconds=0.02,
    )


def _listed_host(number):
    return ListedHost(
        name=f"entry-{number}",
        address=f"10.3.{number // 250}.{number % 250}:8080",
        role="entry",
        availability_zone=ZONES[number % len(ZONES)],
    )
