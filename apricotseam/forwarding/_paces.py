"""Records how targets answer, which sets their pace."""

import enum
import logging
import time

from apricotseam.chains import covers_layers

_LOG = logging.getLogger(__name__)

# Age of a process, by its start time, up to which it counts as new.
NEW_PROCESS_SECONDS = 10.0
# Targets that are found within this time after the first one were there
# before this host started.
LISTING_SECONDS = 2.0
MS_PER_SECOND = 1000.0


class PaceCause(enum.StrEnum):
    """Why the pace of a target changed."""

    STARTED = "process started"
    ANSWERS_AGAIN = "answers again"
    IN_TIME = "first event in time"
    LATE = "first event late"
    FAILED = "failed before first event"
    NEEDED = "no chain without it"
    PEER = "peer"


class PaceRecorder:
    """Adjusts the pace of targets by what this host observes.

    Parameters
    ----------
    context : ForwardingContext
        Targets, ledger, metrics and configuration.
    now : callable
        Returns monotonic time in seconds.
    wall_time : callable
        Returns the wall-clock time in seconds, to which the start times of
        processes are compared.
    """

    def __init__(self, context, now, wall_time=time.time):
        self._context = context
        self._now = now
        self._wall_time = wall_time
        # Time at which this host found the first target, or None.
        self._listed_at = None

    def is_used(self, target):
        """Return whether the service of a target is paced."""
        table = self._context.table
        if table is None:
            return False
        service = table.services.get(target.record.service)
        if service is None:
            return False
        return self._context.load_policy.features(table, service).pacing

    def count_paced(self):
        """Return the number of targets that are paced at present."""
        return sum(
            target.pace.is_limited and self.is_used(target)
            for target in self._context.fleet
        )

    def record_found(self, target):
        """Record a process that this host has not known before.

        Its pace begins if it has just started, by its record or since it
        appears while this host runs.
        """
        now = self._now()
        if self._listed_at is None:
            self._listed_at = now
        born_ms = target.record.born_ms
        age = self._wall_time() - born_ms / MS_PER_SECOND
        is_young = born_ms > 0 and age <= NEW_PROCESS_SECONDS
        if is_young or now - self._listed_at > LISTING_SECONDS:
            target.pace.begin(now)
            self._tell(target, PaceCause.STARTED)

    def record_return(self, target):
        """Record that a target answers again after silence."""
        target.pace.begin(self._now())
        self._tell(target, PaceCause.ANSWERS_AGAIN)

    def release_needed(self, service, now):
        """End the pace of targets without which no chain is left.

        If those that are not paced do not cover all layers, as when a fleet
        starts as a whole, others are not paced until they answer late.

        Parameters
        ----------
        service : Service
            A service with an engine.
        now : float
            Monotonic time in seconds.
        """
        targets = self._context.fleet.of_service(service.name)
        untested = [t for t in targets if t.pace.is_untested]
        if not untested:
            return
        others = (
            target.record.layers
            for target in targets
            if target.record.layers is not None
            and not target.pace.is_limited
            and not target.health.is_suspect(now)
            and not target.is_resting(now)
        )
        if not covers_layers(others, service.engine.layers):
            for target in untested:
                target.pace.end(now)
                self._tell(target, PaceCause.NEEDED)

    def record_send(self, call, choice):
        """Record that a call is sent to the targets of a `Choice`."""
        if call.load.pacing:
            for target, _ in choice.stages:
                target.pace.record_send(self._now())

    def record_start(self, call, choice, seconds):
        """Record when the first event of a call came, before its release.

        One is late if it comes after the objective and after its estimate,
        as streams that go on may be sent although the estimate is late.
        It counts for the paced targets of the chain. If there are none, it
        counts for the one with most start work under way, unless the link
        between zones has more. If a target of the chain is silent, or this
        host reaches none, that is why it is late.

        Parameters
        ----------
        call : Call
            The request.
        choice : Choice
            Its chain.
        seconds : float
            Time from its send to the event, or that it was awaited in vain.
        """
        if not call.load.pacing:
            return
        objective = call.route.objective_seconds
        is_late = seconds > objective
        targets = [target for target, _ in choice.stages]
        if is_late:
            if seconds * MS_PER_SECOND <= choice.start_ms:
                return
            if self._is_cut_off(call) or _any_suspect(targets, self._now()):
                return
            targets = _limited(targets) or self._busiest(choice)
        cause = PaceCause.LATE if is_late else PaceCause.IN_TIME
        for target in targets:
            if target.pace.record_start(seconds, objective, self._now()):
                self._tell(target, cause)

    def record_failure(self, call, target):
        """Record that a target failed a call before its first event."""
        if not call.load.pacing or self._is_cut_off(call):
            return
        objective = call.route.objective_seconds
        if target.pace.record_failure(objective, self._now()):
            self._tell(target, PaceCause.FAILED)

    def apply(self, target, notice):
        """Apply the `PaceNotice` of a peer; return whether it has effect."""
        is_changed = target.pace.apply(notice, self._now())
        if is_changed:
            self._count(PaceCause.PEER)
        return is_changed

    def _is_cut_off(self, call):
        """Return whether this host reaches no target of a call."""
        return self._context.prober.reach.is_lost(call.service.name)

    def _busiest(self, choice):
        """Return the target with most start work, in a list, or none."""
        work = {
            resource: self._context.ledger.start_ms(resource)
            for resource, _ in choice.start_work
        }
        if not work:
            return []
        resource = max(work, key=work.get)
        return [t for t, _ in choice.stages if t.identity == resource]

    def _tell(self, target, cause):
        """Log and count a change of this host; peers log theirs."""
        if not self.is_used(target):
            return
        pace = target.pace
        self._count(cause)
        _LOG.info(
            "pace_changed",
            extra={
                "target": target.identity,
                "allowance_ms": (
                    round(pace.allowance_ms) if pace.is_limited else None
                ),
                "cause": str(cause),
            },
        )

    def _count(self, cause):
        self._context.metrics.pace_changes.labels(str(cause)).inc()


def _any_suspect(targets, now):
    """Return whether any target is silent or avoided."""
    return any(target.health.is_suspect(now) for target in targets)


def _limited(targets):
    """Return the targets that are paced."""
    return [target for target in targets if target.pace.is_limited]
