"""Asks targets whether they are there, when a chain falls silent."""

import asyncio
import logging
import random

from apricotseam.errors import InvalidInputError
from apricotseam.forwarding._contact import ContactCheck
from apricotseam.http1 import connect
from apricotseam.http1 import TransportError
from apricotseam.platform import decode_report
from apricotseam.platform import REPORT_PATH

_LOG = logging.getLogger(__name__)

# Two tries, since the first packet of one may be lost.
TRY_SECONDS = 0.025
TRIES = 2
# A try that ended later than this after its time says nothing of the
# target: the host itself stood still.
STALL_SECONDS = 0.02
MAX_STALLED_TRIES = 4
# An answer serves all streams that ask within this time.
FRESH_SECONDS = 0.3
# How often silent and slow targets are asked.
AGAIN_SECONDS = 0.5
# Hosts that ask a slow target each time, about, of those that share it.
ASKERS = 6
PROBES_PER_SECOND = 15
BURST_PROBES = 60
OK_STATUS = 200


class Probes:
    """Finds out which targets of a chain do not answer.

    Parameters
    ----------
    pool : Pool
        Connections to targets.
    ledger : Ledger
        What is in progress on them.
    now : callable
        Monotonic time in seconds.
    on_silent : callable
        Called with the identity of each target found silent.
    targets : iterable of Target
        All targets: silent and slow ones are asked again, and some
        others where a host that hears nothing doubts its connections.
    """

    def __init__(self, pool, ledger, now, on_silent, targets):
        self._targets = targets
        self._contact = ContactCheck(targets, self._try_within_budget, now)
        self._ledger = ledger
        self._on_silent = on_silent
        self._pool = pool
        self._now = now
        self._running = {}
        self._alive_until = {}
        self._room = float(BURST_PROBES)
        self._refilled_at = now()

    async def find_dead(self, targets):
        """Return the targets that do not answer; their health is told.

        Parameters
        ----------
        targets : list of Target
            The targets of a chain.
        """
        found = await asyncio.gather(*(self._check(t) for t in targets))
        return [t for t, is_alive in zip(targets, found) if not is_alive]

    async def watch(self, hosts):
        """Ask silent and slow targets again; for ever.

        Parameters
        ----------
        hosts : callable
            Returns how many hosts tell each other of slow targets.
        """
        while True:
            await asyncio.sleep(AGAIN_SECONDS)
            asked = self._due(ASKERS / max(1, hosts()))
            await asyncio.gather(*(self._ask_again(t) for t in asked))

    def _due(self, slow_share):
        """Return the targets to ask again now.

        Each host finds out itself which targets it reaches; what a slow
        one says of itself holds for all.
        """
        now = self._now()
        return [
            target
            for target in self._targets
            if target.health.is_silent
            or (
                target.health.is_slow_here(now)
                and random.random() < slow_share
            )
        ]

    async def _ask_again(self, target):
        was_silent = target.health.is_silent
        if not self._spend() or not await self._try(target):
            return
        target.health.regain_contact()
        if was_silent:
            _LOG.info(
                "target_answers_again", extra={"target": target.identity}
            )

    async def _check(self, target):
        """Return whether a target answers; questions are shared."""
        now = self._now()
        if target.health.is_silent:
            return False
        if self._alive_until.get(target.identity, 0.0) > now:
            return True
        task = self._running.get(target.identity)
        if task is None:
            if not self._spend():
                return True
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._ask(target))
            self._running[target.identity] = task
            task.add_done_callback(
                lambda _: self._running.pop(target.identity, None)
            )
        return await asyncio.shield(task)

    async def _ask(self, target):
        began = self._now()
        if await self._answers(target, began):
            until = self._now() + FRESH_SECONDS
            self._alive_until[target.identity] = until
            target.health.regain_contact()
            return True
        target.health.lose_contact()
        _LOG.warning(
            "target_silent",
            extra={"target": target.identity, "address": target.address},
        )
        self._on_silent(target.identity)
        return False

    async def _answers(self, target, began):
        """Return whether a target answers, or nobody does.

        Where nobody has answered since the first try, the target is tried
        once more beside others: what kept its answers back may be over.
        """
        if await self._try_some(target):
            return True
        if self._contact.was_noted(began):
            return False
        answers, holds = await asyncio.gather(
            self._try(target), self._contact.holds(self._running)
        )
        return answers or not holds

    async def _try_some(self, target):
        """Return whether a target answers within some tries."""
        tries = 0
        stalled = 0
        while tries < TRIES and stalled < MAX_STALLED_TRIES:
            late_at = self._now() + TRY_SECONDS + STALL_SECONDS
            if await self._try(target):
                self._contact.note()
                return True
            if self._now() >= late_at:
                stalled += 1
            else:
                tries += 1
        return False

    def _spend(self):
        """Take one probe; return whether there was one."""
        now = self._now()
        refill = (now - self._refilled_at) * PROBES_PER_SECOND
        self._room = min(BURST_PROBES, self._room + refill)
        self._refilled_at = now
        if self._room < 1:
            return False
        self._room -= 1
        return True

    async def _try_within_budget(self, target):
        return self._spend() and await self._try(target)

    async def _try(self, target):
        """Return whether a target answers once."""
        try:
            if target.record.is_placeable:
                await self._read_report(target)
            else:
                await self._connect(target)
        except TransportError:
            return False
        except InvalidInputError as error:
            _LOG.info(
                "report_refused",
                extra={"target": target.identity, "error": str(error)},
            )
        return True

    async def _read_report(self, target):
        deadline = self._now() + TRY_SECONDS
        answer, body = await self._pool.call(
            target.incarnation,
            target.address,
            b"GET",
            REPORT_PATH,
            b"",
            deadline,
        )
        if answer.status == OK_STATUS:
            self._take_report(target, decode_report(body))

    def _take_report(self, target, report):
        """Take what a target says of itself."""
        now = self._now()
        target.health.note_slowness(report.slowness, now)
        target.note_load(report.used_units, report.queued, now)
        _LOG.info(
            "target_report",
            extra={
                "target": target.identity,
                "kind": target.record.kind,
                "slowness": report.slowness,
                "running": report.running,
                "queued": report.queued,
                "used_units": round(report.used_units),
                "total_units": round(report.total_units),
                "booked_units": round(
                    self._ledger.used_units(target.identity)
                ),
            },
        )

    async def _connect(self, target):
        """Open a connection; a question would wait for a free slot."""
        connection = await connect(target.address, self._now() + TRY_SECONDS)
        self._pool.release(target.incarnation, connection)

    def forget(self, target):
        """Drop what is known of a target that is gone."""
        self._alive_until.pop(target.identity, None)
