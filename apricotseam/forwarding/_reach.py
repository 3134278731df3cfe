"""Tells unresponsive targets from a host that is cut off from them all."""

import asyncio
import logging

_LOG = logging.getLogger(__name__)

# Number of targets that are probed to find out whether this host has network.
SAMPLE_SIZE = 3
# Time-outs of the two probes of each target of a sample.
SAMPLE_TIMEOUTS_SECONDS = (0.025, 0.075)
# Rounds of probes; those during which the event loop was blocked don't count.
MAX_SAMPLE_ROUNDS = 5
# Targets to which no connection could be opened in turn before this host
# checks its own links.
FAILURES_BEFORE_CHECK = 2
# Interval between checks while no target is reached.
RECHECK_PERIOD_SECONDS = 0.4


class TargetReach:
    """Whether this host reaches any targets at all.

    A congested or severed link makes all targets look silent at once. In
    that case the targets are not to blame: streams that still flow are left
    alone, and requests are passed on to other hosts.

    Parameters
    ----------
    targets : iterable of Target
        All known targets.
    probe : callable
        Coroutine function that takes a target and a time-out in seconds, and
        probes it over a new connection. It returns whether the target
        responds, None if that could not be found out.
    now : callable
        Returns monotonic time in seconds.
    generator : random.Random
        Chooses the samples.

    Attributes
    ----------
    on_change : callable
        Called when this host has lost its links to the targets, and when it
        has them again.
    """

    def __init__(self, targets, probe, now, generator):
        self._random = generator
        self._targets = targets
        self._probe = probe
        self._now = now
        self._last_answer_at = float("-inf")
        self._check = None
        # Targets to which no connection could be opened since one could.
        self._failed = set()
        self._lost_since = None
        self.on_change = lambda: None

    @property
    def is_lost(self):
        """Whether this host found that it reaches no target."""
        return self._lost_since is not None

    def record_answer(self):
        """Record that a target has answered a probe just now."""
        self._last_answer_at = self._now()

    def has_answer_since(self, since):
        """Return whether any target has answered since a monotonic time."""
        return self._last_answer_at >= since

    def record_connection(self):
        """Record that a target has answered over a new connection."""
        self._failed.clear()

    async def check_after_failure(self, target):
        """Check the own links if several connections failed in turn.

        Parameters
        ----------
        target : Target
            A target to which no connection could be opened.

        Returns
        -------
        bool
            Whether this host, and not the target, is at fault.
        """
        if self.is_lost:
            return True
        self._failed.add(target.identity)
        if len(self._failed) < FAILURES_BEFORE_CHECK:
            return False
        return not await self.is_connected(self._failed)

    async def check_before_refusal(self):
        """Check the own links if the last connection could not be opened."""
        if self._failed and not self.is_lost:
            await self.is_connected(self._failed)

    async def is_connected(self, probed):
        """Probe a sample of targets; return whether any of them responds.

        Parameters
        ----------
        probed : container of str
            Identities of targets to leave out, if there are others.

        Returns
        -------
        bool
            Also true if that could not be found out.
        """
        if self._check is None:
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._probe_sample(set(probed)))
            self._check.add_done_callback(self._clear)
        return await asyncio.shield(self._check)

    async def watch(self):
        """Find out when targets are reached again; never return."""
        while True:
            await asyncio.sleep(RECHECK_PERIOD_SECONDS)
            if self.is_lost:
                await self.is_connected(())

    def _choose_sample(self, probed):
        """Return targets to probe, if possible ones that should respond."""
        now = self._now()
        known = list(self._targets)
        others = [t for t in known if t.identity not in probed]
        if not others and len(known) > SAMPLE_SIZE:
            others = known
        sound = [t for t in others if not t.health.is_silent]
        awake = [t for t in sound if not t.is_resting(now)]
        candidates = awake or sound or others
        size = min(SAMPLE_SIZE, len(candidates))
        return self._random.sample(candidates, size)

    async def _probe_sample(self, probed):
        sampled = self._choose_sample(probed)
        timeouts = list(SAMPLE_TIMEOUTS_SECONDS)
        for _ in range(MAX_SAMPLE_ROUNDS):
            answers = await asyncio.gather(
                *(self._probe(t, timeouts[0]) for t in sampled)
            )
            if True in answers:
                self.record_answer()
                self._record_reached()
                return True
            if answers and None not in answers:
                del timeouts[0]
            if not timeouts:
                self._record_lost(sampled)
                return False
        return not self.is_lost

    def _record_lost(self, sampled):
        if self.is_lost:
            return
        self._lost_since = self._now()
        asked = [target.identity for target in sampled]
        _LOG.warning("links_lost", extra={"asked": asked})
        self.on_change()

    def _record_reached(self):
        self._failed.clear()
        if not self.is_lost:
            return
        seconds = self._now() - self._lost_since
        self._lost_since = None
        _LOG.info("links_regained", extra={"seconds": round(seconds, 3)})
        self.on_change()

    def _clear(self, _):
        self._check = None
