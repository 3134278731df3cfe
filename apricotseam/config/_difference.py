"""What differs between two files of one scope."""

import msgspec

from apricotseam.config._records import Difference

MAX_NAMES = 32


def compare_scopes(old, new):
    """Return the `Difference` between two scope files.

    Parameters
    ----------
    old : ScopeFile or None
        The file in force.
    new : ScopeFile
        The file that replaces it.

    Returns
    -------
    Difference
    """
    before = _named(old) if old is not None else {}
    after = _named(new)
    added = [name for name in after if name not in before]
    removed = [name for name in before if name not in after]
    changed = [
        name
        for name, record in after.items()
        if name in before and before[name] != record
    ]
    total = len(added) + len(removed) + len(changed)
    lists = [names[:MAX_NAMES] for names in (added, removed, changed)]
    return Difference(
        added=lists[0],
        removed=lists[1],
        changed=lists[2],
        more=total - sum(map(len, lists)),
    )


def _named(scope_file):
    """Return the records of a file by section and name."""
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
                found.update(_targets(record))
                record = msgspec.structs.replace(record, targets=[])
            found[f"{section}/{name}"] = record
    return found


def _targets(group):
    return {
        f"groups/{group.name}/{target.name}": target
        for target in group.targets
    }
