"""Strict loading of YAML into the typed schema.

Duplicate keys, anchors, unknown fields and values out of range are errors
that name the file, the line where it can be had, the path, what was found
and the remedy.
"""

import msgspec

from apricotseam.config import _schema
from apricotseam.config import _settings
from apricotseam.config._yaml import Document
from apricotseam.errors import InvalidFileError
from apricotseam.errors import unknown_name


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
    apricotseam.errors._errors.InvalidFileError: <file>:1: Object missing \
required field `priorities` - at `$`; remedy: correct the file and check it \
again
    """
    document = Document(text, source)
    scope_file = _convert(document, _schema.ScopeFile, source)
    _References(scope_file, document, source).check()
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
    return _convert(Document(text, source), _settings.Settings, source)


def _convert(document, record_type, source):
    try:
        return msgspec.convert(document.data, record_type, strict=True)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at ")
        path = path.strip("`") or "$"
        raise _invalid(document, source, problem, path) from None


def _invalid(document, source, problem, path):
    return InvalidFileError(
        f"{source}:{document.line_of(path)}: {problem} - at `{path}`",
        "correct the file and check it again",
    )


class _References:
    """Checks that every name in a file refers to something declared."""

    __slots__ = ("_document", "_file", "_source")

    def __init__(self, scope_file, document, source):
        self._document = document
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
        for number, model in enumerate(scope_file.models):
            self._known(
                f"models[{number}].serving", model.serving, model.versions
            )
        self._check_groups(models, kinds)
        for number, pipeline in enumerate(scope_file.pipelines):
            path = f"pipelines[{number}]"
            self._known(f"{path}.model", pipeline.model, models)
            self._known(f"{path}.group", pipeline.group, groups)
            self._known(
                f"{path}.default_priority", pipeline.default_priority, ranks
            )
        for number, service in enumerate(scope_file.services):
            path = f"services[{number}]"
            self._known(f"{path}.group", service.group, groups)
            for place, call in enumerate(service.calls):
                self._known(
                    f"{path}.calls[{place}].priority", call.priority, ranks
                )
        for number, customer in enumerate(scope_file.customers):
            for name in customer.priorities:
                self._known(f"customers[{number}].priorities", name, ranks)
        self._check_keys()

    def _check_groups(self, models, kinds):
        names = set()
        for number, group in enumerate(self._file.groups):
            path = f"groups[{number}]"
            if group.model is not None:
                self._known(f"{path}.model", group.model, models)
            for place, target in enumerate(group.targets):
                here = f"{path}.targets[{place}]"
                if target.name in names:
                    self._fail(
                        f"{here}.name", f"name {target.name!r} stands twice"
                    )
                names.add(target.name)
                self._check_target(here, group, target, models, kinds)

    def _check_target(self, path, group, target, models, kinds):
        if target.accelerator is not None:
            self._known(f"{path}.accelerator", target.accelerator, kinds)
        if target.layers is None or group.model is None:
            return
        layers = models[group.model].layers
        held = target.layers
        if not 0 <= held.first <= held.last < layers:
            self._fail(
                f"{path}.layers",
                f"{held.first}..{held.last} found, a range within"
                f" 0..{layers - 1} allowed",
            )

    def _check_keys(self):
        owners = {}
        for number, customer in enumerate(self._file.customers):
            for digest in customer.key_hashes:
                if digest in owners:
                    self._fail(
                        f"customers[{number}].key_hashes",
                        f"the same key belongs to {owners[digest]!r}",
                    )
                owners[digest] = customer.name

    def _unique(self, path, records):
        table = {}
        for number, record in enumerate(records):
            if record.name in table:
                self._fail(
                    f"{path}[{number}].name",
                    f"name {record.name!r} stands twice",
                )
            table[record.name] = record
        return table

    def _known(self, path, name, known):
        if name in known:
            return
        self._fail(path, unknown_name("name", name, known))

    def _fail(self, path, problem):
        raise _invalid(self._document, self._source, problem, f"$.{path}")
