"""Connections between emulated hosts, over which requests are passed on."""

import asyncio
import collections

from apricotseam.http1 import ConnectError
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import Request
from apricotseam.http1 import ResponseHead
from measure.emulator._inbox import InboxReader

DELIVERY_SECONDS = 0.001
CHUNKED = (b"transfer-encoding", b"chunked")


class SimulatedRelayPool:
    """Connections to other hosts, with the interface of `ConnectionPool`.

    Parameters
    ----------
    network : PeerNetwork
        The hosts.
    address : str
        Address of the own host.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def acquire(self, key, address, deadline, max_idle=None):
        """Return a connection to the host at an address.

        Raises
        ------
        ConnectError
            If no host can be reached there.
        """
        await asyncio.sleep(DELIVERY_SECONDS)
        hosts = self._network.find(self._address, address)
        if hosts is None:
            raise ConnectError(f"{address} is away", "try another host")
        return RelayConnection(hosts, self._address)

    def release(self, key, connection, response=None):
        """Accept a connection whose answer was read."""


class RelayConnection(InboxReader):
    """Connection from one emulated host to another, for one request.

    Parameters
    ----------
    hosts : PeerHosts
        The other host.
    address : str
        Address of the host that opened it.
    """

    def __init__(self, hosts, address):
        super().__init__(hosts.own_address)
        self._loop = asyncio.get_running_loop()
        self._hosts = hosts
        self._sent_back = collections.deque()
        self._task = None
        self.client_ip = address.rpartition(":")[0]

    def send(self, method, target, headers, body=b""):
        """Send a request."""
        self._loop.call_later(
            DELIVERY_SECONDS, self._deliver, method, target, headers, body
        )

    def close(self):
        """Close the connection; the other host stops its work."""
        if self._task is not None:
            self._loop.call_later(DELIVERY_SECONDS, self._task.cancel)

    def send_back(self, *items):
        """Send items to the host that opened the connection."""
        # Timers that are due at the same time run in any order.
        self._sent_back.append(items)
        self._loop.call_later(
            DELIVERY_SECONDS,
            lambda: self._inbox.put(self._sent_back.popleft()),
        )

    def _deliver(self, method, target, headers, body):
        request = Request(method, target, headers, body, self._loop.time())
        exchange = RelayExchange(self)
        self._task = self._hosts.take_relayed(request, exchange)
        self._task.add_done_callback(lambda _: exchange.abort_response())


class RelayExchange:
    """Answers a relayed request, with the interface of `Exchange`.

    Parameters
    ----------
    connection : RelayConnection
        Where the answer is sent.
    """

    def __init__(self, connection):
        self._connection = connection
        self.client_ip = connection.client_ip
        self.is_started = False
        self.is_ended = False
        self.must_close = False
        self.request_id = ""
        self.end_cause = None

    def start(self, status, headers, reason=b""):
        """Send the status line and headers."""
        self.is_started = True
        headers = [*headers, CHUNKED]
        self._connection.send_back(ResponseHead(status, reason, headers))

    async def write(self, data, deadline=None):
        """Send a part of the body."""
        self._connection.send_back(data)

    def end(self):
        """Send the end of the answer."""
        self.is_ended = True
        self._connection.send_back(b"")

    def answer(self, status, body=b"", headers=(), reason=b""):
        """Send a complete answer."""
        self.start(status, headers, reason)
        if body:
            self._connection.send_back(body)
        self.end()

    def abort_response(self):
        """Break the connection, unless the answer is complete."""
        if not self.is_ended:
            self.is_ended = True
            self._connection.send_back(
                LostConnectionError("the host ended", "ask another host")
            )
