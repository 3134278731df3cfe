"""Requests as callers of the platform send them."""

import json
import urllib.parse

from apricotseam.platform._addresses import ADDRESSES_PATH
from apricotseam.platform.standins._configuration import HOST
from apricotseam.platform.standins._configuration import KEY

MILLISECONDS_PER_SECOND = 1000


def caller_headers(
    changes=(), request_id="r1", deadline_seconds=3.0, content=b""
):
    """Return the headers of a caller's request.

    Parameters
    ----------
    changes : mapping
        Headers to add or replace, by name; underscores in names stand for
        hyphens.
    request_id : str
        Identifier of the request.
    deadline_seconds : float
        Time in seconds for which the caller waits.
    content : bytes
        Body of the request.

    Returns
    -------
    list of tuple
        Pairs of a name and a value, both bytes.
    """
    values = {
        "Host": HOST,
        "Apricotseam-Request-Id": request_id,
        "Apricotseam-Key": KEY,
        "Apricotseam-Deadline-Ms": str(
            int(deadline_seconds * MILLISECONDS_PER_SECOND)
        ),
        "Apricotseam-Token-Count": "10,10",
        "Content-Length": str(len(content)),
    }
    for name, value in dict(changes).items():
        values[name.replace("_", "-")] = value
    return [(name.encode(), value.encode()) for name, value in values.items()]


def prompt_changes(key, parts, part_tokens, answer_tokens):
    """Return header changes for `caller_headers` of a request with a prompt.

    Parameters
    ----------
    key : str
        Key of the customer.
    parts : list of str
        Hashes of the parts of the prompt; none for other requests.
    part_tokens, answer_tokens : int
        Number of tokens of each part and of the answer.

    Returns
    -------
    dict of str to str
        Values by name.
    """
    tokens = part_tokens * len(parts)
    changes = {
        "Apricotseam-Key": key,
        "Apricotseam-Token-Count": f"{tokens},{answer_tokens}",
    }
    if parts:
        entries = (f"{part}:{part_tokens}" for part in parts)
        changes["Apricotseam-Prefix-Hash"] = ",".join(entries)
    return changes


def address_query_path(zone):
    """Return the request target of a caller's query for addresses.

    Parameters
    ----------
    zone : str
        Zone of the caller.

    Returns
    -------
    bytes
    """
    query = {"Name": HOST, "Region": "r", "Zone": zone}
    return f"{ADDRESSES_PATH}?{urllib.parse.urlencode(query)}".encode()


def decode_addresses(body):
    """Return the addresses, as ``ip:port``, in the body of a response."""
    return json.loads(body)["Addresses"]
