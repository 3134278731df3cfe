"""Documents that spread between hosts, and the rules for taking one."""

import collections

import msgspec

MAX_REMEMBERED_CHANGES = 64
MAX_HEARD_PEERS = 64
MIN_JOIN_PEERS = 3


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A revision of something that all hosts take over.

    ``parts`` names the references of the chunks of each part.
    """

    kind: str
    revision: int
    parts: dict[str, list[str]]

    @property
    def references(self):
        """All references of the document."""
        return [r for references in self.parts.values() for r in references]


class DocumentChange(msgspec.Struct, frozen=True, kw_only=True):
    """What leads from one revision of a document to a later one.

    ``base`` is 0 where `parts` is the whole document.
    """

    kind: str
    base: int
    revision: int
    parts: dict[str, list[str]]
    removed: list[str] = []


class DocumentHistory:
    """The newest document of a kind and its latest changes.

    Revisions only grow: an older document is never taken, wherever it
    comes from.

    Parameters
    ----------
    kind : str
        Kind of the document.

    Examples
    --------
    >>> history = DocumentHistory("a")
    >>> history.take(Document(kind="a", revision=2, parts={"x": ["1"]}))
    True
    >>> history.take(Document(kind="a", revision=1, parts={}))
    False
    """

    def __init__(self, kind):
        self.document = Document(kind=kind, revision=0, parts={})
        self._changes = collections.deque(maxlen=MAX_REMEMBERED_CHANGES)

    @property
    def revision(self):
        """Revision of the document, 0 if there is none."""
        return self.document.revision

    def take(self, document):
        """Take a document if its revision is higher; return whether."""
        if document.revision <= self.revision:
            return False
        names = {*self.document.parts, *document.parts}
        touched = [
            name
            for name in names
            if self.document.parts.get(name) != document.parts.get(name)
        ]
        self._changes.append((self.revision, touched))
        self.document = document
        return True

    def change_since(self, revision):
        """Return the `DocumentChange` that leads a peer to this revision."""
        touched = set()
        is_known = False
        for base, names in reversed(self._changes):
            touched.update(names)
            if base == revision:
                is_known = True
                break
        parts = self.document.parts
        if not is_known or revision == 0:
            return DocumentChange(
                kind=self.document.kind,
                base=0,
                revision=self.revision,
                parts=parts,
            )
        return DocumentChange(
            kind=self.document.kind,
            base=revision,
            revision=self.revision,
            parts={n: parts[n] for n in touched if n in parts},
            removed=[n for n in touched if n not in parts],
        )

    def apply(self, change):
        """Return the document that a change leads to, or None.

        None means that the change starts from another revision.
        """
        if change.base == 0:
            parts = change.parts
        elif change.base == self.revision:
            parts = {**self.document.parts, **change.parts}
            for name in change.removed:
                parts.pop(name, None)
        else:
            return None
        return Document(
            kind=change.kind, revision=change.revision, parts=parts
        )


class JoinGate:
    """Decides when a host that just started may serve.

    A host keeps nothing over a restart, so the first revision it finds
    may be lower than the one it served before. It serves when its
    revision is the highest that it heard of and either the service or
    enough peers confirmed that.
    """

    def __init__(self):
        self._heard = {}
        self._confirmed = 0
        self.is_open = False

    def hear(self, peer, revision):
        """Note the revision that a peer has."""
        if peer in self._heard or len(self._heard) < MAX_HEARD_PEERS:
            self._heard[peer] = revision

    def confirm(self, revision):
        """Note that the service was read and had this revision."""
        self._confirmed = max(self._confirmed, revision)

    def update(self, revision, peers):
        """Decide again; once open, the gate stays open.

        Parameters
        ----------
        revision : int
            Revision that this host has.
        peers : int
            Number of other hosts that are present.

        Returns
        -------
        bool
            Whether this host may serve.
        """
        if self.is_open or revision == 0:
            return self.is_open
        highest = max(self._heard.values(), default=0)
        if revision < max(highest, self._confirmed):
            return False
        is_confirmed = 0 < self._confirmed <= revision
        needed = max(1, min(MIN_JOIN_PEERS, peers))
        self.is_open = is_confirmed or len(self._heard) >= needed
        return self.is_open
