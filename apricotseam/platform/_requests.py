"""Headers of requests and answers."""

import msgspec

from apricotseam.http1 import is_hop_header

REQUEST_ID = b"Apricotseam-Request-Id"
CUSTOMER_KEY = b"Apricotseam-Key"
CUSTOMER = b"Apricotseam-Tenant"
# Milliseconds that are left, not a point in time.
TIME_LEFT = b"Apricotseam-Deadline-Ms"
TOKEN_COUNT = b"Apricotseam-Token-Count"
LENGTH_HINT = b"Apricotseam-Length-Hint"
PROMPT_PARTS = b"Apricotseam-Prefix-Hash"
LAST_EVENT = b"Last-Event-Id"
EXPECTED_TARGET = b"Apricotseam-Expect-Instance"
# Names the targets of a chain; it counts nothing.
CHAIN = b"Apricotseam-Hop-Count"
URGENCY = b"Apricotseam-Request-Priority"
NOT_RUN = b"apricotseam-not-executed"
SIGNATURE = b"apricotseam-server-signature"
TARGET_AT_FAULT = b"at-server"
LOAD = b"apricotseam-server-load"
RETRY_AFTER = b"Retry-After"

MILLISECONDS = 1000.0
MISDIRECTED = 421

_REQUEST_ID = REQUEST_ID.lower()
# What this host sets itself, or what must not reach a target.
_REPLACED = frozenset(
    name.lower()
    for name in (
        CUSTOMER_KEY,
        CUSTOMER,
        TIME_LEFT,
        EXPECTED_TARGET,
        CHAIN,
        URGENCY,
        LAST_EVENT,
        b"Content-Length",
    )
)


class CallFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's request says beside its path and body.

    ``seconds_left`` is how long the caller waits, counted from the first
    byte. ``last_event`` is the id of the last event that the caller has.
    ``prompt_id`` is the part of the prompt that belongs to the request.
    """

    request_id: str
    host: str
    key: str
    seconds_left: float | None = None
    prompt_tokens: int | None = None
    max_answer_tokens: int | None = None
    expected_answer_tokens: int | None = None
    prompt_id: str = ""
    last_event: int | None = None


class Forwarding(msgspec.Struct, frozen=True, kw_only=True):
    """What this host adds when it passes a request on."""

    seconds_left: float
    target: str
    customer: str = ""
    chain: str = ""
    urgency: int | None = None
    last_event: int | None = None


class AnswerFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a target's answer says.

    ``load`` is running and waiting requests and slots, where told.
    """

    request_id: str | None
    is_signed: bool
    was_not_run: bool
    is_encoded: bool
    target_at_fault: str = ""
    load: tuple[int, int, int] | None = None


def decode_call(request):
    """Return the `CallFacts` of a request."""
    prompt, answer = _pair(request.header(TOKEN_COUNT.lower()))
    parts = request.header(PROMPT_PARTS.lower())
    time_left = _number(request.header(TIME_LEFT.lower()))
    return CallFacts(
        request_id=request.header(_REQUEST_ID),
        host=request.header(b"host"),
        key=request.header(CUSTOMER_KEY.lower()),
        seconds_left=None if time_left is None else time_left / MILLISECONDS,
        prompt_tokens=prompt,
        max_answer_tokens=answer,
        expected_answer_tokens=_number(request.header(LENGTH_HINT.lower())),
        prompt_id=parts.rpartition(",")[2].partition(":")[0],
        last_event=_number(request.header(LAST_EVENT.lower())),
    )


def forwarded_headers(request, forwarding):
    """Return the headers with which a request is passed on.

    Parameters
    ----------
    request : Request
        The caller's request.
    forwarding : Forwarding
        What this host adds.

    Returns
    -------
    list of tuple
        Names and values as bytes.
    """
    dropped = _named_by_connection(request.header(b"connection"))
    headers = [
        (name, value)
        for name, value in request.headers
        if not is_hop_header(lower := name.lower())
        and lower not in _REPLACED
        and lower not in dropped
    ]
    left = max(1, round(forwarding.seconds_left * MILLISECONDS))
    headers.append((TIME_LEFT, str(left).encode()))
    headers.append((EXPECTED_TARGET, forwarding.target.encode()))
    if forwarding.customer:
        headers.append((CUSTOMER, forwarding.customer.encode()))
    if forwarding.chain:
        headers.append((CHAIN, forwarding.chain.encode()))
    if forwarding.urgency is not None:
        headers.append((URGENCY, str(forwarding.urgency).encode()))
    if forwarding.last_event is not None:
        headers.append((LAST_EVENT, str(forwarding.last_event).encode()))
    if request.body or request.header(b"content-length"):
        length = str(len(request.body)).encode()
        headers.append((b"Content-Length", length))
    return headers


def decode_answer(answer):
    """Return the `AnswerFacts` of an answer's head."""
    not_run = answer.header(NOT_RUN) is not None
    encoding = answer.header(b"content-encoding")
    return AnswerFacts(
        request_id=answer.header(_REQUEST_ID),
        is_signed=answer.header(SIGNATURE) is not None,
        was_not_run=not_run or answer.status == MISDIRECTED,
        is_encoded=encoding not in (None, "", "identity"),
        target_at_fault=answer.header(TARGET_AT_FAULT) or "",
        load=_load(answer.header(LOAD)),
    )


def returned_headers(answer):
    """Return the headers of an answer that go to the caller.

    The length is left out: whoever writes the answer sets the framing.
    """
    dropped = _named_by_connection(answer.header(b"connection") or "")
    return [
        (name, value)
        for name, value in answer.headers
        if not is_hop_header(lower := name.lower())
        and lower != b"content-length"
        and lower not in dropped
    ]


def refusal_headers(request_id, retry_after=None):
    """Return the headers of an answer that this host gives by itself.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    retry_after : float, optional
        Seconds after which a repeat is worth trying.
    """
    headers = []
    if request_id:
        headers.append((REQUEST_ID, request_id.encode("latin-1")))
    if retry_after is not None:
        headers.append((RETRY_AFTER, f"{retry_after:.2f}".encode()))
    return headers


def _named_by_connection(value):
    names = {part.strip().lower().encode() for part in value.split(",")}
    return names - {b"", b"close", b"keep-alive"}


def _number(text):
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() else None


def _pair(text):
    first, _, second = text.partition(",")
    return _number(first), _number(second)


def _load(text):
    parts = (text or "").split(",")
    numbers = [_number(part) for part in parts]
    if len(numbers) != 3 or None in numbers:
        return None
    return tuple(numbers)
