"""Links between an emulated host and the targets, which may be cut."""

import enum


class LinkMode(enum.Enum):
    """What happens to traffic on a link.

    ``KEPT`` refuses new connections only, and ``ONE_WAY`` loses what the host
    sends, but delivers what it is sent.
    """

    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"
    KEPT = "kept"
    ONE_WAY = "one way"


_LOSES_SENT = (LinkMode.SILENT, LinkMode.ONE_WAY)
_RESETS = (LinkMode.REFUSED, LinkMode.RESET)


class TargetLink:
    """Link of one host to all targets.

    What a link loses arrives once it is open again, as senders repeat it.
    """

    def __init__(self):
        self._mode = LinkMode.OPEN
        self._covers = None
        self._held = []

    def cut(self, mode, covers=None):
        """Cut the link.

        Parameters
        ----------
        mode : LinkMode
            What happens to traffic.
        covers : callable, optional
            Returns whether the cut covers a target; all by default.
        """
        self._mode = mode
        self._covers = covers

    def restore(self):
        """End the cut, and deliver what was held up."""
        self._mode = LinkMode.OPEN
        held, self._held = self._held, []
        for deliver in held:
            deliver()

    def mode_to(self, target):
        """Return the `LinkMode` towards a target."""
        if self._covers is not None and not self._covers(target):
            return LinkMode.OPEN
        return self._mode

    def refuses(self, target):
        """Return whether connections to a target are refused."""
        return self.mode_to(target) in (LinkMode.REFUSED, LinkMode.KEPT)

    def hangs(self, target):
        """Return whether connections to a target cannot be opened."""
        return self.mode_to(target) in _LOSES_SENT

    def resets(self, target):
        """Return whether traffic resets the connection to a target."""
        return self.mode_to(target) in _RESETS

    def hold_sent(self, target, deliver):
        """Hold back what the host sends; return whether it is held."""
        return self._hold(self.mode_to(target) in _LOSES_SENT, deliver)

    def hold_received(self, target, deliver):
        """Hold back what the host is sent; return whether it is held."""
        is_lost = self.mode_to(target) is LinkMode.SILENT
        return self._hold(is_lost, deliver)

    def _hold(self, is_lost, deliver):
        if is_lost:
            self._held.append(deliver)
        return is_lost
