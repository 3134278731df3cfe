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
        lost = {
            (member.peers_address, service)
            for member in self._hosts.table.live()
            if member.availability_zone == self._zone
            for service in member.lost_services
        }
        news = {service for _, service in lost - self._known}
        self._known = lost
        for service in news:
            if not self._reach.is_lost(service):
                await self._reach.is_connected(service)
