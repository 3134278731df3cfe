"""Tells unresponsive targets from a host that is cut off from a service."""

import asyncio
import collections
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
    """Whether this host reaches any targets of each service.

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
        Called when this host has lost its links to a service, and when it
        has them again.
    """

    def __init__(self, targets, probe, now, generator):
        self._random = generator
        self._targets = targets
        self._probe = probe
        self._now = now
        self._last_answer_at = float("-inf")
        # Checks that are running, by service.
        self._checks = {}
        # Targets to which no connection could be opened since one could, by
        # service.
        self._failed = collections.defaultdict(set)
        # Times at which the links were lost, by service.
        self._lost_since = {}
        self.on_change = lambda: None

    @property
    def lost_services(self):
        """Names of the services of which this host reaches no target."""
        return tuple(sorted(self._lost_since))

    def is_lost(self, service):
        """Return whether this host reaches no target of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        return service in self._lost_since

    def record_answer(self):
        """Record that a target has answered a probe just now."""
        self._last_answer_at = self._now()

    def has_answer_since(self, since):
        """Return whether any target has answered since a monotonic time."""
        return self._last_answer_at >= since

    def record_connection(self, service):
        """Record that a target has answered over a new connection."""
        self._failed.pop(service, None)

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
        service = target.record.service
        if self.is_lost(service):
            return True
        failed = self._failed[service]
        failed.add(target.identity)
        if len(failed) < FAILURES_BEFORE_CHECK:
            return False
        return not await self.is_connected(service, failed)

    async def check_before_refusal(self, service):
        """Check the own links if the last connection could not be opened."""
        failed = self._failed.get(service)
        if failed and not self.is_lost(service):
            await self.is_connected(service, failed)

    async def is_connected(self, service, probed=()):
        """Probe a sample of targets; return whether any of them responds.

        Parameters
        ----------
        service : str
            Name of the service that the targets belong to.
        probed : container of str
            Identities of targets to leave out, if there are others.

        Returns
        -------
        bool
            Also true if that could not be found out.
        """
        check = self._checks.get(service)
        if check is None:
            loop = asyncio.get_running_loop()
            check = loop.create_task(
                self._probe_sample(service, frozenset(probed))
            )
            self._checks[service] = check
            check.add_done_callback(lambda _: self._checks.pop(service))
        return await asyncio.shield(check)

    async def watch(self):
        """Find out when targets are reached again; never return."""
        while True:
            await asyncio.sleep(RECHECK_PERIOD_SECONDS)
            for service in self.lost_services:
                await self.is_connected(service)

    def _choose_sample(self, probed, service=None):
        """Return targets to probe, if possible ones that should respond.

        They are those of one service, if there are others than the probed
        ones.
        """
        now = self._now()
        known = list(self._targets)
        others = [t for t in known if t.identity not in probed]
        of_service = [t for t in others if service in (None, t.record.service)]
        others = of_service or others
        if not others and len(known) > SAMPLE_SIZE:
            others = known
        sound = [t for t in others if not t.health.is_silent]
        awake = [t for t in sound if not t.is_resting(now)]
        candidates = awake or sound or others
        size = min(SAMPLE_SIZE, len(candidates))
        return self._random.sample(candidates, size)

    async def _probe_sample(self, service, probed):
        sampled = self._choose_sample(probed, service)
        timeouts = list(SAMPLE_TIMEOUTS_SECONDS)
        for _ in range(MAX_SAMPLE_ROUNDS):
            answers = await asyncio.gather(
                *(self._probe(t, timeouts[0]) for t in sampled)
            )
            if True in answers:
                self.record_answer()
            if self._is_enough(service, answers):
                self._record_reached(service)
                return True
            if answers and None not in answers:
                del timeouts[0]
            if not timeouts:
                self._record_lost(service, sampled)
                return False
        return not self.is_lost(service)

    def _is_enough(self, service, answers):
        """Return whether the answers to a sample clear the own links.

        One answer does, but most of the sample must answer once they were
        lost, or a host that reaches few targets would go back and forth.
        """
        count = answers.count(True)
        if self.is_lost(service):
            return 2 * count > len(answers)
        return count > 0

    def _record_lost(self, service, sampled):
        if self.is_lost(service):
            return
        self._lost_since[service] = self._now()
        asked = [target.identity for target in sampled]
        _LOG.warning("links_lost", extra={"service": service, "asked": asked})
        self.on_change()

    def _record_reached(self, service):
        self._failed.pop(service, None)
        lost_since = self._lost_since.pop(service, None)
        if lost_since is None:
            return
        seconds = self._now() - lost_since
        _LOG.info(
            "links_regained",
            extra={"service": service, "seconds": round(seconds, 3)},
        )
        self.on_change()
