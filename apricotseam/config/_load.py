"""Strict loading of YAML into the typed schema.

Duplicate keys, anchors, unknown fields and values out of range are errors
that name the file, the line where it can be had, the path, what was found
and the remedy.
"""

import difflib

import msgspec
import yaml

from apricotseam.config import _schema
from apricotseam.config import _settings
from apricotseam.errors import InvalidFileError

MAX_FILE_BYTES = 8 << 20
MAX_NESTING = 32


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that refuses duplicate keys, anchors and deep nesting."""

    _depth = 0

    def compose_node(self, parent, index):
        """Compose one node unless it is an alias or too deeply nested."""
        event = self.peek_event()
        if getattr(event, "anchor", None) is not None:
            raise yaml.MarkedYAMLError(
                problem="anchors and aliases are not allowed",
                problem_mark=event.start_mark,
            )
        self._depth += 1
        if self._depth > MAX_NESTING:
            raise yaml.MarkedYAMLError(
                problem=f"nesting is deeper than {MAX_NESTING} levels",
                problem_mark=event.start_mark,
            )
        try:
            return super().compose_node(parent, index)
        finally:
            self._depth -= 1

    def construct_mapping(self, node, deep=False):
        """Construct a mapping whose keys are unique strings."""
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if not isinstance(key, str) or key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f"key {key!r} stands twice or is not a string",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def load_scope_file(text, source="<file>"):
    """Check an operators' file wholly and return it.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        Name of the file for messages.

    Returns
    -------
    ScopeFile

    Raises
    ------
    InvalidFileError
        If anything in the file is not allowed.

    Examples
    --------
    >>> load_scope_file("scope: a")
    Traceback (most recent call last):
    ...
    apricotseam.errors._errors.InvalidFileError: <file>: Object missing \
required field `priorities`; remedy: correct the file and check it again
    """
    data = _parse(text, source)
    scope_file = _convert(data, _schema.ScopeFile, source)
    _check_references(scope_file, source)
    return scope_file


def load_scope_data(data):
    """Return a scope file from the checked form that is kept.

    Raises
    ------
    InvalidFileError
        If it was written by a version with another schema.
    """
    try:
        return msgspec.json.decode(data, type=_schema.ScopeFile)
    except msgspec.DecodeError as error:
        raise InvalidFileError(
            f"kept data of a scope: {error}",
            "apply the file again with this version",
        ) from None


def load_settings(text, source="<settings>"):
    """Check the settings of one process and return them.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        Name of the file for messages.

    Returns
    -------
    Settings

    Raises
    ------
    InvalidFileError
        If anything in the file is not allowed.
    """
    return _convert(_parse(text, source), _settings.Settings, source)


def _parse(text, source):
    if len(text) > MAX_FILE_BYTES:
        raise InvalidFileError(
            f"{source}: {len(text)} bytes found, {MAX_FILE_BYTES} allowed",
            "split the scope",
        )
    try:
        return yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else "?"
        raise InvalidFileError(
            f"{source}:{line}: {error.problem}",
            "correct the YAML at that line",
        ) from None
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidFileError(
            f"{source}: not YAML: {error}", "correct the file"
        ) from None


def _convert(data, record_type, source):
    try:
        return msgspec.convert(data, record_type, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidFileError(
            f"{source}: {error}", "correct the file and check it again"
        ) from None


def _check_references(scope_file, source):
    _References(scope_file, source).check()


class _References:
    """Checks that every name in a file refers to something declared."""

    __slots__ = ("_file", "_source")

    def __init__(self, scope_file, source):
        self._file = scope_file
        self._source = source

    def check(self):
        """Check all names.

        Raises
        ------
        InvalidFileError
            On the first name that is unknown or declared twice.
        """
        scope_file = self._file
        models = self._unique("models", scope_file.models)
        kinds = self._unique("accelerators", scope_file.accelerators)
        groups = self._unique("groups", scope_file.groups)
        ranks = self._unique("priorities", scope_file.priorities)
        self._unique("pipelines", scope_file.pipelines)
        self._unique("services", scope_file.services)
        self._unique("customers", scope_file.customers)
        for model in scope_file.models:
            self._known(
                f"models.{model.name}.serving", model.serving, model.versions
            )
        self._check_groups(models, kinds)
        for pipeline in scope_file.pipelines:
            path = f"pipelines.{pipeline.name}"
            self._known(f"{path}.model", pipeline.model, models)
            self._known(f"{path}.group", pipeline.group, groups)
            self._known(
                f"{path}.default_priority", pipeline.default_priority, ranks
            )
        for service in scope_file.services:
            path = f"services.{service.name}"
            self._known(f"{path}.group", service.group, groups)
            for call in service.calls:
                self._known(f"{path}.calls.priority", call.priority, ranks)
        self._check_keys()

    def _check_groups(self, models, kinds):
        names = set()
        for group in self._file.groups:
            path = f"groups.{group.name}"
            if group.model is not None:
                self._known(f"{path}.model", group.model, models)
            for target in group.targets:
                if target.name in names:
                    self._fail(path, f"target {target.name!r} stands twice")
                names.add(target.name)
                self._check_target(path, group, target, models, kinds)

    def _check_target(self, path, group, target, models, kinds):
        if target.accelerator is not None:
            self._known(
                f"{path}.{target.name}.accelerator", target.accelerator, kinds
            )
        if target.layers is None or group.model is None:
            return
        layers = models[group.model].layers
        held = target.layers
        if not 0 <= held.first <= held.last < layers:
            self._fail(
                f"{path}.{target.name}.layers",
                f"{held.first}..{held.last} found, a range within"
                f" 0..{layers - 1} allowed",
            )

    def _check_keys(self):
        owners = {}
        for customer in self._file.customers:
            for digest in customer.key_hashes:
                if digest in owners:
                    self._fail(
                        f"customers.{customer.name}.key_hashes",
                        f"the same key belongs to {owners[digest]!r}",
                    )
                owners[digest] = customer.name

    def _unique(self, path, records):
        table = {}
        for record in records:
            if record.name in table:
                self._fail(path, f"name {record.name!r} stands twice")
            table[record.name] = record
        return table

    def _known(self, path, name, known):
        if name in known:
            return
        near = difflib.get_close_matches(name, list(known), n=1)
        hint = f", nearest known is {near[0]!r}" if near else ""
        self._fail(path, f"unknown name {name!r}{hint}")

    def _fail(self, path, problem):
        raise InvalidFileError(
            f"{self._source}: {problem} - at `$.{path}`",
            "correct the file and check it again",
        )
