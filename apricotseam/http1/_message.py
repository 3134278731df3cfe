"""HTTP/1.1 requests and the classification of headers."""

# Headers that must not be forwarded (RFC 9110, section 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def is_hop_by_hop_header(name):
    """Return whether a header is hop-by-hop, so is not to be forwarded.

    Parameters
    ----------
    name : bytes
        Name of the header in lower case.

    Examples
    --------
    >>> is_hop_by_hop_header(b"keep-alive"), is_hop_by_hop_header(b"host")
    (True, False)
    """
    return name in _HOP_BY_HOP_HEADERS


def end_to_end_headers(headers):
    """Return the headers that are not hop-by-hop, in their order.

    The header ``Connection`` names further ones that are.

    Parameters
    ----------
    headers : list of (bytes, bytes)
        Names and values.

    Examples
    --------
    >>> headers = [(b"Host", b"x"), (b"Connection", b"a"), (b"A", b"1")]
    >>> end_to_end_headers(headers)
    [(b'Host', b'x')]
    """
    options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    options -= {b"close", b"keep-alive"}
    return [
        (name, value)
        for name, value in headers
        if not is_hop_by_hop_header(lower := name.lower())
        and lower not in options
    ]


class Request:
    """One request, received completely.

    Parameters
    ----------
    method, target : bytes
        Method and request target of the request line.
    headers : list of (bytes, bytes)
        Names, in the case in which they were sent, and values.
    body : bytes
        The complete body.
    received_at : float
        Monotonic time in seconds at which the first byte was received.
    """

    __slots__ = (
        "_values_by_name",
        "body",
        "headers",
        "method",
        "received_at",
        "target",
    )

    def __init__(self, method, target, headers, body=b"", received_at=0.0):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.received_at = received_at
        self._values_by_name = {name.lower(): value for name, value in headers}

    @property
    def path(self):
        """Path without the query string."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name):
        """Return the last value of a header, or an empty string.

        Parameters
        ----------
        name : bytes
            Name of the header in lower case.
        """
        return self._values_by_name.get(name, b"").decode("latin-1")
