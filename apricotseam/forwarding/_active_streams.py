"""Index of the streams in progress, by the targets that they use."""

import collections


class ActiveStreams:
    """Stream attempts in progress, by identity of the targets they use.

    The attempts of a target are kept in the order in which they began, so
    that they are rechecked in that order.
    """

    def __init__(self):
        self._by_target = collections.defaultdict(dict)

    def add(self, attempt, identities):
        """Register an attempt under each target that it uses."""
        for identity in identities:
            self._by_target[identity][attempt] = None

    def remove(self, attempt, identities):
        """Remove an attempt from each of these targets."""
        for identity in identities:
            attempts = self._by_target.get(identity)
            if attempts is None:
                continue
            attempts.pop(attempt, None)
            if not attempts:
                del self._by_target[identity]

    def recheck(self, identity):
        """Make all attempts that use a target check whether it responds."""
        for attempt in list(self._by_target.get(identity, ())):
            attempt.check_chain()
