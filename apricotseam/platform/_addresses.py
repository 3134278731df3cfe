"""The question of callers for addresses, and its answer."""

import urllib.parse

import msgspec

ADDRESSES_PATH = "/v1/resolve"
READINESS_PATH = "/v1/readyz"
# Callers use at most this many of the addresses that they are told.
MAX_ADDRESSES = 64


class AddressQuestion(msgspec.Struct, frozen=True):
    """Who asks: the host name wanted and the caller's place."""

    host: str
    region: str
    zone: str


class _Answer(msgspec.Struct, rename="pascal"):
    addresses: list[str]
    ttl_s: float


def decode_address_question(target):
    """Return the `AddressQuestion` of a request's target, or None.

    Parameters
    ----------
    target : bytes
        Path and query.
    """
    path, _, query = target.decode("latin-1").partition("?")
    if path != ADDRESSES_PATH:
        return None
    fields = dict(urllib.parse.parse_qsl(query))
    return AddressQuestion(
        host=fields.get("Name", ""),
        region=fields.get("Region", ""),
        zone=fields.get("Zone", ""),
    )


def encode_addresses(addresses, seconds):
    """Return the body that names addresses, valid for some seconds."""
    return msgspec.json.encode(_Answer(addresses, seconds))
