"""A duty and hosts that cannot carry it out."""

import asyncio

from apricotseam.coordination import Election
from apricotseam.platform import Item
from apricotseam.positions import NO_POSITION
from apricotseam.positions import Position

KEY = "duty"


class Store:
    """Store whose leases last as long as they are not ended."""

    def __init__(self):
        self.era = 0
        self.position = Position(1)
        self.items = {}
        self.ended = []

    def get(self, key):
        """Return an item, as the mirror does."""
        return self.items.get(key)

    async def grant_lease(self, seconds):
        """Grant a lease."""
        return object()

    async def keep_lease(self, lease):
        """Renew a lease."""

    async def end_lease(self, lease):
        """End a lease, and remove what is bound to it."""
        self.ended.append(lease)
        self.items = {
            key: item
            for key, item in self.items.items()
            if item.lease is not lease
        }

    async def change(self, expected, items):
        """Write items."""
        assert expected == [(KEY, NO_POSITION)]
        self.position = Position(self.position + 1)
        for item in items:
            self.items[item.key] = item
        return self.position


# Guards against a host that keeps a duty by its reach of the store alone,
# while it can't carry it out.
def test_host_that_is_unable_gives_the_duty_up_and_claims_it_no_more():
    async def scenario():
        store = Store()
        able = {"a": True, "b": True}
        elections = {
            name: Election(
                store,
                store,
                KEY,
                name,
                lambda rank=rank: rank,
                lambda name=name: able[name],
            )
            for rank, name in enumerate(able)
        }
        tasks = [asyncio.create_task(e.run()) for e in elections.values()]
        holders = []
        for unable in ("", "a", "b"):
            for name in able:
                able[name] = name != unable
            await asyncio.sleep(2.0)
            holders.append(
                [name for name, e in elections.items() if e.is_holder]
            )
        for task in tasks:
            task.cancel()
        return holders, store.items

    holders, items = asyncio.run(scenario())
    assert holders == [["a"], ["b"], ["a"]]
    assert [type(item) for item in items.values()] == [Item]
