"""Tells hosts what targets stated to other hosts about their limits."""

import msgspec

from apricotseam.fleet import AnnouncementSource

# Age up to which a statement of a target is told to others.
LIMIT_NOTICE_SECONDS = 5.0


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """Statement of a target about the requests that it accepts.

    ``born_ms`` is the start time of its process, as in `TargetRecord`.
    ``requests_per_second`` is None if the target states no limit any more.
    ``age_seconds`` is the time since the answer that said so.
    """

    born_ms: int
    requests_per_second: float | None
    age_seconds: float


class LimitNotices:
    """Collects what to tell about limits, and applies what others tell.

    Parameters
    ----------
    fleet : Fleet
        All known targets.
    request_queue : RequestQueue
        Requests that wait for capacity; one is woken when a limit ends.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, fleet, request_queue, now):
        self._fleet = fleet
        self._request_queue = request_queue
        self._now = now

    def own(self):
        """Return a `LimitNotice` of each target that told this host."""
        return self._recent((AnnouncementSource.OWN_ANSWER,))

    def known(self):
        """Return a `LimitNotice` of each target that told any host."""
        return self._recent(
            (AnnouncementSource.OWN_ANSWER, AnnouncementSource.PEER)
        )

    def apply(self, notices):
        """Record the notices of a peer, by identity of the target."""
        now = self._now()
        for identity, notice in notices.items():
            rate = notice.requests_per_second
            is_change = self._fleet.record_limit(
                (identity, notice.born_ms),
                rate,
                AnnouncementSource.PEER,
                now - notice.age_seconds,
            )
            if is_change and rate is None:
                self._request_queue.wake_next()

    def _recent(self, sources):
        now = self._now()
        return {
            target.identity: LimitNotice(
                target.record.born_ms,
                target.announcements.requests_per_second,
                round(now - target.announcements.limit_heard_at, 3),
            )
            for target in self._fleet
            if target.announcements.limit_source in sources
            and now - target.announcements.limit_heard_at
            < LIMIT_NOTICE_SECONDS
        }
