"""Entries that targets write of themselves."""

import msgspec

from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.platform._keys import target_identity

_STATES = {"ready": False, "draining": True}


class _Layers(msgspec.Struct, rename="pascal"):
    # Named `From` and `Target` on the wire; the latter is exclusive.
    from_: int = msgspec.field(name="From")
    target: int = msgspec.field(name="Target")


class _Entry(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Counts the target's heartbeats and orders, not its starts.
    sequence: int = 0
    # On a target this names its kind of accelerator, not what may be
    # repeated as on a route.
    route_kind: str = ""
    layers: _Layers | None = None
    # Wall-clock millisecond of the process's start.
    born: int = msgspec.field(name="born", default=0)


_DECODER = msgspec.json.Decoder(_Entry)


def decode_target(key, value, revision):
    """Return the `TargetRecord` of an entry, or None if it names none.

    Other writers may leave entries there with fields that are missing,
    of another type or unknown.

    Parameters
    ----------
    key : str
        Key of the entry.
    value : bytes
        Its value.
    revision : int
        Its revision in the store.
    """
    identity = target_identity(key)
    try:
        entry = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    host, _, port = entry.address.rpartition(":")
    if entry.state not in _STATES or not (identity and host):
        return None
    if not port.isdigit() or entry.slots < 1:
        return None
    return TargetRecord(
        identity=identity,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_draining=_STATES[entry.state],
        kind=entry.route_kind,
        layers=_range(entry.layers),
        is_placeable=bool(entry.route_kind),
        born_ms=entry.born,
        orders=entry.sequence,
        revision=revision,
    )


def _range(layers):
    if layers is None or layers.target <= layers.from_:
        return None
    return LayerRange(layers.from_, layers.target)
