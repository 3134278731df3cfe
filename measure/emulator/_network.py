"""Connections between emulated hosts and targets."""

import asyncio
import collections

from apricotseam.http1 import ConnectError
from apricotseam.http1 import LostConnectionError
from apricotseam.http1 import RefusedConnectionError
from apricotseam.http1 import ResponseHead
from measure.emulator._inbox import InboxReader

IN_ZONE_SECONDS = 0.0001
CROSS_ZONE_SECONDS = 0.00075
LINK_MEGABITS_PER_SECOND = 400000.0
CHUNKED = (b"transfer-encoding", b"chunked")


class Network:
    """Delays between availability zones, and targets by address.

    Parameters
    ----------
    pipe : Pipe
        Link that all transfers between zones share.
    """

    def __init__(self, pipe):
        self.pipe = pipe
        self._targets = {}

    def attach(self, target):
        """Make a target reachable at its address."""
        self._targets[target.address] = target

    def detach(self, target):
        """Make a target unreachable unless another has its address."""
        if self._targets.get(target.address) is target:
            del self._targets[target.address]

    def at(self, address):
        """Return the target at an address, or None."""
        return self._targets.get(address)

    def delay(self, zone, other_zone):
        """Return the one-way delay between two zones in seconds."""
        return IN_ZONE_SECONDS if zone == other_zone else CROSS_ZONE_SECONDS

    def transfer_end(self, zone, other_zone, size, now):
        """Return the time at which activations arrive.

        Parameters
        ----------
        zone, other_zone : str
            Zones of the sender and of the receiver.
        size : float
            Bytes to send.
        now : float
            Time in seconds.
        """
        delay = self.delay(zone, other_zone)
        if zone == other_zone:
            return now + delay + size * 8e-6 / LINK_MEGABITS_PER_SECOND
        return self.pipe.send(size, now) + delay


class SimulatedPool:
    """Connections of one host, with the interface of `ConnectionPool`.

    Parameters
    ----------
    network : Network
        The targets.
    zone : str
        Availability zone of the host.
    host : str
        Name of the host.
    link : TargetLink
        Link of the host to the targets.
    on_response : callable
        Called with the key of the target and the `ResponseHead` of each
        answer to a control call.
    """

    def __init__(self, network, zone, host, link, on_response):
        self._link = link
        self._network = network
        self._zone = zone
        self._host = host
        self._on_response = on_response

    async def acquire(
        self, key, address, deadline, max_idle=None, excluded=()
    ):
        """Return a connection to a target.

        Raises
        ------
        ConnectError
            If nothing listens there, or nothing answers by the deadline.
        """
        target = self._network.at(address)
        if target is None or self._link.refuses(target):
            await asyncio.sleep(IN_ZONE_SECONDS)
            raise RefusedConnectionError(
                f"{address} refused", "try another target"
            )
        if target.is_silent or self._link.hangs(target):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(max(0.0, deadline - loop.time()))
            raise ConnectError(f"{address} is silent", "try another target")
        delay_seconds = self._network.delay(self._zone, target.zone)
        return SimulatedConnection(
            target, delay_seconds, self._host, self._link
        )

    async def call(
        self,
        key,
        address,
        method,
        path,
        body,
        deadline,
        must_open=False,
        headers=(),
    ):
        """Send a control call; return the head and body of its answer."""
        connection = await self.acquire(key, address, deadline)
        connection.call(path, body)
        head = await connection.head(deadline)
        self._on_response(key, head)
        return head, await connection.read(deadline)

    def release(self, key, connection, response=None):
        """Accept a connection whose answer was read."""

    def drop(self, key):
        """Forget the connections to a target; none is kept."""


class SimulatedConnection(InboxReader):
    """Connection to an emulated target, for one request.

    Parameters
    ----------
    target : EmulatedTarget
        The target.
    delay_seconds : float
        One-way delay.
    host : str
        Name of the host.
    link : TargetLink
        Link of the host to the targets.
    """

    def __init__(self, target, delay_seconds, host, link):
        super().__init__(target.address)
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._target = target
        self._delay_seconds = delay_seconds
        self._host = host
        # What is under way to the host.
        self._sent_back = collections.deque()
        self.is_closed = False

    @property
    def address(self):
        """Address of the target."""
        return self._target.address

    @property
    def calls(self):
        """Number of requests sent; no connection is used twice."""
        return 1

    @property
    def host(self):
        """Name of the host."""
        return self._host

    def send(self, method, path, headers, body=b""):
        """Send a request for work."""
        self._deliver(self._receive_request, headers)

    def call(self, path, body):
        """Send a control call."""
        self._deliver(self._target.receive_call, path, body)

    def close(self):
        """Close the connection; the target stops its work."""
        if not self.is_closed:
            self.is_closed = True
            self._deliver(self._target.cancel)

    def interrupt(self):
        """Make a pending read raise `InterruptedReadError`."""
        self._inbox.interrupt()

    def answer(self, status, headers=(), *parts):
        """Send a head and parts of a body; called by the target."""
        arrives_at = self._loop.time() + self._delay_seconds
        announced = self._target.announce(self._host, arrives_at)
        headers = [*headers, *announced, CHUNKED]
        self.send_back(ResponseHead(status, b"", headers), *parts)

    def send_back(self, *items):
        """Send items to the host; called by the target."""
        # Timers that are due at the same time run in any order.
        self._sent_back.append(items)
        self._loop.call_later(self._delay_seconds, self._receive)

    def reset(self):
        """Break the connection; called by the target."""
        self.send_back(self._reset_error())

    def _reset_error(self):
        return LostConnectionError(
            f"{self.address} reset the connection",
            "retry the call if it is idempotent",
        )

    @staticmethod
    def _receive_request(connection, headers):
        target = connection._target
        target.limit.receive(connection._host, connection._loop.time())
        target.receive(connection, headers)

    def _deliver(self, receive, *arguments):
        self._loop.call_later(
            self._delay_seconds, self._deliver_now, receive, arguments
        )

    def _deliver_now(self, receive, arguments):
        if self._target.is_silent or self._link.hold_sent(
            self._target, lambda: self._deliver_now(receive, arguments)
        ):
            return
        if self._target.is_dead or self._link.resets(self._target):
            self.reset()
            return
        receive(self, *arguments)

    def _receive(self):
        items = self._sent_back.popleft()
        if self._link.resets(self._target):
            items = [self._reset_error()]
        self._take(items)

    def _take(self, items):
        """Pass items on to the reader unless the link holds them back."""
        if self._target.is_silent or self._link.hold_received(
            self._target, lambda: self._take(items)
        ):
            return
        self._inbox.put(items)
