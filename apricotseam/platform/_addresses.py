"""Requests of callers for host addresses, and their responses."""

import urllib.parse

import msgspec

ADDRESSES_PATH = "/v1/resolve"
READINESS_PATH = "/v1/readyz"
# Callers ignore any further addresses in a response.
MAX_ADDRESSES = 64


class AddressQuery(msgspec.Struct, frozen=True):
    """Host name to resolve, and the region and zone of the caller."""

    host: str
    region: str
    zone: str


class _Answer(msgspec.Struct, rename="pascal"):
    addresses: list[str]
    ttl_s: float


def decode_address_query(target):
    """Return the `AddressQuery` of a request target.

    Parameters
    ----------
    target : bytes
        Path and query of the HTTP request.

    Returns
    -------
    AddressQuery or None
        None if the path is another one.
    """
    path, _, query = target.decode("latin-1").partition("?")
    if path != ADDRESSES_PATH:
        return None
    fields = dict(urllib.parse.parse_qsl(query))
    return AddressQuery(
        host=fields.get("Name", ""),
        region=fields.get("Region", ""),
        zone=fields.get("Zone", ""),
    )


def encode_addresses(addresses, seconds):
    """Return the response body for a list of addresses.

    Parameters
    ----------
    addresses : list of str
        ``ip:port`` of each host.
    seconds : float
        Time for which callers may use the addresses.

    Returns
    -------
    bytes
    """
    return msgspec.json.encode(_Answer(addresses, seconds))
