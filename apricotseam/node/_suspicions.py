"""Silent targets that peers report, checked by this host itself."""

import asyncio
import logging

import msgspec

_LOG = logging.getLogger(__name__)

# A report that isn't repeated for this long has ended. Hosts repeat it with
# each state that they send, which is at least every 1.4 s.
CLAIM_VALID_SECONDS = 2.0
# How long a target is avoided after a delegate reported it as silent.
AVOID_SECONDS = 0.5
# With more new reports than this at once, the reporter may have lost its own
# links. They are checked a moment later, when running streams have shown which
# targets are sound.
MAX_IMMEDIATE_CHECKS = 3
MASS_CHECK_DELAY_SECONDS = 0.15
# Name under which the reports of the own zone's delegates are recorded.
OWN_DELEGATES = "delegates"


class _Claim(msgspec.Struct):
    """One reporter's word that a target is silent, as long as it lasts.

    Times are monotonic, in seconds.
    """

    begun_at: float
    repeated_at: float


class Suspicions:
    """Tells silent targets from reporters that have lost their own links.

    What one host sees isn't the state of a target. A host that hears of a
    silent target looks for itself, unless the target has sent it something
    since the report began.

    Parameters
    ----------
    context : ForwardingContext
        Targets, their prober, and the streams in progress.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, context, now):
        self._context = context
        self._now = now
        # `_Claim` by reporter and identity of the target.
        self._claims = {}
        self._checks = set()
        # Time at which each peer was heard last.
        self._heard_at = {}

    def is_shared(self, identity):
        """Return whether at least half of the peers find a target silent."""
        agreeing, heard = self._votes(identity)
        return agreeing > 0 and 2 * agreeing >= heard

    def is_disputed(self, identity):
        """Return whether most peers do not find a target silent."""
        agreeing, heard = self._votes(identity)
        return 2 * agreeing < heard

    def _votes(self, identity):
        """Return how many peers find a target silent, and how many look."""
        now = self._now()
        heard = sum(
            now - heard_at < CLAIM_VALID_SECONDS
            for heard_at in self._heard_at.values()
        )
        agreeing = sum(
            now - claim.repeated_at < CLAIM_VALID_SECONDS
            for (reporter, claimed), claim in self._claims.items()
            if claimed == identity and reporter in self._heard_at
        )
        return agreeing, heard

    def check(self, reporter, suspects, has_looked=True):
        """Check targets that a peer newly reports as silent.

        Parameters
        ----------
        reporter : str
            Process or zone that reports them.
        suspects : list of str
            Identities of all targets that it finds silent.
        has_looked : bool
            Whether it looks for itself at targets that others report.
        """
        if has_looked:
            self._heard_at[reporter] = self._now()
        found = self._find_new(reporter, suspects)
        if not found:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._check_all(found))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def trust(self, reporters, suspects):
        """Avoid targets that all delegates have found silent themselves.

        Parameters
        ----------
        reporters : list of str
            The delegates, for the log.
        suspects : set of str
            Identities of the targets that all of them report.
        """
        now = self._now()
        self._heard_at[OWN_DELEGATES] = now
        for identity in suspects:
            claim = self._repeat(OWN_DELEGATES, identity, now)
            target = self._context.fleet.get(identity)
            if target is None or self._is_disproved(claim, target):
                continue
            is_new = not target.health.is_suspect(now)
            target.health.record_peer_silence(now)
            target.health.avoid(now + AVOID_SECONDS)
            if is_new:
                _log_suspected(identity, ",".join(sorted(reporters)))
                self._context.active_streams.recheck(identity)
                self._context.request_queue.wake_all(target.record.service)

    def forget_target(self, identity):
        """Forget reports about a target whose process has ended."""
        self._claims = {
            key: claim
            for key, claim in self._claims.items()
            if key[1] != identity
        }

    def expire(self):
        """Forget reports that are no longer repeated."""
        now = self._now()
        self._claims = {
            key: claim
            for key, claim in self._claims.items()
            if now - claim.repeated_at < CLAIM_VALID_SECONDS
        }
        self._heard_at = {
            reporter: heard_at
            for reporter, heard_at in self._heard_at.items()
            if now - heard_at < CLAIM_VALID_SECONDS
        }

    def _find_new(self, reporter, suspects):
        """Return the targets that a reporter did not report before."""
        now = self._now()
        found = []
        for identity in suspects:
            claim = self._repeat(reporter, identity, now)
            target = self._context.fleet.get(identity)
            is_new = claim.begun_at == now
            if is_new and target is not None and not target.health.is_silent:
                _log_suspected(identity, reporter)
                found.append((claim, target))
        return found

    def _repeat(self, reporter, identity, now):
        """Return the claim, which is new if it was not repeated for long."""
        claim = self._claims.get((reporter, identity))
        if claim is None or now - claim.repeated_at >= CLAIM_VALID_SECONDS:
            claim = _Claim(now, now)
            self._claims[reporter, identity] = claim
        claim.repeated_at = now
        return claim

    def _is_disproved(self, claim, target):
        return target.health.last_contact_at > claim.begun_at

    async def _check_all(self, found):
        if len(found) > MAX_IMMEDIATE_CHECKS:
            await asyncio.sleep(MASS_CHECK_DELAY_SECONDS)
        unproved = [
            target
            for claim, target in found
            if not self._is_disproved(claim, target)
        ]
        await self._context.prober.find_unresponsive(unproved)


def _log_suspected(identity, reporter):
    _LOG.info(
        "target_suspected",
        extra={"target": identity, "reported_by": reporter},
    )
