"""Orders to targets, status reports of targets, and chains as text."""

import enum

import msgspec

from apricotseam.decoding import Amount
from apricotseam.decoding import Count
from apricotseam.decoding import decode_json
from apricotseam.errors import InvalidInputError
from apricotseam.fleet import LayerRange
from apricotseam.positions import Position

REPORT_PATH = b"/v1/report"
ORDER_PATH = b"/v1/order"


class OrderOutcome(enum.Enum):
    """Response of a target to an order, by HTTP status code.

    The target has accepted the order if the outcome is ``BEGUN``, when it
    has started to carry it out, or ``HOLDS``, when nothing is left to do.
    ``FENCED`` means that the fencing token of the order is outdated.
    ``FAILED`` stands for any other status or no response.
    """

    BEGUN = 202
    HOLDS = 200
    CONFLICT = 409
    FENCED = 412
    WRONG_TARGET = 421
    UNKNOWN = 404
    UNSUPPORTED = 400
    FAILED = 0

    @classmethod
    def of_status(cls, status):
        """Return the outcome for a status code, `FAILED` if unknown."""
        try:
            return cls(status)
        except ValueError:
            return cls.FAILED


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Order to hold a range of layers and no others.

    ``fence`` is the fencing token of the host that gives the order: the
    `Position` at which it was elected. ``after_orders`` is the number of
    orders that the target must have accepted so far.
    """

    layers: LayerRange
    fence: Position
    after_orders: int | None = None

    def encode(self):
        """Return the body of the order as bytes."""
        return msgspec.json.encode(
            _Order(
                op="place",
                from_=self.layers.first,
                target=self.layers.last,
                mode="queue",
                fencing_token=int(self.fence),
                expected=self.after_orders,
            )
        )


class Stage(msgspec.Struct, frozen=True):
    """One stage of a chain: address of a target and the layers it runs."""

    address: str
    layers: LayerRange


class Reroute(msgspec.Struct, frozen=True, kw_only=True):
    """Order to the first target of a chain to continue on another chain."""

    request_id: str
    chain: tuple[Stage, ...]

    def encode(self):
        """Return the body of the order as bytes."""
        return msgspec.json.encode(
            _Order(
                op="repath", id=self.request_id, path=format_chain(self.chain)
            )
        )


class StalledRequest(msgspec.Struct, frozen=True):
    """A request that is blocked by an unresponsive target.

    ``address`` is the ``ip:port`` of that target.
    """

    request_id: str
    address: str


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a target, up to some hundred milliseconds old.

    ``used_units`` and ``total_units`` are sizes of the KV cache, in tokens
    times layers. ``slowness`` is the factor by which the target runs slower
    than expected, 1 if it runs as expected.
    ``orders`` is the number of orders that it accepted, ``born_ms`` the
    start time of its process, Unix time in milliseconds.
    """

    is_busy: bool = False
    orders: int = 0
    running: int = 0
    queued: int = 0
    used_units: float = 0.0
    total_units: float = 0.0
    slowness: float = 1.0
    born_ms: int = 0
    layers: LayerRange | None = None
    stalled: tuple[StalledRequest, ...] = ()


class _Order(msgspec.Struct, rename="pascal", omit_defaults=True):
    op: str
    from_: int | None = msgspec.field(name="From", default=None)
    target: int | None = None
    mode: str | None = None
    fencing_token: int | None = None
    expected: int | None = None
    id: str | None = None
    path: str | None = None


class _StalledEntry(msgspec.Struct, rename="pascal"):
    id: str = ""
    address: str = ""


class _Layers(msgspec.Struct, rename="pascal"):
    from_: Count = msgspec.field(name="From", default=0)
    target: Count = 0


class _Report(msgspec.Struct, rename="pascal"):
    busy: bool = False
    sequence: Count = 0
    queued: Count = 0
    active: Count = 0
    kv_used: Amount = 0.0
    kv_total: Amount = 0.0
    layers: _Layers | None = None
    stalled: list[_StalledEntry] = []
    pace: Amount = msgspec.field(name="pace", default=1.0)
    born: Count = msgspec.field(name="born", default=0)


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(body):
    """Decode the body of a status report.

    Returns
    -------
    TargetReport

    Raises
    ------
    InvalidInputError
        If the body is not a valid report.
    """
    try:
        report = decode_json(_DECODER, body)
    except InvalidInputError as error:
        raise InvalidInputError(
            f"invalid report from a target ({error.found})", "ask again later"
        ) from None
    layers = report.layers
    return TargetReport(
        is_busy=report.busy,
        orders=report.sequence,
        running=report.active,
        queued=report.queued,
        used_units=report.kv_used,
        total_units=report.kv_total,
        slowness=report.pace,
        born_ms=report.born,
        layers=(
            LayerRange(layers.from_, layers.target)
            if layers and layers.target > layers.from_
            else None
        ),
        stalled=tuple(
            StalledRequest(entry.id, entry.address) for entry in report.stalled
        ),
    )


def format_chain(stages):
    """Return a chain as text, ``address=first-last`` for each stage.

    Examples
    --------
    >>> format_chain([Stage("10.0.0.1:80", LayerRange(0, 20))])
    '10.0.0.1:80=0-20'
    """
    return ",".join(
        f"{stage.address}={stage.layers.first}-{stage.layers.last}"
        for stage in stages
    )
