"""Exchanges usage totals between availability zones."""

import asyncio

import msgspec

from apricotseam.chains import PeerUsage
from apricotseam.chains import Usage
from apricotseam.fleet import PaceNotice
from apricotseam.node._limit_notices import LimitNotice
from apricotseam.node._trait_notices import TraitNotice
from apricotseam.node._zone_reports import is_newer
from apricotseam.node._zone_reports import LeavingNotice
from apricotseam.sharing import DemandCount

SEND_PERIOD_SECONDS = 0.6


class ZoneState(msgspec.Struct, frozen=True, array_like=True):
    """Work in progress of all hosts of an availability zone, by target.

    ``sender`` identifies the process that computed the totals, ``number``
    counts its messages. ``suspects`` are targets that the sender
    cannot reach, ``leaving`` those that announced that they leave, and
    ``limits`` those that told any host about limits. ``traits`` are traits
    of requests under which targets ended at any host. ``paces`` are those of
    paced targets, ``demand`` is the sum over the zone's hosts. ``restarts``
    is as in `HostState`.
    """

    zone: str
    sender: str
    number: int
    usages: dict[str, Usage]
    suspects: list[str] = []
    leaving: dict[str, LeavingNotice] = {}
    limits: dict[str, LimitNotice] = {}
    traits: dict[str, TraitNotice] = {}
    paces: dict[str, PaceNotice] = {}
    demand: dict[str, DemandCount] = {}
    restarts: dict[str, int] = {}


class ZoneUsageExchange:
    """Exchanges usage totals between availability zones in large fleets.

    The first delegate of a zone sends the zone's totals to the delegates of
    the other zones, whose reports repeat them to the hosts of their own
    zones.

    Parameters
    ----------
    hosts : Hosts
        The other hosts.
    ledger : Ledger
        Usage of targets that this host knows of.
    instance : str
        Identifier of this process, different after each start.
    zone : str
        Availability zone of this host.
    now : callable
        Monotonic time in seconds.
    usage_exchange : UsageExchange
        Knows what the hosts of this zone report, and whether this host
        learns the usage by other zones from reports.
    """

    def __init__(self, hosts, ledger, instance, zone, now, usage_exchange):
        self._usage_exchange = usage_exchange
        self._hosts = hosts
        self._ledger = ledger
        self._instance = instance
        self._zone = zone
        self._now = now
        self._number = 0
        # Latest message of each zone.
        self._latest = {}
        # Number of messages applied from all zones. The ledger's updates are
        # numbered by it, as a new delegate starts its own numbers at 1.
        self._applied_count = 0
        hosts.transport.handle(ZoneState, self._receive)

    async def run(self):
        """Run forever; send periodically while this host is the delegate."""
        while True:
            await asyncio.sleep(SEND_PERIOD_SECONDS)
            if self._hosts.is_delegate:
                self._send()

    def _send(self):
        self._number += 1
        usages = {
            identity: usage.rounded()
            for identity, usage in self._ledger.zone_totals().items()
        }
        message = ZoneState(
            self._zone,
            self._instance,
            self._number,
            usages,
            self._usage_exchange.suspects(),
            self._usage_exchange.leaving_targets(),
            self._usage_exchange.limit_notices.known(),
            self._usage_exchange.trait_notices.known(is_large=True),
            self._usage_exchange.pace_notices.known(),
            demand=self._usage_exchange.zone_demand(),
            restarts=self._usage_exchange.restarts.notices(),
        )
        addresses = self._hosts.other_zone_delegates
        self._hosts.transport.send_all(addresses, message)

    def _receive(self, sender, message):
        known = self._latest.get(message.zone)
        if message.zone == self._zone or not is_newer(message, known):
            return
        self._latest[message.zone] = message
        message = self._usage_exchange.restarts.current(message)
        self._usage_exchange.notice_other_zone(message.zone, message.suspects)
        self._usage_exchange.notice_leaving(message.leaving)
        self._usage_exchange.limit_notices.apply(message.limits)
        self._usage_exchange.trait_notices.apply(message.traits)
        self._usage_exchange.pace_notices.apply(message.paces)
        if self._usage_exchange.uses_reports:
            return
        self._applied_count += 1
        usage = PeerUsage(
            f"zone {message.zone}", self._applied_count, message.usages, 0
        )
        self._ledger.update_peer(usage, self._now())
        self._usage_exchange.notice_demand(message.zone, message.demand)
