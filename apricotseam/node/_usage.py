"""Tells peers what this host has in progress on targets."""

import asyncio

from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage

PERIOD_SECONDS = 0.2
# Without a change it is told this often, so that peers don't forget it.
QUIET_PERIODS = 4


class UsageSpread:
    """Sends this host's usage to its partners and takes theirs.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    ledger : Ledger
        What is in progress.
    name : str
        Name of this process, different for each start.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, hosts, ledger, name, now):
        self._hosts = hosts
        self._ledger = ledger
        self._name = name
        self._now = now
        self._number = 0
        hosts.transport.handle(PeerUsage, self._receive)

    async def run(self):
        """Send for ever."""
        sent_changes = -1
        quiet = 0
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            self._ledger.expire(self._now())
            quiet += 1
            if self._ledger.changes == sent_changes and quiet < QUIET_PERIODS:
                continue
            sent_changes = self._ledger.changes
            quiet = 0
            self._send()

    def _send(self):
        self._number += 1
        usages = {
            identity: Usage(round(usage.units), usage.requests)
            for identity, usage in self._ledger.own.items()
        }
        message = PeerUsage(self._name, self._number, usages)
        for address in self._hosts.partners:
            self._hosts.transport.send(address, message)

    def _receive(self, sender, message):
        self._ledger.take_peer(message, self._now())
