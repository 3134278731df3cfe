"""Tells peers what this host has in progress on targets."""

import asyncio

import msgspec

from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage
from apricotseam.forwarding import RepeatCount

PERIOD_SECONDS = 0.2
# Each host of a large fleet gets dozens of such messages a period.
LARGE_PERIOD_SECONDS = 0.35
# Without a change it is told this often, so that peers don't forget it.
QUIET_PERIODS = 4
# A host of which nothing came for so long may be gone; one message may
# have been late.
SILENT_SECONDS = 1.1
LARGE_SILENT_SECONDS = 1.8
# How long it is remembered that there was one.
FORGOTTEN_SECONDS = 10.0
# How long a peer's suspicion holds, and a refusal is told.
HEARD_SECONDS = 0.5
REFUSED_SECONDS = 0.5


class HostState(msgspec.Struct, frozen=True, array_like=True):
    """What a host tells its peers several times a second.

    ``suspects`` are targets that it has no contact with, ``slow`` those
    that said to be slow, with the factor, ``refused`` the requests that
    it refused a short while ago, ``repeats`` its counts by service.
    """

    host: str
    zone: str
    number: int
    usages: dict[str, Usage]
    suspects: list[str]
    slow: dict[str, float]
    refused: list[str]
    repeats: dict[str, RepeatCount]


class UsageSpread:
    """Sends this host's usage to its partners and takes theirs.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    scene : Scene
        What is in progress, and the targets.
    name : str
        Name of this process, different for each start.
    zone : str
        Availability zone of this host.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, hosts, scene, name, zone, now):
        self._zone = zone
        self._hosts = hosts
        self._scene = scene
        self._ledger = scene.ledger
        self._name = name
        self._now = now
        self._number = 0
        # Monotonic time of the last message, by peers' address.
        self._heard_at = {}
        hosts.transport.handle(HostState, self._receive)

    async def run(self):
        """Send for ever."""
        sent_changes = -1
        quiet = 0
        while True:
            await asyncio.sleep(self._period())
            self._ledger.expire(self._now())
            suspects = self._suspects()
            slow = self._slow()
            quiet += 1
            is_same = self._ledger.changes == sent_changes and not (
                suspects or slow
            )
            if is_same and quiet < QUIET_PERIODS:
                continue
            sent_changes = self._ledger.changes
            quiet = 0
            self._send(suspects, slow)

    def silent_peers(self):
        """Return the addresses of peers that should have been heard."""
        now = self._now()
        allowed = SILENT_SECONDS
        if self._hosts.is_large:
            allowed = LARGE_SILENT_SECONDS
        self._heard_at = {
            address: heard_at
            for address, heard_at in self._heard_at.items()
            if now - heard_at < FORGOTTEN_SECONDS
        }
        return {
            address
            for address, heard_at in self._heard_at.items()
            if now - heard_at > allowed
        }

    def _period(self):
        if self._hosts.is_large:
            return LARGE_PERIOD_SECONDS
        return PERIOD_SECONDS

    def _suspects(self):
        return [
            target.identity
            for target in self._scene.fleet
            if target.health.is_silent
        ]

    def _slow(self):
        now = self._now()
        return {
            target.identity: target.health.slowness(now)
            for target in self._scene.fleet
            if target.health.is_slow_here(now)
        }

    def _send(self, suspects, slow):
        self._number += 1
        usages = {
            identity: Usage(round(usage.units), usage.requests)
            for identity, usage in self._ledger.own.items()
        }
        since = self._now() - REFUSED_SECONDS
        refused = self._scene.waiting.recently_refused(since)
        message = HostState(
            self._name,
            self._zone,
            self._number,
            usages,
            suspects,
            slow,
            refused,
            self._scene.allowance.counts(self._now()),
        )
        self._hosts.transport.send_all(self._hosts.audience, message)

    def _receive(self, sender, message):
        # In a large fleet the other zones' sums hold it already.
        if self._hosts.is_large and message.zone != self._zone:
            return
        now = self._now()
        self._heard_at[sender] = now
        usage = PeerUsage(message.host, message.number, message.usages)
        self._ledger.take_peer(usage, now)
        self._scene.allowance.take_peer(message.host, message.repeats, now)
        for identity in message.suspects:
            target = self._scene.fleet.get(identity)
            if target is None:
                continue
            is_news = not target.health.is_suspect(now)
            target.health.avoid(now + HEARD_SECONDS)
            if is_news:
                self._scene.passages.alert(identity)
        for identity, factor in message.slow.items():
            target = self._scene.fleet.get(identity)
            if target is not None:
                target.health.hear_slowness(factor, now)
        for return_id in message.refused:
            self._scene.waiting.remember(return_id)
