"""Table of the prompt prefixes that engines hold in their caches."""

import collections

MAX_PREFIXES = 8192
MAX_ENGINES = 1024
# Probabilities that an engine holds a prefix.
HELD = 1.0
UNKNOWN = 0.5
ABSENT = 0.0


class PrefixTable:
    """Bounded table of cached prefixes, from events and sent requests.

    Cache events arrive late and some are lost. After an event whose
    sequence number does not follow the previous one, all earlier entries
    of that engine count as unknown. A prefix that this host has sent
    counts as held until an event says otherwise.

    Prefixes are digests that include the customer unless the pipeline
    shares them, so that a customer can't detect another's requests.

    Examples
    --------
    >>> table = PrefixTable()
    >>> table.apply_event("e", 1, "p", True)
    >>> table.hit_probability("e", "p")
    1.0
    >>> table.apply_event("e", 3, "q", True)
    >>> table.hit_probability("e", "p"), table.hit_probability("e", "q")
    (0.5, 1.0)
    """

    __slots__ = (
        "_last_sequences",
        "_gap_ends",
        "_generations",
        "_holders",
        "_size",
    )

    def __init__(self):
        self._last_sequences = collections.OrderedDict()
        # Number of times that `forget` was called for an engine.
        self._generations = collections.Counter()
        # Sequence number of an engine's first event after the last gap.
        self._gap_ends = {}
        # By prefix and address: the engine's generation when the entry was
        # added, and the sequence number of its last event at that time.
        self._holders = collections.OrderedDict()
        self._size = 0

    @property
    def size(self):
        """Number of entries: pairs of engine and prefix."""
        return self._size

    def last_sequence(self, address):
        """Return the sequence number of an engine's last event, or 0."""
        return self._last_sequences.get(address, 0)

    def holders(self, prefix):
        """Return the addresses of engines that may hold a prefix."""
        return tuple(self._holders.get(prefix, ()))

    def hit_probability(self, address, prefix):
        """Return the probability that an engine holds a prefix.

        It is `UNKNOWN` for a prefix that was added before the last gap in
        the engine's events.
        """
        entry = self._holders.get(prefix, {}).get(address)
        if entry is None or entry[0] != self._generations[address]:
            return ABSENT
        if entry[1] < self._gap_ends.get(address, 0):
            return UNKNOWN
        return HELD

    def record_sent(self, address, prefix):
        """Record that this host sent a request with a prefix to an engine."""
        if prefix:
            self._add(address, prefix, self.last_sequence(address))

    def apply_event(self, address, sequence, prefix, is_held):
        """Apply one cache event.

        Parameters
        ----------
        address : str
            The engine.
        sequence : int
            Sequence number of the event.
        prefix : str
            Digest of the prefix.
        is_held : bool
            True if the prefix was added to the cache, False if it was
            removed.
        """
        last = self._last_sequences.get(address)
        if last is not None and sequence <= last:
            return
        if sequence != (last or 0) + 1:
            self._gap_ends[address] = sequence
        self._last_sequences[address] = sequence
        self._last_sequences.move_to_end(address)
        if is_held:
            self._add(address, prefix, sequence)
        else:
            self._remove(address, prefix)
        self._evict_engines()

    def forget(self, address):
        """Invalidate the entries of an engine that restarted or failed.

        They stay in the table but no longer count, since they belong to an
        earlier generation of the engine.
        """
        self._last_sequences.pop(address, None)
        self._gap_ends.pop(address, None)
        self._generations[address] += 1
        if len(self._generations) > MAX_ENGINES:
            self._generations.clear()
            self._holders.clear()
            self._size = 0

    def _add(self, address, prefix, sequence):
        holders = self._holders.setdefault(prefix, {})
        if address not in holders:
            self._size += 1
        holders[address] = (self._generations[address], sequence)
        self._holders.move_to_end(prefix)
        while self._size > MAX_PREFIXES:
            _, evicted = self._holders.popitem(last=False)
            self._size -= len(evicted)

    def _remove(self, address, prefix):
        holders = self._holders.get(prefix)
        if holders is None or address not in holders:
            return
        del holders[address]
        self._size -= 1
        if not holders:
            del self._holders[prefix]

    def _evict_engines(self):
        while len(self._last_sequences) > MAX_ENGINES:
            address, _ = self._last_sequences.popitem(last=False)
            self._gap_ends.pop(address, None)
