"""Versioned documents that hosts replicate, and rules for accepting them."""

import collections

import msgspec

# A peer that lacks more changes than these receives the whole document.
MAX_RECORDED_CHANGES = 64
# Bounds the memory for the revisions that peers report.
MAX_REPORTING_PEERS = 64
# Number of reports that suffice if the service cannot be read. Fewer suffice
# if fewer peers are present, but at least one is required.
MIN_REPORTING_PEERS = 3


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """One revision of a document that is replicated to all hosts.

    ``parts`` maps the name of each part to the references of its chunks.
    """

    kind: str
    revision: int
    parts: dict[str, list[str]]

    @property
    def references(self):
        """References of all chunks of the document."""
        return [r for references in self.parts.values() for r in references]


class DocumentChange(msgspec.Struct, frozen=True, kw_only=True):
    """Difference between one revision of a document and a later one.

    ``parts`` holds the parts that were added or changed since ``base`` and
    ``removed`` the names of those that were removed. If ``base`` is 0,
    ``parts`` is the whole document.
    """

    kind: str
    base: int
    revision: int
    parts: dict[str, list[str]]
    removed: list[str] = []


class DocumentHistory:
    """The newest document of a kind and its most recent changes.

    Revisions only increase: an older document is never accepted, from
    whatever source.

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
        self._changes = collections.deque(maxlen=MAX_RECORDED_CHANGES)

    @property
    def revision(self):
        """Revision of the newest document, 0 if there is none."""
        return self.document.revision

    def take(self, document):
        """Accept a document if its revision is higher.

        Returns
        -------
        bool
            Whether the document was accepted.
        """
        if document.revision <= self.revision:
            return False
        names = {*self.document.parts, *document.parts}
        changed_names = [
            name
            for name in names
            if self.document.parts.get(name) != document.parts.get(name)
        ]
        self._changes.append((self.revision, changed_names))
        self.document = document
        return True

    def change_since(self, revision):
        """Return what a peer needs to reach the newest revision.

        Parameters
        ----------
        revision : int
            Revision that the peer has.

        Returns
        -------
        DocumentChange
            The whole document if the revision is not in the history.
        """
        changed_names = set()
        is_known = False
        for base, names in reversed(self._changes):
            changed_names.update(names)
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
            parts={n: parts[n] for n in changed_names if n in parts},
            removed=[n for n in changed_names if n not in parts],
        )

    def apply(self, change):
        """Return the document that results from a change.

        The history itself does not change.

        Returns
        -------
        Document or None
            None if the change is based on a revision other than the newest
            one here.
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


class StartupGate:
    """Decides when a host that was just started may serve requests.

    A host stores nothing across a restart, so the first revision that it
    finds may be lower than the one it served before. It may serve once its
    revision is at least as high as every reported one, and either the
    service was read or enough peers reported their revision.
    """

    def __init__(self):
        self._peer_revisions = {}
        self._service_revision = 0
        self.is_open = False

    def record_peer_revision(self, peer, revision):
        """Record the revision that a peer has."""
        if (
            peer in self._peer_revisions
            or len(self._peer_revisions) < MAX_REPORTING_PEERS
        ):
            self._peer_revisions[peer] = revision

    def record_service_revision(self, revision):
        """Record that the service was read and had this revision."""
        self._service_revision = max(self._service_revision, revision)

    def update(self, revision, peers):
        """Decide whether this host may serve; once it may, that is final.

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
        highest = max(self._peer_revisions.values(), default=0)
        if revision < max(highest, self._service_revision):
            return False
        is_confirmed = 0 < self._service_revision <= revision
        required_reports = max(1, min(MIN_REPORTING_PEERS, peers))
        self.is_open = (
            is_confirmed or len(self._peer_revisions) >= required_reports
        )
        return self.is_open
