"""What a host adds to a request that it passes on to another host."""

import msgspec

from apricotseam.errors import InvalidInputError
from apricotseam.http1 import end_to_end_headers
from apricotseam.http1 import Request

HOP_HEADER = b"Relay-Hop"
DECLINED_HEADER = b"Relay-Declined"
# Room for the header that a host adds.
MAX_HOP_BYTES = 1024
_HOP_LOWER = HOP_HEADER.lower()
_LENGTH_LOWER = b"content-length"


class RelayHop(msgspec.Struct, frozen=True, kw_only=True):
    """State of a request at the host that received it from its caller.

    Attributes
    ----------
    host : str
        Name of that host.
    service : str
        Name of the service that the request is for.
    seconds_left : float
        Time in which the answer has to be complete.
    position : int
        Position in the store of the configuration under which that host
        accepted the request. An earlier one must not decide about it.
    runs : int
        Attempts so far that a target may have run.
    last_event : int or None
        Number of the last event that the caller received.
    """

    host: str
    service: str
    seconds_left: float
    position: int
    runs: int = 0
    last_event: int | None = None


def relayed_headers(request, hop):
    """Return the headers of a request that is passed on to another host.

    Parameters
    ----------
    request : Request
        The caller's request.
    hop : RelayHop
        What the other host has to know.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    headers = [
        (name, value)
        for name, value in end_to_end_headers(request.headers)
        if name.lower() not in (_HOP_LOWER, _LENGTH_LOWER)
    ]
    headers.append((HOP_HEADER, msgspec.json.encode(hop)))
    if request.body or request.header(_LENGTH_LOWER):
        length = str(len(request.body)).encode()
        headers.append((b"Content-Length", length))
    return headers


def take_hop(request):
    """Return a relayed request as its caller sent it, and its `RelayHop`.

    Parameters
    ----------
    request : Request
        Request of another host.

    Raises
    ------
    InvalidInputError
        If it doesn't say how it was relayed.

    Examples
    --------
    >>> hop = RelayHop(host="a", service="s", seconds_left=2.5, position=7)
    >>> request = Request(b"GET", b"/", [(b"Host", b"x")])
    >>> relayed = Request(b"GET", b"/", relayed_headers(request, hop))
    >>> taken, found = take_hop(relayed)
    >>> taken.headers, found == hop
    ([(b'Host', b'x')], True)
    """
    try:
        hop = msgspec.json.decode(
            request.header(_HOP_LOWER).encode("latin-1"), type=RelayHop
        )
    except msgspec.MsgspecError as error:
        raise InvalidInputError(
            f"a relayed request has no valid {HOP_HEADER.decode()} header"
            f" ({error})",
            "send it to the address for callers",
        ) from None
    headers = [
        (name, value)
        for name, value in request.headers
        if name.lower() != _HOP_LOWER
    ]
    return (
        Request(
            request.method,
            request.target,
            headers,
            request.body,
            request.received_at,
        ),
        hop,
    )


def declined_cause(response):
    """Return why another host did not take a request, or None if it did.

    Parameters
    ----------
    response : ResponseHead
        Head of that host's answer.
    """
    return response.header(DECLINED_HEADER.lower())
