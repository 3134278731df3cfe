"""Asks hosts directly which revision they have in force."""

import asyncio

import msgspec

from apricotseam.errors import ApricotseamError
from apricotseam.operators import SpreadState

ASK_TIMEOUT_SECONDS = 1.0
WAIT_TIMEOUT_SECONDS = 30.0
MAX_PARALLEL_QUESTIONS = 32


class RevisionQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Question for the revision in force on the asked host."""


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The revision in force, 0 if there is none."""

    revision: int


class Revisions:
    """Finds the hosts that lag behind a revision.

    Gossip carries revisions at a bounded rate, so hosts that lag by it
    are asked themselves.

    Parameters
    ----------
    loop : ControlLoop
        Loop of the control path.
    transport : PeerTransport
        Messages between hosts.
    snapshots : Snapshots
        Members and the configuration in force.
    """

    def __init__(self, loop, transport, snapshots):
        self._loop = loop
        self._transport = transport
        self._snapshots = snapshots
        transport.handle(RevisionQuestion, self._answer, RevisionAnswer)

    def state(self, revision):
        """Return the `SpreadState` of a revision over all present hosts."""
        statuses = [
            status
            for status in self._snapshots.host_statuses()
            if status.state != "dead"
        ]
        behind = [s for s in statuses if s.revision < revision]
        answers = self._loop.run(self._ask_all(behind), WAIT_TIMEOUT_SECONDS)
        lagging = [
            msgspec.structs.replace(status, revision=found)
            for status, found in zip(behind, answers, strict=True)
            if found < revision
        ]
        return SpreadState(
            revision=revision, hosts=len(statuses), lagging=lagging
        )

    async def _ask_all(self, statuses):
        slots = asyncio.Semaphore(MAX_PARALLEL_QUESTIONS)
        return await asyncio.gather(
            *(self._ask(status, slots) for status in statuses)
        )

    async def _ask(self, status, slots):
        if status.peers_address == self._transport.address:
            return status.revision
        async with slots:
            try:
                answer = await self._transport.ask_async(
                    status.peers_address,
                    RevisionQuestion(),
                    ASK_TIMEOUT_SECONDS,
                )
            except ApricotseamError:
                return status.revision
        return answer.revision

    def _answer(self, sender, question):
        configuration = self._snapshots.configuration
        return RevisionAnswer(configuration.revision if configuration else 0)
