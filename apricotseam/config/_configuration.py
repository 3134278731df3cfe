"""Immutable snapshot of the configuration that is in force on a host."""

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
        Validated scope files by scope name.
    references : dict of str to list of str, optional
        References of the chunks that each scope was loaded from.
    """

    __slots__ = ("_customers_by_key_hash", "references", "revision", "scopes")

    def __init__(self, revision, scopes, references=None):
        self.revision = revision
        self.scopes = scopes
        self.references = references or {}
        self._customers_by_key_hash = {
            digest: (scope_file, customer)
            for scope_file in scopes.values()
            for customer in scope_file.customers
            for digest in customer.key_hashes
        }

    def find_customer(self, key_hash):
        """Return the customer that owns a key.

        Parameters
        ----------
        key_hash : str
            SHA-256 digest of the key in hexadecimal.

        Returns
        -------
        (ScopeFile, Customer) or None
            None if no customer has such a key.
        """
        return self._customers_by_key_hash.get(key_hash)


def make_document(root):
    """Return the `Document` that distributes a root between hosts."""
    parts = {name: chunks.data for name, chunks in root.scopes.items()}
    return Document(kind=CONFIGURATION, revision=root.revision, parts=parts)


def load_document(document, cache, previous=None):
    """Return the configuration of a document whose chunks are cached.

    Parameters
    ----------
    document : Document
        Lists the references of the chunks of each scope.
    cache : ChunkCache
        Holds these chunks.
    previous : Configuration, optional
        Scopes that did not change are reused from it.

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidFileError
        If a scope was written by a version with an incompatible schema.
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
        Store from which the chunks are read.
    root : Root
        The root to load.
    previous : Configuration, optional
        Scopes that did not change are reused from it.

    Returns
    -------
    Configuration

    Raises
    ------
    InvalidFileError
        If a scope was written by a version with an incompatible schema.
    ServiceUnavailableError, AnswerLostError
        If a chunk cannot be read, or is missing or corrupt.
    """
    document = make_document(root)
    for references in document.parts.values():
        store.fetch(references)
    return load_document(document, store.cache, previous)
