"""Short questions to a host: is it ready, and who else is there."""

import asyncio

from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.platform import READINESS_PATH
from apricotseam.platform.standins import address_question
from apricotseam.platform.standins import told_addresses

ANSWER_SECONDS = 1.0
OK_STATUS = 200
MAX_ANSWER_BYTES = 1 << 16


async def is_ready(host):
    """Return whether a host says that it takes requests."""
    path = READINESS_PATH.encode()
    return await _ask(host.settings.readiness_address, path) is not None


async def ask_addresses(host):
    """Return the callers' addresses that a host tells, if it is there."""
    path = address_question(host.settings.zone)
    body = await _ask(host.settings.directory_address, path)
    return [] if body is None else told_addresses(body)


async def _ask(address, path):
    """Return the body of a good answer; None if the host gives none."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + ANSWER_SECONDS
    try:
        connection = await connect(address, deadline)
    except TransportError:
        # It is down, or has not begun to listen.
        return None
    try:
        connection.send(b"GET", path, [(b"Host", address.encode())])
        answer = await connection.head(deadline)
        body = await connection.read_all(deadline, MAX_ANSWER_BYTES)
    except TransportError:
        # It ended, or stands still.
        return None
    finally:
        connection.close()
    return body if answer.status == OK_STATUS else None
