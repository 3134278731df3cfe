"""Order of the states of a target when positions do not tell it."""

import msgspec


def is_outdated(record, known, has_left=False):
    """Return whether a record is an earlier state than a known one.

    After the store went back, an entry may have a higher position than a
    later state of the same target. The start of the process, then whether it
    is draining and then the number of its orders tell them apart, since a
    process neither stops draining nor accepts fewer orders. A record that
    differs otherwise is taken as the earlier one.

    Parameters
    ----------
    record : TargetRecord
        The record to compare.
    known : TargetRecord
        The last known record of the same identity.
    has_left : bool
        Whether the target was removed after the known record, so that the
        same state is an earlier one, too.
    """
    if record.born_ms != known.born_ms:
        return record.born_ms < known.born_ms
    if record.is_draining != known.is_draining:
        return known.is_draining
    if record.orders != known.orders:
        return record.orders < known.orders
    if has_left:
        return True
    return record != msgspec.structs.replace(known, position=record.position)
