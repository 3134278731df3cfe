"""Messages of HTTP/1.1 as the rest of the program sees them."""

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_HOP_HEADERS = frozenset(
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


def is_hop_header(name):
    """Return whether a header concerns one connection only.

    Parameters
    ----------
    name : bytes
        Name in lower case.

    Examples
    --------
    >>> is_hop_header(b"keep-alive"), is_hop_header(b"host")
    (True, False)
    """
    return name in _HOP_HEADERS


class Request:
    """One request that was read whole.

    Parameters
    ----------
    method, target : bytes
        First line of the request.
    headers : list of tuple
        Names as sent and values, both bytes.
    body : bytes
        The whole body.
    received_at : float
        Monotonic time of its first byte in seconds.
    """

    __slots__ = (
        "_by_name",
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
        self._by_name = {name.lower(): value for name, value in headers}

    @property
    def path(self):
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    def header(self, name):
        """Return the last value of a header as text, or an empty text.

        Parameters
        ----------
        name : bytes
            Name in lower case.
        """
        return self._by_name.get(name, b"").decode("latin-1")
