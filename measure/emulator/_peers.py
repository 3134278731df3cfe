"""Messages between emulated hosts, and what each knows of the others."""

import asyncio

from apricotseam.coordination import is_large_fleet
from apricotseam.membership import MemberState
from apricotseam.peers import PeerUnreachableError

DELIVERY_SECONDS = 0.001
DELEGATES_PER_ZONE = 2


class HostTable(list):
    """The `PeerHosts` of all running hosts, as a table of members."""

    def live(self):
        """Return all hosts of the table, which is replaced at a change."""
        return self

    def present(self):
        """Return all hosts of the table."""
        return self

    def find(self, address):
        """Return the host at an address, or None."""
        return next((h for h in self if h.own_address == address), None)


class PeerNetwork:
    """Delivers messages between the hosts of one simulation.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Clock and timers.
    """

    def __init__(self, loop):
        self._loop = loop
        self._hosts = {}
        self._sorted = HostTable()
        # Zone whose hosts are cut off from those of other zones, or None.
        self.cut_zone = None
        # Whether all messages are lost. Relayed requests are not.
        self.is_silent = False
        self.messages = 0

    @property
    def hosts(self):
        """The `PeerHosts` of all running hosts, in order of addresses."""
        return self._sorted

    def join(self, hosts):
        """Add a host."""
        self._hosts[hosts.own_address] = hosts
        self._sort()

    def leave(self, hosts):
        """Remove a host."""
        if self._hosts.get(hosts.own_address) is hosts:
            del self._hosts[hosts.own_address]
            self._sort()

    def send(self, sender, address, message):
        """Send a message to the host at an address."""
        self.messages += 1
        self._loop.call_later(
            DELIVERY_SECONDS, self._deliver, sender, address, message
        )

    def end_silence(self):
        """Deliver messages again."""
        self.is_silent = False

    def find(self, sender, address):
        """Return the `PeerHosts` at an address, None if out of reach."""
        hosts = self._hosts.get(address)
        return None if self._is_cut(sender, address) else hosts

    async def ask(self, sender, address, message):
        """Send a request to the host at an address; return its answer.

        Raises
        ------
        PeerUnreachableError
            If no host runs there.
        """
        self.messages += 2
        await asyncio.sleep(DELIVERY_SECONDS)
        hosts = self._hosts.get(address)
        if hosts is None or self._is_lost(sender, address):
            raise PeerUnreachableError(
                f"no host runs at {address}", "ask another one"
            )
        answer = hosts.transport.receive(sender, message)
        await asyncio.sleep(DELIVERY_SECONDS)
        return answer

    def _sort(self):
        self._sorted = HostTable(
            self._hosts[key] for key in sorted(self._hosts)
        )

    def _deliver(self, sender, address, message):
        hosts = self._hosts.get(address)
        if hosts is not None and not self._is_lost(sender, address):
            hosts.transport.receive(sender, message)

    def _is_lost(self, *addresses):
        """Return whether a message between two hosts is lost."""
        return self.is_silent or self._is_cut(*addresses)

    def _is_cut(self, *addresses):
        """Return whether two hosts are cut off from each other."""
        zones = {self._hosts[a].zone for a in addresses if a in self._hosts}
        return len(zones) > 1 and self.cut_zone in zones


class PeerTransport:
    """Sends the messages of one host.

    Parameters
    ----------
    network : PeerNetwork
        Delivers the messages.
    address : str
        Address of the host.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address
        self._handlers = {}

    def handle(self, message_type, handler, answer_type=None):
        """Set the handler of a type of message."""
        self._handlers[message_type] = handler

    def send_all(self, addresses, message):
        """Send a message to several hosts."""
        for address in addresses:
            self._network.send(self._address, address, message)

    async def ask_async(self, address, message, timeout):
        """Send a request to a host and return its answer."""
        return await self._network.ask(self._address, address, message)

    def receive(self, sender, message):
        """Handle a message that has arrived; return the answer, if any."""
        handler = self._handlers.get(type(message))
        return None if handler is None else handler(sender, message)


class PeerHosts:
    """The other hosts, with the interface of `Hosts`.

    All hosts know at once which others run.

    Parameters
    ----------
    network : PeerNetwork
        Delivers the messages.
    address : str
        Address of this host.
    zone : str
        Availability zone of this host.
    """

    def __init__(self, network, address, zone):
        self._network = network
        self.own_address = address
        self.zone = zone
        self.transport = PeerTransport(network, address)
        # Addresses of delegates of the own zone whose reports are overdue.
        self.unheard_delegates = set()
        # State of this host, as a member of the table.
        self.state = MemberState.LIVE
        # Services of which this host tells that it reaches no target.
        self.lost_services = ()
        # Handles requests of other hosts; set by `EmulatedHost`.
        self.take_relayed = None

    @property
    def name(self):
        """Name of this host, as a member of the table."""
        return self.own_address.rpartition(":")[0]

    @property
    def availability_zone(self):
        """Availability zone, as a member of the table."""
        return self.zone

    @property
    def relay_address(self):
        """Address for relayed requests, as a member of the table."""
        return self.own_address

    @property
    def peers_address(self):
        """Address of this host, as a member of the table."""
        return self.own_address

    @property
    def table(self):
        """All running hosts."""
        return self._network.hosts

    @property
    def is_large(self):
        """Whether delegates report for their zones."""
        return is_large_fleet(len(self.table))

    @property
    def load_recipients(self):
        """Addresses of the hosts that receive this host's load."""
        return [
            hosts.own_address
            for hosts in self.table
            if hosts is not self
            and (not self.is_large or hosts.zone == self.zone)
        ]

    @property
    def zone_delegates(self):
        """Addresses of the delegates of this host's zone."""
        if not self.is_large:
            return []
        heard = [
            address
            for address in self._of_zone(self.zone)
            if address not in self.unheard_delegates
        ]
        return heard[:DELEGATES_PER_ZONE]

    @property
    def is_delegate(self):
        """Whether this host reports to other zones for its own."""
        return self.zone_delegates[:1] == [self.own_address]

    @property
    def other_zone_delegates(self):
        """Addresses of the delegates of the other zones."""
        zones = sorted({hosts.zone for hosts in self.table} - {self.zone})
        return [
            address
            for zone in zones
            for address in self._of_zone(zone)[:DELEGATES_PER_ZONE]
        ]

    def _of_zone(self, zone):
        return [h.own_address for h in self.table if h.zone == zone]
