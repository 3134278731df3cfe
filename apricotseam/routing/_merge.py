"""Merges operators' files, the host list and reports into one table."""

from apricotseam.config import TargetKind
from apricotseam.external import LEAVING
from apricotseam.external import ListedHost
from apricotseam.routing._table import TargetState
from apricotseam.routing._table import TargetTable


def merge_targets(configuration, listed, reports):
    """Return the target table of one moment.

    Either source may say that a target is leaving. A target that the host
    list does not show is kept: the list lags and may be stale.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    listed : dict of str to ListedHost
        Host list by address.
    reports : dict of str to EngineReport
        Newest report by address.

    Returns
    -------
    TargetTable
    """
    states = [
        make_state(source, listed, reports)
        for source in _all_sources(configuration, listed)
    ]
    return TargetTable(states)


def make_state(source, listed, reports):
    """Return the state of a target from one of its sources."""
    scope, group, target = source
    if isinstance(target, ListedHost):
        return _joined(scope, group, target, reports)
    return _declared(scope, group, target, listed, reports)


def sources_of(configuration, listed, addresses):
    """Return the sources of targets by address.

    Parameters
    ----------
    configuration : Configuration
        The configuration in force.
    listed : dict of str to ListedHost
        Host list by address.
    addresses : set of str
        Addresses that are looked for.

    Returns
    -------
    dict of str to list of (str, Group, Target or ListedHost)
    """
    found = {}
    for source in _all_sources(configuration, listed):
        address = source[2].address
        if address in addresses:
            found.setdefault(address, []).append(source)
    return found


def _all_sources(configuration, listed):
    for scope, scope_file in configuration.scopes.items():
        for group in scope_file.groups:
            declared = {target.address for target in group.targets}
            for target in group.targets:
                yield scope, group, target
            for host in listed.values():
                if host.group == group.name and host.address not in declared:
                    yield scope, group, host


def _declared(scope, group, target, listed, reports):
    host = listed.get(target.address)
    leaving = target.leaving or (host is not None and host.state == LEAVING)
    leaving = leaving or _says_leaving(reports.get(target.address))
    report = reports.get(target.address)
    layers = target.layers
    return TargetState(
        name=target.name,
        address=target.address,
        availability_zone=target.availability_zone,
        scope=scope,
        group=group.name,
        kind=group.kind,
        leaving=leaving,
        accelerator=target.accelerator,
        first=report.first if report else layers.first if layers else None,
        last=report.last if report else layers.last if layers else None,
        version=_version(report),
        queued_steps=report.queued_steps if report else 0,
        running_streams=report.running_streams if report else 0,
        max_batch=report.max_batch if report else 0,
        step_seconds=report.step_seconds if report else 0.0,
    )


def _version(report):
    """Return the version that a target takes new streams of.

    One that loads another version gets none: the version that it still
    runs may be gone before a stream has begun at all stages.
    """
    if report is None or report.loading not in (None, report.version):
        return None
    return report.version


def _says_leaving(report):
    return report is not None and report.leaving


def _joined(scope, group, host, reports):
    report = reports.get(host.address)
    is_engine = group.kind is TargetKind.ENGINE
    return TargetState(
        name=host.name,
        address=host.address,
        availability_zone=host.availability_zone,
        scope=scope,
        group=group.name,
        kind=group.kind,
        leaving=host.state == LEAVING or _says_leaving(report),
        suspect=is_engine and report is None,
        accelerator=report.accelerator if report else None,
        first=report.first if report else None,
        last=report.last if report else None,
        version=_version(report),
        queued_steps=report.queued_steps if report else 0,
        running_streams=report.running_streams if report else 0,
        max_batch=report.max_batch if report else 0,
        step_seconds=report.step_seconds if report else 0.0,
    )
