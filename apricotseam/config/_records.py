"""Records of the configuration that the key-value service stores."""

import msgspec


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of the records that a change added, removed and changed.

    A path consists of section and name, such as ``customers/name``.
    ``more`` counts paths that were left out to bound the size.
    """

    added: list[str] = []
    removed: list[str] = []
    changed: list[str] = []
    more: int = 0


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Audit record of one change.

    ``revision`` is 0 for an attempt that was refused. ``source`` is the
    address of the operator, ``wall_time`` is in seconds since the epoch
    and ``digest`` is the SHA-256 digest of the file's text. ``attempt``
    distinguishes several attempts at the same change.
    """

    revision: int
    change_id: str
    operator: str
    source: str
    wall_time: float
    scope: str
    outcome: str
    digest: str
    attempt: str = ""
    difference: Difference = Difference()


class ScopeChunks(msgspec.Struct, frozen=True, kw_only=True):
    """References of the chunks of one scope.

    ``text`` refers to the operator's file as it was sent, ``data`` to the
    validated file as JSON, which hosts load.
    """

    text: list[str]
    data: list[str]

    @property
    def references(self):
        """References of all chunks of the scope."""
        return [*self.text, *self.data]


class Garbage(msgspec.Struct, frozen=True, kw_only=True):
    """References that were removed from the root, and the time of removal.

    ``wall_time`` is in seconds since the epoch.
    """

    references: list[str]
    wall_time: float


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root record; ``revision`` increases by one with each change.

    ``audit`` holds the newest audit entries, newest first; older ones are
    in segments. If ``scopes`` is too large to be stored in the root, it is
    stored in chunks that ``manifest`` refers to.
    """

    revision: int = 0
    change_id: str = ""
    scopes: dict[str, ScopeChunks] = {}
    manifest: list[str] = []
    audit: list[AuditEntry] = []
    garbage: list[Garbage] = []


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A request to replace one scope.

    ``source`` is the address of the operator and ``wall_time`` is in
    seconds since the epoch. ``base`` is the revision that the operator
    expects to be in force, or None for any.
    """

    change_id: str
    operator: str
    source: str
    wall_time: float
    scope: str
    text: str
    base: int | None = None


class ChangeMarker(msgspec.Struct, frozen=True, kw_only=True):
    """Base revisions at which a change id was attempted.

    The marker is written before the swap of the root. A change that was
    accepted is therefore found by its id at the revision that follows one
    of these bases.
    """

    bases: list[int] = []
