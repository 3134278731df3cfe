"""Interface to the platform's key-value service."""

import abc


class VersionedValue:
    """A key with its value and version."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, value, version):
        self.key = key
        self.value = value
        self.version = version


class KeyValueService(abc.ABC):
    """Key-value service with compare-and-swap, leases and watches.

    Each method raises `ServiceUnavailableError` if the call certainly had
    no effect, and `AnswerLostError` if it may have taken effect.
    """

    @abc.abstractmethod
    def get(self, key):
        """Return the `VersionedValue` of a key, or None if it is absent."""

    @abc.abstractmethod
    def get_prefix(self, prefix):
        """Return a `VersionedValue` for each key with a prefix."""

    @abc.abstractmethod
    def put(self, key, value, lease=None):
        """Set a key unconditionally."""

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
        """Grant a lease for a number of seconds and return its ID."""

    @abc.abstractmethod
    def keep_alive(self, lease):
        """Renew a lease; return False if it has expired."""

    @abc.abstractmethod
    def revoke(self, lease):
        """Revoke a lease and delete its keys."""

    @abc.abstractmethod
    def watch(self, key, version, deadline):
        """Wait for a version of a key later than the given one.

        Parameters
        ----------
        key : str
            Key to watch.
        version : int
            Version that is already known.
        deadline : float
            Monotonic time in seconds at which the wait ends.

        Returns
        -------
        bool
            Whether there was a later version before the deadline.
        """
