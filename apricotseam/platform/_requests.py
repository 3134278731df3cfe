"""Headers of requests and responses."""

import msgspec

from apricotseam.decoding import parse_count
from apricotseam.http1 import end_to_end_headers
from apricotseam.platform._instances import EXPECTED_TARGET_HEADER
from apricotseam.platform._instances import expected_target_headers

REQUEST_ID_HEADER = b"Apricotseam-Request-Id"
API_KEY_HEADER = b"Apricotseam-Key"
CUSTOMER_HEADER = b"Apricotseam-Tenant"
# Remaining time in milliseconds, not a point in time.
DEADLINE_HEADER = b"Apricotseam-Deadline-Ms"
TOKEN_COUNT_HEADER = b"Apricotseam-Token-Count"
LENGTH_HINT_HEADER = b"Apricotseam-Length-Hint"
PREFIX_HASH_HEADER = b"Apricotseam-Prefix-Hash"
LAST_EVENT_HEADER = b"Last-Event-Id"
# Lists the targets of a chain; despite its name it is not a count.
CHAIN_HEADER = b"Apricotseam-Hop-Count"
PRIORITY_HEADER = b"Apricotseam-Request-Priority"
NOT_EXECUTED_HEADER = b"apricotseam-not-executed"
SIGNATURE_HEADER = b"apricotseam-server-signature"
FAILED_TARGET_HEADER = b"at-server"
LOAD_HEADER = b"apricotseam-server-load"
RETRY_AFTER_HEADER = b"Retry-After"

MILLISECONDS_PER_SECOND = 1000.0
MISDIRECTED_REQUEST = 421
# Shared parts of a prompt that are told apart, and the longest hash of one.
MAX_SHARED_PARTS = 32
MAX_PART_CHARACTERS = 64

_REQUEST_ID_LOWER = REQUEST_ID_HEADER.lower()
# Headers that are dropped before this host adds its own values, either
# because it replaces them or because they are not meant for targets.
_NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        API_KEY_HEADER,
        CUSTOMER_HEADER,
        DEADLINE_HEADER,
        EXPECTED_TARGET_HEADER,
        CHAIN_HEADER,
        PRIORITY_HEADER,
        LAST_EVENT_HEADER,
        b"Content-Length",
    )
)


class RequestMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the headers of a caller's request.

    ``seconds_left`` is the caller's timeout in seconds, counted from the
    first byte of the request. ``last_event`` is the id of the last stream
    event that the caller received. ``prompt_id`` is the hash of the last
    part of the prompt, which is specific to this request or its session;
    ``shared_parts`` are the hashes of the other parts, in order. Numbers
    that are missing or invalid are None.
    """

    request_id: str
    host: str
    key: str
    seconds_left: float | None = None
    prompt_tokens: int | None = None
    max_answer_tokens: int | None = None
    expected_answer_tokens: int | None = None
    prompt_id: str = ""
    shared_parts: tuple[str, ...] = ()
    last_event: int | None = None


class Forwarding(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the headers that this host adds to a forwarded request.

    ``seconds_left`` is the time in seconds that the target has to respond.
    ``target`` is the identity of the target for which the request is meant,
    and ``chain`` is its chain as text, or empty. ``last_event`` is the id of
    the last stream event that the caller received.
    """

    seconds_left: float
    target: str
    customer: str = ""
    chain: str = ""
    priority: int | None = None
    last_event: int | None = None


class ResponseMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Values of the headers of a target's response.

    ``is_signed`` is True if the response carries the signature header that
    targets set. ``was_not_run`` is True if the response proves that the
    target did not execute the request. ``is_encoded`` is True if the body has
    a content encoding other than ``identity``. ``failed_target`` is the
    address of the target of a chain that failed, or empty. ``load`` is the
    number of running requests, of waiting requests and of slots, or None if
    not reported.
    """

    request_id: str | None
    is_signed: bool
    was_not_run: bool
    is_encoded: bool
    failed_target: str = ""
    load: tuple[int, int, int] | None = None


def decode_request_metadata(request):
    """Return the `RequestMetadata` of a request."""
    prompt_tokens, max_answer_tokens = _parse_integer_pair(
        request.header(TOKEN_COUNT_HEADER.lower())
    )
    parts = _parse_parts(request.header(PREFIX_HASH_HEADER.lower()))
    remaining_ms = _parse_integer(request.header(DEADLINE_HEADER.lower()))
    return RequestMetadata(
        request_id=request.header(_REQUEST_ID_LOWER),
        host=request.header(b"host"),
        key=request.header(API_KEY_HEADER.lower()),
        seconds_left=(
            None
            if remaining_ms is None
            else remaining_ms / MILLISECONDS_PER_SECOND
        ),
        prompt_tokens=prompt_tokens,
        max_answer_tokens=max_answer_tokens,
        expected_answer_tokens=_parse_integer(
            request.header(LENGTH_HINT_HEADER.lower())
        ),
        prompt_id=parts[-1],
        shared_parts=_unique(parts[:-1]),
        last_event=_parse_integer(request.header(LAST_EVENT_HEADER.lower())),
    )


def forwarded_headers(request, forwarding):
    """Return the headers of a forwarded request.

    Parameters
    ----------
    request : Request
        The caller's request.
    forwarding : Forwarding
        Values of the headers to add.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.headers)
        if name.lower() not in _NOT_FORWARDED
    ]
    remaining_ms = max(
        1, round(forwarding.seconds_left * MILLISECONDS_PER_SECOND)
    )
    headers.append((DEADLINE_HEADER, str(remaining_ms).encode()))
    headers.extend(expected_target_headers(forwarding.target))
    if forwarding.customer:
        headers.append((CUSTOMER_HEADER, forwarding.customer.encode()))
    if forwarding.chain:
        headers.append((CHAIN_HEADER, forwarding.chain.encode()))
    if forwarding.priority is not None:
        headers.append((PRIORITY_HEADER, str(forwarding.priority).encode()))
    if forwarding.last_event is not None:
        headers.append(
            (LAST_EVENT_HEADER, str(forwarding.last_event).encode())
        )
    if request.body or request.header(b"content-length"):
        length = str(len(request.body)).encode()
        headers.append((b"Content-Length", length))
    return headers


def decode_response_metadata(response):
    """Return the `ResponseMetadata` of a response."""
    has_not_executed_header = response.header(NOT_EXECUTED_HEADER) is not None
    encoding = response.header(b"content-encoding")
    return ResponseMetadata(
        request_id=response.header(_REQUEST_ID_LOWER),
        is_signed=response.header(SIGNATURE_HEADER) is not None,
        was_not_run=has_not_executed_header
        or response.status == MISDIRECTED_REQUEST,
        is_encoded=encoding not in (None, "", "identity"),
        failed_target=response.header(FAILED_TARGET_HEADER) or "",
        load=_parse_load(response.header(LOAD_HEADER)),
    )


def returned_headers(response):
    """Return the headers of a response that are passed to the caller.

    ``Content-Length`` and hop-by-hop headers are omitted, since the server
    sets the framing of the response that it writes.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    return [
        (name, value)
        for name, value in end_to_end_headers(response.headers)
        if name.lower() != b"content-length"
    ]


def refusal_headers(request_id, retry_after=None):
    """Return the headers of a response that this host generates.

    Parameters
    ----------
    request_id : str
        Identifier of the request; empty if it has none.
    retry_after : float, optional
        Seconds after which the caller should retry.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    headers = []
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id.encode("latin-1")))
    if retry_after is not None:
        headers.append((RETRY_AFTER_HEADER, f"{retry_after:.2f}".encode()))
    return headers


def _parse_integer(text):
    return parse_count(text.strip())


def _parse_integer_pair(text):
    first, _, second = text.partition(",")
    return _parse_integer(first), _parse_integer(second)


def _parse_parts(text):
    """Return the hashes of a prompt's parts, at least one."""
    return [part.partition(":")[0].strip() for part in text.split(",")]


def _unique(parts):
    """Return the parts that identify anything, each once, in order."""
    known = dict.fromkeys(
        part for part in parts if 0 < len(part) <= MAX_PART_CHARACTERS
    )
    return tuple(known)[:MAX_SHARED_PARTS]


def _parse_load(text):
    parts = (text or "").split(",")
    numbers = [_parse_integer(part) for part in parts]
    if len(numbers) != 3 or None in numbers:
        return None
    return tuple(numbers)
