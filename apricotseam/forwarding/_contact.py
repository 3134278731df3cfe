"""Tells unresponsive targets from a host without network."""

import asyncio
import logging

_LOG = logging.getLogger(__name__)

# Number of targets that are probed to find out whether this host has network.
SAMPLE_SIZE = 3


class ConnectivityCheck:
    """Checks whether this host can reach any target at all.

    A congested or severed link makes all targets look silent at once. In
    that case, streams are left on their targets instead of being moved.

    Parameters
    ----------
    targets : iterable of Target
        All known targets.
    probe : callable
        Coroutine function that returns whether a target responds.
    now : callable
        Returns monotonic time in seconds.
    generator : random.Random
        Chooses the sample.
    """

    def __init__(self, targets, probe, now, generator):
        self._random = generator
        self._targets = targets
        self._probe = probe
        self._now = now
        self._last_answer_at = float("-inf")
        self._check = None

    def record_answer(self):
        """Record that a target has answered a probe just now."""
        self._last_answer_at = self._now()

    def has_answer_since(self, since):
        """Return whether any target has answered since a monotonic time."""
        return self._last_answer_at >= since

    async def is_connected(self, probed):
        """Probe a sample of targets; return whether any of them responds.

        Parameters
        ----------
        probed : container of str
            Identities of the targets that are being probed already.

        Returns
        -------
        bool
            Also true if there is no other target to probe.
        """
        if self._check is None:
            sampled = self._choose_sample(probed)
            if not sampled:
                return True
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._probe_sample(sampled))
            self._check.add_done_callback(self._clear)
        return await asyncio.shield(self._check)

    def _choose_sample(self, probed):
        others = [
            target
            for target in self._targets
            if target.identity not in probed and not target.health.is_silent
        ]
        now = self._now()
        awake = [target for target in others if not target.is_resting(now)]
        candidates = awake or others
        size = min(SAMPLE_SIZE, len(candidates))
        return self._random.sample(candidates, size)

    async def _probe_sample(self, sampled):
        answers = await asyncio.gather(*(self._probe(t) for t in sampled))
        if any(answers):
            self.record_answer()
            return True
        _LOG.warning(
            "no_target_reached",
            extra={"asked": [target.identity for target in sampled]},
        )
        return False

    def _clear(self, _):
        self._check = None
