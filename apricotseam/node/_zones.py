"""Tells the other availability zones what a zone has in progress."""

import asyncio

import msgspec

from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage

PERIOD_SECONDS = 0.4


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """What all hosts of an availability zone have in progress.

    ``sender`` is the process that summed it up, ``number`` its count of
    such messages.
    """

    zone: str
    sender: str
    number: int
    usages: dict[str, Usage]


class ZoneSpread:
    """Exchanges sums between availability zones, in large fleets.

    The delegate of a zone sends its sum to the delegates of the others,
    and these pass it on to the hosts of their zones.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    ledger : Ledger
        What is in progress.
    name : str
        Name of this process, different for each start.
    zone : str
        Availability zone of this host.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, hosts, ledger, name, zone, now):
        self._hosts = hosts
        self._ledger = ledger
        self._name = name
        self._zone = zone
        self._now = now
        self._number = 0
        # Newest message of each zone, and how many were taken of it.
        self._newest = {}
        self._taken = 0
        hosts.transport.handle(ZoneState, self._receive)

    async def run(self):
        """Send for ever, while this host is the delegate."""
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            if self._hosts.is_delegate:
                self._send()

    def _send(self):
        self._number += 1
        usages = {
            identity: Usage(round(usage.units), usage.requests)
            for identity, usage in self._ledger.near_totals().items()
        }
        message = ZoneState(self._zone, self._name, self._number, usages)
        addresses = self._hosts.foreign_delegates
        self._hosts.transport.send_all(addresses, message)

    def _receive(self, sender, message):
        if message.zone == self._zone or not self._is_news(message):
            return
        self._newest[message.zone] = message
        self._taken += 1
        usage = PeerUsage(
            f"zone {message.zone}", self._taken, message.usages, True
        )
        self._ledger.take_peer(usage, self._now())
        if self._hosts.is_delegate:
            self._hosts.transport.send_all(self._hosts.audience, message)

    def _is_news(self, message):
        known = self._newest.get(message.zone)
        if known is None or known.sender != message.sender:
            return True
        return known.number < message.number
