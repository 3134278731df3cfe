"""Store entries that are older than what this host already acts on."""

import math

import msgspec

from apricotseam.coordination import MirrorItem
from apricotseam.positions import NO_POSITION

# After the store went back, operators and targets have written their entries
# again within this time. It exceeds the lease of a target's entry.
REWRITE_SECONDS = 10.0


class HeldEntry(msgspec.Struct, frozen=True):
    """An entry that is not applied yet, and the reason.

    ``lapses`` is whether it is applied once its time has passed.
    """

    item: MirrorItem
    cause: str
    lapses: bool


class HeldEntries:
    """Entries that a store which went back has in an earlier state.

    They are held while operators and targets write their entries again. A
    newer state replaces them; what is left in the end is applied, unless
    nothing but a newer state may replace what it would replace.

    Parameters
    ----------
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, now):
        self._now = now
        self._entries = {}
        self._position = NO_POSITION
        self._due_at = -math.inf

    def __contains__(self, key):
        return key in self._entries

    @property
    def is_open(self):
        """Whether entries of the present era may be held."""
        return self._now() < self._due_at

    @property
    def causes(self):
        """Reasons by key of the entries that are held."""
        return {key: held.cause for key, held in self._entries.items()}

    def notice(self, position):
        """Record the position of an entry, which may begin an era."""
        if self._position != NO_POSITION and position.era > self._position.era:
            self._due_at = self._now() + REWRITE_SECONDS
        self._position = max(self._position, position)

    def hold(self, item, cause, lapses=True):
        """Hold an entry, in place of an earlier one of its key.

        Parameters
        ----------
        item : MirrorItem
            The entry.
        cause : str
            Why it is held.
        lapses : bool
            Whether it is applied once its time has passed.
        """
        self._entries[item.key] = HeldEntry(item, cause, lapses)

    def drop(self, key):
        """Drop the entry of a key, as its state is known otherwise."""
        self._entries.pop(key, None)

    def take_due(self):
        """Return the entries whose time has passed, and forget them."""
        if self.is_open:
            return []
        due = [key for key, held in self._entries.items() if held.lapses]
        return [self._entries.pop(key).item for key in due]
