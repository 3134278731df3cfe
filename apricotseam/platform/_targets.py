"""Store entries with which targets register themselves."""

import re

import msgspec

from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.decoding import is_address
from apricotseam.decoding import Name
from apricotseam.errors import InvalidInputError
from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.platform._keys import target_identity

# Whether a target in each state is draining.
_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Identities are sent to targets in headers.
_IDENTITY = re.compile(r"[!-~]+")


class _Layers(msgspec.Struct, rename="pascal"):
    # The range is half-open: `Target` is the first layer not held.
    from_: Count = msgspec.field(name="From")
    target: Count = msgspec.field(name="Target")


class _Entry(msgspec.Struct, rename="pascal"):
    service: Name
    address: str
    zone: Name
    state: str
    slots: Count = 1
    # Incremented by each heartbeat and order, not by a restart.
    sequence: Count = 0
    # Kind of accelerator of the target. On a route the field of this name
    # is its retry policy instead.
    route_kind: Name = ""
    layers: _Layers | None = None
    # Start time of the process, Unix time in milliseconds.
    born: Count = msgspec.field(name="born", default=0)


_DECODER = msgspec.json.Decoder(_Entry)


def decode_target(key, value, position):
    """Return the `TargetRecord` of a store entry, or None if invalid.

    Unknown fields are ignored. An entry is invalid if required fields are
    missing or of another type, or if no request could be sent to its target;
    other programs may write such entries.

    Parameters
    ----------
    key : str
        Key of the entry.
    value : bytes
        JSON value of the entry.
    position : Position
        Position of the entry in the store.

    Returns
    -------
    TargetRecord or None
    """
    identity = target_identity(key)
    try:
        entry = decode_json(_DECODER, value)
    except InvalidInputError:
        return None
    if entry.state not in _DRAINING_BY_STATE or entry.slots < 1:
        return None
    if not (_IDENTITY.fullmatch(identity) and is_address(entry.address)):
        return None
    return TargetRecord(
        identity=identity,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_draining=_DRAINING_BY_STATE[entry.state],
        kind=entry.route_kind,
        layers=_layer_range(entry.layers),
        is_placeable=bool(entry.route_kind),
        born_ms=entry.born,
        orders=entry.sequence,
        position=position,
    )


def _layer_range(layers):
    if layers is None or layers.target <= layers.from_:
        return None
    return LayerRange(layers.from_, layers.target)
