"""Queries to a host for its readiness and for the addresses of all hosts."""

import asyncio

from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.platform import READINESS_PATH
from apricotseam.platform.standins import address_query_path
from apricotseam.platform.standins import decode_addresses

RESPONSE_TIMEOUT_SECONDS = 1.0
OK_STATUS = 200
MAX_BODY_BYTES = 1 << 16


async def is_ready(host):
    """Return whether a host reports that it accepts requests."""
    path = READINESS_PATH.encode()
    return await _get(host.settings.readiness_address, path) is not None


async def wait_until_ready(hosts, poll_seconds):
    """Wait until all hosts report that they accept requests."""
    for host in hosts:
        while not await is_ready(host):
            await asyncio.sleep(poll_seconds)


async def send_request(host, path, headers, seconds):
    """Send a request to a host; return the status of its complete answer.

    Parameters
    ----------
    host : HostProcess
        The host.
    path : str
        Path of the request, which is a ``POST`` without a body.
    headers : list of tuple
        Pairs of a name and a value, both bytes.
    seconds : float
        Time for all of it.

    Raises
    ------
    TransportError
        If there is no complete answer in that time.
    """
    deadline = asyncio.get_running_loop().time() + seconds
    connection = await connect(host.settings.callers_address, deadline)
    try:
        connection.send(b"POST", path.encode(), headers)
        answer = await connection.head(deadline)
        while await connection.read(deadline):
            pass
        return answer.status
    finally:
        connection.close()


async def fetch_callers_addresses(host):
    """Return the addresses for callers that a host announces.

    The list is empty if the host does not answer.
    """
    path = address_query_path(host.settings.zone)
    body = await _get(host.settings.directory_address, path)
    return [] if body is None else decode_addresses(body)


async def _get(address, path):
    """Return the body of a response with status 200, otherwise None."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RESPONSE_TIMEOUT_SECONDS
    try:
        connection = await connect(address, deadline)
    except TransportError:
        # The host is down or does not listen yet.
        return None
    try:
        connection.send(b"GET", path, [(b"Host", address.encode())])
        head = await connection.head(deadline)
        body = await connection.read_all(deadline, MAX_BODY_BYTES)
    except TransportError:
        # The host exited or is paused.
        return None
    finally:
        connection.close()
    return body if head.status == OK_STATUS else None
