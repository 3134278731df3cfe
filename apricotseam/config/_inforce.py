"""The configuration in force on a host: an immutable snapshot."""

from apricotseam.config import _load


class Configuration:
    """All scopes of one revision, indexed for the request path.

    Parameters
    ----------
    revision : int
        Revision of the root.
    scopes : dict of str to ScopeFile
        Checked files by scope name.
    """

    __slots__ = ("revision", "scopes", "_customers")

    def __init__(self, revision, scopes):
        self.revision = revision
        self.scopes = scopes
        self._customers = {
            digest: (scope_file, customer)
            for scope_file in scopes.values()
            for customer in scope_file.customers
            for digest in customer.key_hashes
        }

    def find_customer(self, key_hash):
        """Return the scope file and customer of a key hash, or None."""
        return self._customers.get(key_hash)


def load_configuration(store, root, previous=None):
    """Read every scope of a root and return the configuration.

    Parameters
    ----------
    store : ConfigurationStore
        Where the chunks are read from.
    root : Root
        The root to load.
    previous : Configuration, optional
        Unchanged; kept for callers that want to compare.

    Returns
    -------
    Configuration
    """
    scopes = {}
    for name, digests in root.scopes.items():
        text = store.read_scope(digests)
        scopes[name] = _load.load_scope_file(text, name)
    return Configuration(root.revision, scopes)
