"""Callers that discover hosts and send requests on persistent connections."""

import asyncio
import itertools

from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.http1 import TransportTimeoutError
from apricotseam.platform import decode_response_metadata
from apricotseam.platform.standins import caller_headers
from soak._queries import fetch_callers_addresses
from soak._records import Attempt
from soak._records import AttemptOutcome
from soak._records import RequestKind

# Deadline that each request carries, from the time it is sent.
DEADLINE_SECONDS = 2.0
# Time past its deadline after which a request counts as hung.
HANG_GRACE_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 1.0
# Pause of a caller before each request.
PAUSE_SECONDS = 0.02
ADDRESS_REFRESH_INTERVAL_SECONDS = 0.5


class CallerPool:
    """Concurrent callers, each with at most one connection at a time.

    Parameters
    ----------
    cluster : Cluster
        System under test, to whose hosts they send requests.
    rng : random.Random
        Source of their random choices.
    count : int
        Number of callers.
    prefix : str
        First letter of the identifiers of their requests.
    """

    def __init__(self, cluster, rng, count=6, prefix="q"):
        self._prefix = prefix
        self._cluster = cluster
        self._rng = rng
        self._count = count
        self._request_numbers = itertools.count()
        self._addresses = []
        self._is_stopping = False

    def stop(self):
        """Send no more requests; `run` returns when all have ended."""
        self._is_stopping = True

    async def run(self):
        """Send requests until `stop` is called."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._refresh_addresses())
            for _ in range(self._count):
                group.create_task(self._run_caller())

    async def _refresh_addresses(self):
        """Fetch the addresses repeatedly, from any host that answers."""
        while not self._is_stopping:
            for host in self._rng.sample(
                self._cluster.hosts, len(self._cluster.hosts)
            ):
                addresses = await fetch_callers_addresses(host)
                if addresses:
                    self._addresses = addresses
                    break
            await asyncio.sleep(ADDRESS_REFRESH_INTERVAL_SECONDS)

    async def _run_caller(self):
        """Send one request after another until `stop` is called."""
        connection = None
        while not self._is_stopping:
            await asyncio.sleep(PAUSE_SECONDS)
            if connection is None or not connection.is_usable:
                connection = await self._connect()
            if connection is not None:
                connection = await self._send_request(connection)
        if connection is not None:
            connection.close()

    async def _connect(self):
        """Return a connection to a random host; None if it fails."""
        if not self._addresses:
            return None
        loop = asyncio.get_running_loop()
        address = self._rng.choice(self._addresses)
        try:
            return await connect(
                address, loop.time() + CONNECT_TIMEOUT_SECONDS
            )
        except TransportError:
            # The host may have gone down after the addresses were fetched.
            self._addresses = [a for a in self._addresses if a != address]
            return None

    async def _send_request(self, connection):
        """Send one request; return the connection if it can be reused."""
        attempt = self._new_attempt(connection)
        self._cluster.records.attempts.append(attempt)
        headers = caller_headers(
            request_id=attempt.request_id,
            deadline_seconds=DEADLINE_SECONDS,
            content=attempt.body,
        )
        loop = asyncio.get_running_loop()
        deadline = attempt.sent_at + DEADLINE_SECONDS + HANG_GRACE_SECONDS
        path = attempt.path.encode()
        reusable = None
        try:
            connection.send(b"POST", path, headers, attempt.body)
            head = await connection.head(deadline)
            self._record_head(attempt, head)
            while data := await connection.read(deadline):
                attempt.response_body += data
            attempt.outcome = AttemptOutcome.WHOLE
            reusable = connection
        except TransportTimeoutError:
            attempt.outcome = AttemptOutcome.HUNG
        except TransportError:
            has_head = attempt.status != 0
            attempt.outcome = (
                AttemptOutcome.CUT if has_head else AttemptOutcome.LOST
            )
        finally:
            attempt.ended_at = loop.time()
            if reusable is None or self._asks_to_close(head):
                connection.close()
                reusable = None
        return reusable

    def _new_attempt(self, connection):
        """Return the record of a new request of a random kind.

        Half of the requests of kind ``READ`` go to the newest route.
        """
        number = next(self._request_numbers)
        kind = self._rng.choice(list(RequestKind))
        path = f"{kind.value}{number}"
        if kind is RequestKind.READ and self._rng.random() < 0.5:
            path = self._cluster.records.newest_route_path
        addresses = [h.settings.callers_address for h in self._cluster.hosts]
        loop = asyncio.get_running_loop()
        return Attempt(
            request_id=f"{self._prefix}{number}",
            kind=kind,
            path=path,
            host_number=addresses.index(connection.address),
            sent_at=loop.time(),
            body=f"body of {number}".encode(),
        )

    def _record_head(self, attempt, head):
        """Copy what the checks need from a response head."""
        attempt.status = head.status
        metadata = decode_response_metadata(head)
        attempt.is_signed = metadata.is_signed
        attempt.response_request_id = metadata.request_id
        attempt.retry_after = head.header(b"retry-after")

    def _asks_to_close(self, head):
        """Return whether a response says that its connection will close."""
        return (head.header(b"connection") or "").lower() == "close"
