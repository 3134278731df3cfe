"""Handlers of the administration calls for configuration."""

import urllib.parse
import uuid

import msgspec

from apricotseam.config import AuditEntry
from apricotseam.config import Change
from apricotseam.config import load_scope_file
from apricotseam.config import Role
from apricotseam.errors import ApricotseamError
from apricotseam.errors import ConflictError
from apricotseam.errors import InvalidRequestError
from apricotseam.errors import unknown_name
from apricotseam.errors import UnknownNameError
from apricotseam.operators._attempts import RefusedChanges
from apricotseam.operators._context import require_role
from apricotseam.web import Response

DEFAULT_LISTED_ENTRIES = 50


class ScopeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Text of a scope's file and the revision at which it was read."""

    scope: str
    revision: int
    text: str


class AuditAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted changes, and changes that the answering host refused."""

    accepted: list[AuditEntry]
    refused_here: list[AuditEntry]


class ConfigurationCalls:
    """Checks, applies and reads scope files.

    Parameters
    ----------
    context : OperatorContext
        Dependencies of the handlers.
    """

    def __init__(self, context):
        self._context = context
        self._refused = RefusedChanges()

    def check(self, request):
        """Answer ``POST /v1/admin/check``."""
        require_role(request, self._context.settings, Role.READ)
        scope_file = load_scope_file(_body_text(request))
        return Response.of({"scope": scope_file.scope})

    def apply(self, request):
        """Answer ``PUT /v1/admin/scopes/{scope}``."""
        operator = require_role(request, self._context.settings, Role.APPLY)
        change_id = request.header("Change-Id") or uuid.uuid4().hex
        try:
            return Response.of(self._apply(request, operator, change_id))
        except ApricotseamError as error:
            self._refused.add(
                operator=operator.name,
                source=request.peer,
                scope=request.arguments["scope"],
                change_id=change_id,
                wall_time=self._context.clock.wall(),
                error=error,
            )
            raise

    def read(self, request):
        """Answer ``GET /v1/admin/scopes/{scope}``."""
        require_role(request, self._context.settings, Role.READ)
        scope = request.arguments["scope"]
        root, _ = self._context.store.read_root()
        if scope not in root.scopes:
            raise UnknownNameError(
                unknown_name("scope", scope, root.scopes),
                f"known scopes are {sorted(root.scopes)}",
            )
        text = self._context.store.read_text(root.scopes[scope])
        return Response.of(
            ScopeAnswer(scope=scope, revision=root.revision, text=text)
        )

    def change(self, request):
        """Answer ``GET /v1/admin/changes/{change}``."""
        require_role(request, self._context.settings, Role.READ)
        change_id = request.arguments["change"]
        entry = self._context.store.find_change(change_id)
        if entry is None:
            raise UnknownNameError(
                f"no change {change_id!r} was accepted",
                "apply the file again with the same change id",
            )
        return Response.of(entry)

    def audit(self, request):
        """Answer ``GET /v1/admin/audit``."""
        require_role(request, self._context.settings, Role.READ)
        query = urllib.parse.parse_qs(request.query)
        before = _query_number(query, "before", None)
        limit = _query_number(query, "limit", DEFAULT_LISTED_ENTRIES)
        accepted = self._context.store.list_changes(before, limit)
        return Response.of(
            AuditAnswer(accepted=accepted, refused_here=self._refused.newest)
        )

    def _apply(self, request, operator, change_id):
        text = _body_text(request)
        scope = load_scope_file(text).scope
        if scope != request.arguments["scope"]:
            raise InvalidRequestError(
                f"the file declares scope {scope!r}, not"
                f" {request.arguments['scope']!r}",
                "apply the file to the scope that it declares",
            )
        self._check_key_owners(scope, text)
        change = Change(
            change_id=change_id,
            operator=operator.name,
            source=request.peer,
            wall_time=self._context.clock.wall(),
            scope=scope,
            text=text,
            base=_base_revision(request),
        )
        return self._context.store.apply(change)

    def _check_key_owners(self, scope, text):
        """Check that no key belongs to a customer of another scope.

        Raises
        ------
        ConflictError
            If one does.
        """
        configuration = self._context.snapshots.configuration
        if configuration is None:
            return
        for customer in load_scope_file(text).customers:
            for digest in customer.key_hashes:
                found = configuration.find_customer(digest)
                if found is not None and found[0].scope != scope:
                    raise ConflictError(
                        f"a key of customer {customer.name!r} belongs to"
                        " another scope",
                        "give the customer a key of its own",
                    )


def _body_text(request):
    try:
        return request.body().decode()
    except UnicodeDecodeError:
        raise InvalidRequestError(
            "the file is not UTF-8", "save the file as UTF-8"
        ) from None


def _query_number(query, name, default):
    value = query.get(name, [None])[0]
    if value is None:
        return default
    if not value.isdigit():
        raise InvalidRequestError(
            f"{name} {value!r} is not a number", "send a number"
        )
    return int(value)


def _base_revision(request):
    value = request.header("Base-Revision")
    if value is None:
        return None
    if not value.isdigit():
        raise InvalidRequestError(
            f"base revision {value!r} is not a number",
            "send a revision number",
        )
    return int(value)
