"""Store entries with which targets register themselves."""

import re
from typing import Annotated

import msgspec

from apricotseam.fleet import LayerRange
from apricotseam.fleet import TargetRecord
from apricotseam.platform._keys import target_identity

# Whether a target in each state is draining.
_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Identities and addresses are sent to targets in headers, and addresses as
# parts of chains, which ``,`` and ``=`` divide.
_IDENTITY = re.compile(r"[!-~]+")
_ADDRESS = re.compile(r"[0-9A-Za-z._:\[\]-]+:[0-9]{1,5}")
MAX_PORT = (1 << 16) - 1
_Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _Layers(msgspec.Struct, rename="pascal"):
    # The range is half-open: `Target` is the first layer not held.
    from_: _Count = msgspec.field(name="From")
    target: _Count = msgspec.field(name="Target")


class _Entry(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    # Incremented by each heartbeat and order, not by a restart.
    sequence: _Count = 0
    # Kind of accelerator of the target. On a route the field of this name
    # is its retry policy instead.
    route_kind: str = ""
    layers: _Layers | None = None
    # Start time of the process, Unix time in milliseconds.
    born: _Count = msgspec.field(name="born", default=0)


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
        entry = _DECODER.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if entry.state not in _DRAINING_BY_STATE or entry.slots < 1:
        return None
    if not (_IDENTITY.fullmatch(identity) and _is_address(entry.address)):
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


def _is_address(text):
    if not _ADDRESS.fullmatch(text):
        return False
    return 0 < int(text.rpartition(":")[2]) <= MAX_PORT


def _layer_range(layers):
    if layers is None or layers.target <= layers.from_:
        return None
    return LayerRange(layers.from_, layers.target)
