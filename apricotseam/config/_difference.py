"""Comparison of two versions of a scope file."""

import msgspec

from apricotseam.config._records import Difference

MAX_LISTED_NAMES = 32


def compare_scopes(old, new):
    """Return the `Difference` between two scope files.

    Each list of names is cut after `MAX_LISTED_NAMES`.

    Parameters
    ----------
    old : ScopeFile or None
        The file in force; None if the scope is new.
    new : ScopeFile
        The file that replaces it.

    Returns
    -------
    Difference
    """
    before = _records_by_path(old) if old is not None else {}
    after = _records_by_path(new)
    added = [name for name in after if name not in before]
    removed = [name for name in before if name not in after]
    changed = [
        name
        for name, record in after.items()
        if name in before and before[name] != record
    ]
    total = len(added) + len(removed) + len(changed)
    listed = [names[:MAX_LISTED_NAMES] for names in (added, removed, changed)]
    return Difference(
        added=listed[0],
        removed=listed[1],
        changed=listed[2],
        more=total - sum(map(len, listed)),
    )


def _records_by_path(scope_file):
    """Return the records of a file by a path such as ``customers/name``.

    Targets get paths of their own, so that a change of one target does not
    show as a change of its group.
    """
    found = {}
    for section in scope_file.__struct_fields__:
        value = getattr(scope_file, section)
        if not isinstance(value, list):
            if isinstance(value, msgspec.Struct):
                found[section] = value
            continue
        for record in value:
            name = getattr(record, "name", None)
            if name is None:
                name = "-".join(record.between)
            if section == "groups":
                found.update(_targets_by_path(record))
                record = msgspec.structs.replace(record, targets=[])
            found[f"{section}/{name}"] = record
    return found


def _targets_by_path(group):
    return {
        f"groups/{group.name}/{target.name}": target
        for target in group.targets
    }
