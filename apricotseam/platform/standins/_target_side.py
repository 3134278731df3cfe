"""The targets' side of the wire formats, for emulated targets."""

import msgspec

from apricotseam.fleet import LayerRange
from apricotseam.platform._announcements import LIMIT_HEADER
from apricotseam.platform._instances import EXPECTED_TARGET_HEADER
from apricotseam.platform._orders import _Layers
from apricotseam.platform._orders import _Order
from apricotseam.platform._orders import _Report
from apricotseam.platform._orders import _StalledEntry
from apricotseam.platform._orders import Placement
from apricotseam.platform._orders import Reroute
from apricotseam.platform._orders import Stage
from apricotseam.platform._requests import API_KEY_HEADER
from apricotseam.platform._requests import CHAIN_HEADER
from apricotseam.platform._requests import DEADLINE_HEADER
from apricotseam.platform._requests import FAILED_TARGET_HEADER
from apricotseam.platform._requests import LAST_EVENT_HEADER
from apricotseam.platform._requests import LENGTH_HINT_HEADER
from apricotseam.platform._requests import MILLISECONDS_PER_SECOND
from apricotseam.platform._requests import NOT_EXECUTED_HEADER
from apricotseam.platform._requests import PREFIX_HASH_HEADER
from apricotseam.platform._requests import REQUEST_ID_HEADER
from apricotseam.platform._requests import SIGNATURE_HEADER
from apricotseam.platform._requests import TOKEN_COUNT_HEADER

_ORDER_DECODER = msgspec.json.Decoder(_Order)


class ForwardedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the headers that a target receives from a host.

    ``target`` is the identity of the target for which the request is meant.
    ``last_event`` is the id of the last event that the caller received, 0 if
    it received none. ``prompt_parts`` are the hashes of the prompt's parts.
    """

    request_id: str
    target: str
    chain: tuple[Stage, ...]
    last_event: int = 0
    prompt_parts: tuple[str, ...] = ()


def generation_headers(
    *,
    host,
    request_id,
    key,
    seconds_left,
    prompt_tokens,
    max_answer_tokens,
    expected_answer_tokens,
    prompt_parts,
    last_event=0,
):
    """Return the headers of a caller's request for a stream of tokens.

    Parameters
    ----------
    host, request_id, key : str
        Host name, identifier of the request and API key.
    seconds_left : float
        Time for which the caller waits.
    prompt_tokens, max_answer_tokens, expected_answer_tokens : int
        Size of the prompt, limit and estimate of the answer's.
    prompt_parts : sequence of str
        Hashes of the parts of the prompt, in order.
    last_event : int
        Last event that the caller received, 0 for none.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    values = [
        (b"Host", host),
        (REQUEST_ID_HEADER, request_id),
        (API_KEY_HEADER, key),
        (DEADLINE_HEADER, round(seconds_left * MILLISECONDS_PER_SECOND)),
        (TOKEN_COUNT_HEADER, f"{prompt_tokens},{max_answer_tokens}"),
        (LENGTH_HINT_HEADER, expected_answer_tokens),
        (PREFIX_HASH_HEADER, _encode_parts(prompt_parts, prompt_tokens)),
        (b"Content-Length", 0),
    ]
    if last_event:
        values.append((LAST_EVENT_HEADER, last_event))
    return [(name, str(value).encode()) for name, value in values]


def decode_forwarded_request(headers):
    """Return the `ForwardedRequest` of a list of header pairs."""
    values = {name.lower(): value.decode() for name, value in headers}
    return ForwardedRequest(
        request_id=values[REQUEST_ID_HEADER.lower()],
        target=values.get(EXPECTED_TARGET_HEADER.lower(), ""),
        chain=decode_chain(values.get(CHAIN_HEADER.lower(), "")),
        last_event=int(values.get(LAST_EVENT_HEADER.lower(), 0)),
        prompt_parts=_decode_parts(values.get(PREFIX_HASH_HEADER.lower(), "")),
    )


def _encode_parts(parts, tokens):
    """Return the text form of a prompt whose parts are of equal size."""
    return ",".join(f"{part}:{tokens // len(parts)}" for part in parts)


def _decode_parts(text):
    return tuple(part.partition(":")[0] for part in text.split(","))


def decode_chain(text):
    """Return the stages of a chain in text form.

    Examples
    --------
    >>> decode_chain("10.0.0.1:80=0-20")[0].address
    '10.0.0.1:80'
    """
    stages = []
    for part in filter(None, text.split(",")):
        address, _, layers = part.partition("=")
        first, _, last = layers.partition("-")
        stages.append(Stage(address, LayerRange(int(first), int(last))))
    return tuple(stages)


def limit_headers(requests_per_second):
    """Return the headers of a target that states a limit; None states none.

    Examples
    --------
    >>> limit_headers(2.5)
    [(b'server-limit', b'2.5')]
    """
    if requests_per_second is None:
        return []
    return [(LIMIT_HEADER, f"{requests_per_second:g}".encode())]


def signed_headers(request_id):
    """Return the headers of a target's answer to a request that it ran."""
    return [
        (REQUEST_ID_HEADER, request_id.encode()),
        (SIGNATURE_HEADER, b"emulated"),
    ]


def not_run_headers(request_id, failed_target=""):
    """Return the headers of a target's refusal to run a request."""
    headers = [
        (REQUEST_ID_HEADER, request_id.encode()),
        (NOT_EXECUTED_HEADER, b"1"),
    ]
    if failed_target:
        headers.append((FAILED_TARGET_HEADER, failed_target.encode()))
    return headers


def decode_order(body):
    """Return the `Placement` or `Reroute` in the body of an order."""
    order = _ORDER_DECODER.decode(body)
    if order.op == "repath":
        return Reroute(request_id=order.id, chain=decode_chain(order.path))
    return Placement(
        layers=LayerRange(order.from_, order.target),
        fence=order.fencing_token or 0,
        after_orders=order.expected,
    )


def encode_report(report):
    """Return a `TargetReport` as the body of an answer."""
    layers = report.layers
    return msgspec.json.encode(
        _Report(
            busy=report.is_busy,
            sequence=report.orders,
            queued=report.queued,
            active=report.running,
            kv_used=report.used_units,
            kv_total=report.total_units,
            layers=layers and _Layers(layers.first, layers.last),
            stalled=[
                _StalledEntry(stalled.request_id, stalled.address)
                for stalled in report.stalled
            ],
            pace=report.slowness,
            born=report.born_ms,
        )
    )
