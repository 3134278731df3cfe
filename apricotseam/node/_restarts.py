"""Target processes that started lately under the identity of another one."""

import msgspec

# Time for which hosts are told of a restart.
NOTICE_SECONDS = 6.0
# Time in which other hosts may not have learned of it. What they say of the
# target is not used unless they name the same process.
DOUBT_SECONDS = 3.0
# Fields of messages that are about targets by identity alone.
_FIELDS = ("usages", "other_zones", "suspects", "slow")


class Restarts:
    """Tells what peers say of a process from words about its predecessor.

    Parameters
    ----------
    fleet : Fleet
        All known targets.
    now : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, fleet, now):
        self._fleet = fleet
        self._now = now
        # Times of the last restarts, by identity of the target.
        self._recorded_at = {}

    def record(self, identity):
        """Record that a process has started under a known identity."""
        self._recorded_at[identity] = self._now()

    def notices(self):
        """Return the start times in ms of such processes, by identity."""
        recent = self._recent(NOTICE_SECONDS)
        self._recorded_at = recent
        return {
            identity: self._born_ms(identity)
            for identity in recent
            if self._born_ms(identity) is not None
        }

    def current(self, message):
        """Return a message without words about former processes.

        Parameters
        ----------
        message : HostState, ZoneReport or ZoneState
            Message of a peer. Hosts of an earlier version name no processes;
            what they say of a target is left out for `DOUBT_SECONDS`.
        """
        named = message.restarts
        outdated = {
            identity
            for identity in (*self._recent(DOUBT_SECONDS), *named)
            if named.get(identity) != self._born_ms(identity)
        }
        return without_targets(message, outdated)

    def _recent(self, seconds):
        now = self._now()
        return {
            identity: recorded_at
            for identity, recorded_at in self._recorded_at.items()
            if now - recorded_at < seconds
        }

    def _born_ms(self, identity):
        target = self._fleet.get(identity)
        return None if target is None else target.record.born_ms


def without_targets(message, identities):
    """Return a message that says nothing of some targets.

    Parameters
    ----------
    message : HostState, ZoneReport or ZoneState
        The message.
    identities : set of str
        Identities of the targets.
    """
    if not identities:
        return message
    changes = {}
    for name in _FIELDS:
        value = getattr(message, name, None)
        if isinstance(value, dict):
            changes[name] = {
                identity: said
                for identity, said in value.items()
                if identity not in identities
            }
        elif value:
            changes[name] = [i for i in value if i not in identities]
    return msgspec.structs.replace(message, **changes)
