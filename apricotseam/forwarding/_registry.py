"""Which streams are under way over which targets."""

import collections


class PassageRegistry:
    """Passages by the targets that they use."""

    def __init__(self):
        self._by_target = collections.defaultdict(set)

    def add(self, passage, identities):
        """Take a passage that uses some targets."""
        for identity in identities:
            self._by_target[identity].add(passage)

    def remove(self, passage, identities):
        """Drop a passage from some targets."""
        for identity in identities:
            passages = self._by_target.get(identity)
            if passages is None:
                continue
            passages.discard(passage)
            if not passages:
                del self._by_target[identity]

    def alert(self, identity):
        """Let all passages over a target look whether it is there."""
        for passage in list(self._by_target.get(identity, ())):
            passage.alert()
