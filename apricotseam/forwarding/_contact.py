"""Tells silent targets from a host that reaches nothing itself."""

import asyncio
import logging
import random

_LOG = logging.getLogger(__name__)

# Targets asked besides those that are silent.
WITNESSES = 3


class ContactCheck:
    """Whether this host reaches any target at all.

    A link that is full or cut makes all targets look silent at once. Then
    their streams are better left alone than moved.

    Parameters
    ----------
    targets : iterable of Target
        All targets.
    ask : callable
        Coroutine function that returns whether a target answers.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, targets, ask, now):
        self._targets = targets
        self._ask = ask
        self._now = now
        self._heard_at = float("-inf")
        self._check = None

    def note(self):
        """Take that a target has answered a question just now."""
        self._heard_at = self._now()

    def was_noted(self, since):
        """Return whether a target has answered since a monotonic time."""
        return self._heard_at >= since

    async def holds(self, silent):
        """Ask some targets; return whether one answers.

        Parameters
        ----------
        silent : container of str
            Identities of the targets that are being asked already.

        Returns
        -------
        bool
            True also where there is nobody else to ask.
        """
        if self._check is None:
            witnesses = self._choose(silent)
            if not witnesses:
                return True
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._ask_all(witnesses))
            self._check.add_done_callback(self._clear)
        return await asyncio.shield(self._check)

    def _choose(self, silent):
        others = [
            target
            for target in self._targets
            if target.identity not in silent and not target.health.is_silent
        ]
        return random.sample(others, min(WITNESSES, len(others)))

    async def _ask_all(self, witnesses):
        answers = await asyncio.gather(*(self._ask(t) for t in witnesses))
        if any(answers):
            self.note()
            return True
        _LOG.warning(
            "no_target_reached",
            extra={"asked": [target.identity for target in witnesses]},
        )
        return False

    def _clear(self, _):
        self._check = None
