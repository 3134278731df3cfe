"""Tells hosts how the pace of targets changed at other hosts."""

# Age up to which a change is told to others.
PACE_NOTICE_SECONDS = 5.0
# Targets in one message, those whose pace changed last.
MAX_PACE_NOTICES = 32


class PaceNotices:
    """Collects what to tell about paces, and applies what others tell.

    Parameters
    ----------
    context : ForwardingContext
        All known targets, and the recorder of their paces.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, context, now):
        self._context = context
        self._now = now

    def own(self):
        """Return a `PaceNotice` of each change that this host made."""
        return self._recent(lambda pace: not pace.is_heard)

    def known(self):
        """Return a `PaceNotice` of each change that any host made."""
        return self._recent(lambda pace: True)

    def apply(self, notices):
        """Apply the notices of a peer, by identity of the target."""
        paces = self._context.paces
        for identity, notice in notices.items():
            target = self._context.fleet.get(identity)
            if target is None or not paces.is_used(target):
                continue
            if paces.apply(target, notice) and not notice.was_lowered:
                self._context.request_queue.wake_next()

    def _recent(self, is_told):
        now = self._now()
        since = now - PACE_NOTICE_SECONDS
        targets = [
            target
            for target in self._context.fleet
            if target.pace.changed_at > since
            and is_told(target.pace)
            and self._context.paces.is_used(target)
        ]
        targets.sort(key=lambda target: target.pace.changed_at, reverse=True)
        return {
            target.identity: target.pace.notice(now)
            for target in targets[:MAX_PACE_NOTICES]
        }
