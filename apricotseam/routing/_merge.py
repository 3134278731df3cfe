"""Merges scope files, the host list and reports into a target table."""

from apricotseam.config import TargetKind
from apricotseam.external import LEAVING
from apricotseam.external import ListedHost
from apricotseam.routing._table import TargetState
from apricotseam.routing._table import TargetTable


def merge_targets(configuration, listed, reports):
    """Return the target table for the current state of the sources.

    A target is leaving if any source says so. A target that is missing
    from the host list is kept, because the list may be out of date.

    Parameters
    ----------
    configuration : Configuration
        The current configuration.
    listed : dict of str to ListedHost
        Host list by address.
    reports : dict of str to EngineReport
        Latest report by address.

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
    """Return the state of a target.

    Parameters
    ----------
    source : tuple of (str, Group, Target or ListedHost)
        Scope, group, and where the target is declared or listed.
    listed : dict of str to ListedHost
        Host list by address.
    reports : dict of str to EngineReport
        Latest report by address.
    """
    scope, group, target = source
    if isinstance(target, ListedHost):
        return _listed_state(scope, group, target, reports)
    return _declared_state(scope, group, target, listed, reports)


def sources_of(configuration, listed, addresses):
    """Return where targets are declared or listed, by address.

    Parameters
    ----------
    configuration : Configuration
        The current configuration.
    listed : dict of str to ListedHost
        Host list by address.
    addresses : set of str
        Addresses to look for.

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
    """Yield scope, group and declaration or list entry of each target.

    A listed host whose address the group declares is not yielded again.
    """
    for scope, scope_file in configuration.scopes.items():
        for group in scope_file.groups:
            declared = {target.address for target in group.targets}
            for target in group.targets:
                yield scope, group, target
            for host in listed.values():
                if host.group == group.name and host.address not in declared:
                    yield scope, group, host


def _declared_state(scope, group, target, listed, reports):
    host = listed.get(target.address)
    leaving = target.leaving or (host is not None and host.state == LEAVING)
    leaving = leaving or _reports_leaving(reports.get(target.address))
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
        version=_available_version(report),
        queued_steps=report.queued_steps if report else 0,
        running_streams=report.running_streams if report else 0,
        max_batch=report.max_batch if report else 0,
        step_seconds=report.step_seconds if report else 0.0,
    )


def _available_version(report):
    """Return the version for which a target takes new streams, or None.

    A target that is loading another version takes none: its current
    version may be unloaded before a stream has started at all stages.
    """
    if report is None or report.loading not in (None, report.version):
        return None
    return report.version


def _reports_leaving(report):
    return report is not None and report.leaving


def _listed_state(scope, group, host, reports):
    report = reports.get(host.address)
    is_engine = group.kind is TargetKind.ENGINE
    return TargetState(
        name=host.name,
        address=host.address,
        availability_zone=host.availability_zone,
        scope=scope,
        group=group.name,
        kind=group.kind,
        leaving=host.state == LEAVING or _reports_leaving(report),
        suspect=is_engine and report is None,
        accelerator=report.accelerator if report else None,
        first=report.first if report else None,
        last=report.last if report else None,
        version=_available_version(report),
        queued_steps=report.queued_steps if report else 0,
        running_streams=report.running_streams if report else 0,
        max_batch=report.max_batch if report else 0,
        step_seconds=report.step_seconds if report else 0.0,
    )
