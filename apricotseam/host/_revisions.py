"""Queries hosts for the revision that they have active."""

import asyncio

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.operators import SpreadState

QUERY_TIMEOUT_SECONDS = 1.0
TOTAL_TIMEOUT_SECONDS = 30.0
MAX_PARALLEL_QUERIES = 32


class RevisionQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Query for the active revision of the receiving host."""


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The active revision, 0 if there is none."""

    revision: int


class RevisionChecker:
    """Finds the hosts that lag behind a revision.

    Gossip carries revisions at a bounded rate, so hosts that seem to lag
    according to it are queried directly.

    Parameters
    ----------
    loop : ControlLoop
        Event loop of the control path.
    transport : PeerTransport
        Exchanges messages between hosts.
    snapshots : Snapshots
        Members and the active configuration.
    """

    def __init__(self, loop, transport, snapshots):
        self._loop = loop
        self._transport = transport
        self._snapshots = snapshots
        transport.handle(RevisionQuestion, self._answer, RevisionAnswer)

    def spread_state(self, revision):
        """Return the `SpreadState` of a revision over all present hosts."""
        statuses = [
            status
            for status in self._snapshots.host_statuses()
            if status.state != "dead"
        ]
        outdated = [s for s in statuses if s.revision < revision]
        revisions = self._loop.run(
            self._query_all(outdated), TOTAL_TIMEOUT_SECONDS
        )
        lagging = [
            msgspec.structs.replace(status, revision=reported)
            for status, reported in zip(outdated, revisions, strict=True)
            if reported < revision
        ]
        return SpreadState(
            revision=revision, hosts=len(statuses), lagging=lagging
        )

    async def _query_all(self, statuses):
        semaphore = asyncio.Semaphore(MAX_PARALLEL_QUERIES)
        return await asyncio.gather(
            *(self._query_host(status, semaphore) for status in statuses)
        )

    async def _query_host(self, status, semaphore):
        if status.peers_address == self._transport.address:
            return status.revision
        async with semaphore:
            try:
                answer = await self._transport.ask_async(
                    status.peers_address,
                    RevisionQuestion(),
                    QUERY_TIMEOUT_SECONDS,
                )
            except ApricotseamError:
                return status.revision
        return answer.revision

    def _answer(self, sender, question):
        configuration = self._snapshots.configuration
        return RevisionAnswer(configuration.revision if configuration else 0)
