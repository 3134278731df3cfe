"""Records of the configuration as they are kept in the service."""

import msgspec


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """What a change added, removed and changed, by section and name.

    ``more`` counts names that are left out to bound the record.
    """

    added: list[str] = []
    removed: list[str] = []
    changed: list[str] = []
    more: int = 0


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One change: who, when, from where, what differs and the outcome.

    ``revision`` is 0 for an attempt that was refused. ``digest`` is that
    of the file's text and ``attempt`` tells attempts at one change apart.
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

    ``text`` is the operator's file as it was sent; ``data`` is the checked
    file in the form that hosts load.
    """

    text: list[str]
    data: list[str]

    @property
    def references(self):
        """All references of the scope."""
        return [*self.text, *self.data]


class Garbage(msgspec.Struct, frozen=True, kw_only=True):
    """References that the root no longer names, and since when."""

    references: list[str]
    wall_time: float


class Root(msgspec.Struct, frozen=True, kw_only=True):
    """The root record; `revision` grows by one with each change.

    ``audit`` holds the newest entries first; older ones are in segments.
    ``manifest`` names chunks that hold ``scopes`` where those are many.
    """

    revision: int = 0
    change_id: str = ""
    scopes: dict[str, ScopeChunks] = {}
    manifest: list[str] = []
    audit: list[AuditEntry] = []
    garbage: list[Garbage] = []


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A requested replacement of one scope."""

    change_id: str
    operator: str
    source: str
    wall_time: float
    scope: str
    text: str
    base: int | None = None


class ChangeMarker(msgspec.Struct, frozen=True, kw_only=True):
    """Base revisions that a change id was tried at.

    It is written before the swap, so that a change can be found by its id
    at one of the revisions after these bases.
    """

    bases: list[int] = []
