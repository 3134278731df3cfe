"""What this host knows of the prefixes that engines hold."""

import collections

MAX_PREFIXES = 8192
MAX_ENGINES = 1024
HELD = 1.0
UNKNOWN = 0.5
ABSENT = 0.0


class PrefixTable:
    """Bounded knowledge of cached prefixes, from events and own work.

    Cache events are late and have gaps. An event whose number does not
    follow the last one makes everything about that engine unknown. What
    this host itself sent is taken as held until an event says otherwise.

    Prefixes are digests that already contain the customer unless the
    pipeline shares them, so that no customer's work shows in another's.

    Examples
    --------
    >>> table = PrefixTable()
    >>> table.applied("e", 1, "p", True)
    >>> table.chance("e", "p")
    1.0
    >>> table.applied("e", 3, "q", True)
    >>> table.chance("e", "p"), table.chance("e", "q")
    (0.5, 1.0)
    """

    __slots__ = ("_engines", "_epochs", "_gap", "_holders", "_size")

    def __init__(self):
        self._engines = collections.OrderedDict()
        self._epochs = collections.Counter()
        self._gap = {}
        self._holders = collections.OrderedDict()
        self._size = 0

    @property
    def size(self):
        """Number of pairs of engine and prefix."""
        return self._size

    def sequence(self, address):
        """Return the number of an engine's last event."""
        return self._engines.get(address, 0)

    def holders(self, prefix):
        """Return addresses of engines that may hold a prefix."""
        return tuple(self._holders.get(prefix, ()))

    def chance(self, address, prefix):
        """Return the chance that an engine holds a prefix.

        A prefix known before a gap, or not known since it, is unknown.
        """
        known = self._holders.get(prefix, {}).get(address)
        if known is None or known[0] != self._epochs[address]:
            return ABSENT
        if known[1] < self._gap.get(address, 0):
            return UNKNOWN
        return HELD

    def sent(self, address, prefix):
        """Note that this host's work brings a prefix to an engine."""
        if prefix:
            self._put(address, prefix, self.sequence(address))

    def applied(self, address, sequence, prefix, is_held):
        """Apply one cache event.

        Parameters
        ----------
        address : str
            The engine.
        sequence : int
            Number of the event.
        prefix : str
            Digest of the prefix.
        is_held : bool
            Whether the prefix entered the cache or left it.
        """
        last = self._engines.get(address)
        if last is not None and sequence <= last:
            return
        if sequence != (last or 0) + 1:
            self._gap[address] = sequence
        self._engines[address] = sequence
        self._engines.move_to_end(address)
        if is_held:
            self._put(address, prefix, sequence)
        else:
            self._remove(address, prefix)
        self._bound_engines()

    def forget(self, address):
        """Forget an engine that restarted or is gone."""
        self._engines.pop(address, None)
        self._gap.pop(address, None)
        self._epochs[address] += 1
        if len(self._epochs) > MAX_ENGINES:
            self._epochs.clear()
            self._holders.clear()
            self._size = 0

    def _put(self, address, prefix, sequence):
        holders = self._holders.setdefault(prefix, {})
        if address not in holders:
            self._size += 1
        holders[address] = (self._epochs[address], sequence)
        self._holders.move_to_end(prefix)
        while self._size > MAX_PREFIXES:
            _, dropped = self._holders.popitem(last=False)
            self._size -= len(dropped)

    def _remove(self, address, prefix):
        holders = self._holders.get(prefix)
        if holders is None or address not in holders:
            return
        del holders[address]
        self._size -= 1
        if not holders:
            del self._holders[prefix]

    def _bound_engines(self):
        while len(self._engines) > MAX_ENGINES:
            address, _ = self._engines.popitem(last=False)
            self._gap.pop(address, None)
