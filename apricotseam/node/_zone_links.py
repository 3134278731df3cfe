"""Looks after the own links when other hosts of the zone lose theirs."""

import asyncio

CHECK_PERIOD_SECONDS = 0.2


class ZoneLinks:
    """Checks whether this host is cut off as soon as others say they are.

    The hosts of an availability zone are often cut off together. Those with
    few requests would find out only as they fail one.

    Parameters
    ----------
    hosts : Hosts
        The known hosts of the fleet.
    zone : str
        Availability zone of this host.
    reach : TargetReach
        Checks the links of this host.
    """

    def __init__(self, hosts, zone, reach):
        self._hosts = hosts
        self._zone = zone
        self._reach = reach
        self._known = set()

    async def run(self):
        """Look at the table of hosts periodically, forever."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            await self._look()

    async def _look(self):
        cut_off = {
            member.peers_address
            for member in self._hosts.table.live()
            if member.is_cut_off and member.availability_zone == self._zone
        }
        has_news = bool(cut_off - self._known)
        self._known = cut_off
        if has_news and not self._reach.is_lost:
            await self._reach.is_connected(())
