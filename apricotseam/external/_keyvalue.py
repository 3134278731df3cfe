"""Interface of the platform's key-value service."""

import abc


class Versioned:
    """A value and the service's version of it."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class KeyValueService(abc.ABC):
    """Compare-and-swap, leases and watches.

    Every call may raise `ServiceUnavailableError` if it was provably not
    taken and `AnswerLostError` if it may have taken effect.
    """

    @abc.abstractmethod
    def get(self, key):
        """Return the `Versioned` value of a key, or None."""

    @abc.abstractmethod
    def get_prefix(self, prefix):
        """Return all `Versioned` values under a prefix."""

    @abc.abstractmethod
    def put(self, key, value, lease=None):
        """Set a key whatever it was."""

    @abc.abstractmethod
    def compare_and_swap(self, key, version, value, lease=None):
        """Set a key if its version is still the given one (0: absent).

        Returns
        -------
        int
            The new version if the swap took place, else 0.
        """

    @abc.abstractmethod
    def delete(self, key):
        """Remove a key if it exists."""

    @abc.abstractmethod
    def grant_lease(self, seconds):
        """Return the number of a new lease of that many seconds."""

    @abc.abstractmethod
    def keep_alive(self, lease):
        """Renew a lease; return False if it has lapsed."""

    @abc.abstractmethod
    def revoke(self, lease):
        """End a lease and remove its keys."""

    @abc.abstractmethod
    def watch(self, key, version, deadline):
        """Wait until a key changes past a version or the deadline passes.

        Returns
        -------
        bool
            Whether a change was seen.
        """
