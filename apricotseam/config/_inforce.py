"""The configuration in force on a host: an immutable snapshot."""

from apricotseam.config._document import Document
from apricotseam.config import _load

CONFIGURATION = "configuration"


class Configuration:
    """All scopes of one revision, indexed for the request path.

    Parameters
    ----------
    revision : int
        Revision of the root.
    scopes : dict of str to ScopeFile
        Checked files by scope name.
    references : dict of str to list of str, optional
        References that each scope was loaded from.
    """

    __slots__ = ("_customers", "references", "revision", "scopes")

    def __init__(self, revision, scopes, references=None):
        self.revision = revision
        self.scopes = scopes
        self.references = references or {}
        self._customers = {
            digest: (scope_file, customer)
            for scope_file in scopes.values()
            for customer in scope_file.customers
            for digest in customer.key_hashes
        }

    def find_customer(self, key_hash):
        """Return the scope file and customer of a key hash, or None."""
        return self._customers.get(key_hash)


def make_document(root):
    """Return the `Document` that spreads a root to hosts."""
    parts = {name: chunks.data for name, chunks in root.scopes.items()}
    return Document(kind=CONFIGURATION, revision=root.revision, parts=parts)


def load_document(document, cache, previous=None):
    """Return the configuration of a document whose chunks are here.

    Parameters
    ----------
    document : Document
        Names the chunks of each scope.
    cache : ChunkCache
        Holds them.
    previous : Configuration, optional
        Scopes that did not change are taken from it.

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidFileError
        If a scope was written by a version with another schema.
    """
    scopes = {}
    for name, references in document.parts.items():
        if previous and previous.references.get(name) == references:
            scopes[name] = previous.scopes[name]
            continue
        body = b"".join(map(cache.get, references))
        scopes[name] = _load.load_scope_data(body)
    return Configuration(document.revision, scopes, document.parts)


def load_configuration(store, root, previous=None):
    """Read every scope of a root and return the configuration.

    Parameters
    ----------
    store : ConfigurationStore
        Where the chunks are read from.
    root : Root
        The root to load.
    previous : Configuration, optional
        Scopes that did not change are taken from it.

    Returns
    -------
    Configuration
    """
    document = make_document(root)
    for references in document.parts.values():
        store.fetch(references)
    return load_document(document, store.cache, previous)
