"""What callers of the users send, and how they read an answer."""

import json
import urllib.parse

from apricotseam.platform._addresses import ADDRESSES_PATH
from apricotseam.platform.standins._configuration import HOST
from apricotseam.platform.standins._configuration import KEY

MILLISECONDS = 1000


def users_headers(
    changes=(), request_id="r1", deadline_seconds=3.0, content=b""
):
    """Return the headers of a caller.

    Parameters
    ----------
    changes : mapping
        Headers to replace; underscores in names stand for hyphens.
    request_id : str
        Identifier of the request.
    deadline_seconds : float
        Time that the caller gives it.
    content : bytes
        The body that follows.
    """
    values = {
        "Host": HOST,
        "Apricotseam-Request-Id": request_id,
        "Apricotseam-Key": KEY,
        "Apricotseam-Deadline-Ms": str(int(deadline_seconds * MILLISECONDS)),
        "Apricotseam-Token-Count": "10,10",
        "Content-Length": str(len(content)),
    }
    for name, value in dict(changes).items():
        values[name.replace("_", "-")] = value
    return [(name.encode(), value.encode()) for name, value in values.items()]


def address_question(zone):
    """Return the target with which a caller asks for addresses."""
    fields = {"Name": HOST, "Region": "r", "Zone": zone}
    return f"{ADDRESSES_PATH}?{urllib.parse.urlencode(fields)}".encode()


def told_addresses(body):
    """Return the addresses that an answer names."""
    return json.loads(body)["Addresses"]
