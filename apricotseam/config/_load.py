"""Strict loading of YAML into the typed schema.

Duplicate keys, anchors, unknown fields and values out of range are errors.
Each error names the file, the line (if known), the path of the value, what
was found and the remedy.
"""

import msgspec

from apricotseam.config import _schema
from apricotseam.config import _settings
from apricotseam.config._yaml import YamlDocument
from apricotseam.errors import InvalidFileError
from apricotseam.errors import unknown_name


def load_scope_file(text, source="<file>"):
    """Parse and validate a scope file.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        File name to show in error messages.

    Returns
    -------
    ScopeFile

    Raises
    ------
    InvalidFileError
        If the text is not valid YAML, does not match the schema or refers
        to a name that it does not declare.

    Examples
    --------
    >>> load_scope_file("scope: a")
    Traceback (most recent call last):
    ...
    apricotseam.errors._errors.InvalidFileError: <file>:1: Object missing \
required field `priorities` - at `$`; remedy: correct the file and check it \
again
    """
    document = YamlDocument(text, source)
    scope_file = _convert(document, _schema.ScopeFile, source)
    _ReferenceChecker(scope_file, document, source).check()
    return scope_file


def load_scope_data(data):
    """Decode the validated form of a scope file that the service stores.

    Parameters
    ----------
    data : bytes
        The JSON that was encoded when the scope was applied.

    Returns
    -------
    ScopeFile

    Raises
    ------
    InvalidFileError
        If it was written by a version with an incompatible schema.
    """
    try:
        return msgspec.json.decode(data, type=_schema.ScopeFile)
    except msgspec.DecodeError as error:
        raise InvalidFileError(
            f"stored data of a scope cannot be decoded: {error}",
            "apply the file again with this version",
        ) from None


def load_settings(text, source="<settings>"):
    """Parse and validate the settings of one process.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        File name to show in error messages.

    Returns
    -------
    Settings

    Raises
    ------
    InvalidFileError
        If the text is not valid YAML or does not match the schema.
    """
    return _convert(YamlDocument(text, source), _settings.Settings, source)


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


class _ReferenceChecker:
    """Checks that every name used in a scope file is declared exactly once."""

    __slots__ = ("_document", "_scope_file", "_source")

    def __init__(self, scope_file, document, source):
        self._document = document
        self._scope_file = scope_file
        self._source = source

    def check(self):
        """Check all declarations and references.

        Raises
        ------
        InvalidFileError
            On the first name that is unknown or declared twice, or the
            first layer range or key hash that is not allowed.
        """
        scope_file = self._scope_file
        models = self._index_by_name("models", scope_file.models)
        accelerators = self._index_by_name(
            "accelerators", scope_file.accelerators
        )
        groups = self._index_by_name("groups", scope_file.groups)
        priorities = self._index_by_name("priorities", scope_file.priorities)
        self._index_by_name("pipelines", scope_file.pipelines)
        self._index_by_name("services", scope_file.services)
        self._index_by_name("customers", scope_file.customers)
        for number, model in enumerate(scope_file.models):
            self._require_known(
                f"models[{number}].serving", model.serving, model.versions
            )
        self._check_groups(models, accelerators)
        for number, pipeline in enumerate(scope_file.pipelines):
            path = f"pipelines[{number}]"
            self._require_known(f"{path}.model", pipeline.model, models)
            self._require_known(f"{path}.group", pipeline.group, groups)
            self._require_known(
                f"{path}.default_priority",
                pipeline.default_priority,
                priorities,
            )
        for number, service in enumerate(scope_file.services):
            path = f"services[{number}]"
            self._require_known(f"{path}.group", service.group, groups)
            for index, call in enumerate(service.calls):
                self._require_known(
                    f"{path}.calls[{index}].priority",
                    call.priority,
                    priorities,
                )
        for number, customer in enumerate(scope_file.customers):
            for name in customer.priorities:
                self._require_known(
                    f"customers[{number}].priorities", name, priorities
                )
        self._check_keys()

    def _check_groups(self, models, accelerators):
        target_names = set()
        for number, group in enumerate(self._scope_file.groups):
            path = f"groups[{number}]"
            if group.model is not None:
                self._require_known(f"{path}.model", group.model, models)
            for index, target in enumerate(group.targets):
                target_path = f"{path}.targets[{index}]"
                if target.name in target_names:
                    self._fail(
                        f"{target_path}.name",
                        f"name {target.name!r} is declared twice",
                    )
                target_names.add(target.name)
                self._check_target(
                    target_path, group, target, models, accelerators
                )

    def _check_target(self, path, group, target, models, accelerators):
        if target.accelerator is not None:
            self._require_known(
                f"{path}.accelerator", target.accelerator, accelerators
            )
        if target.layers is None or group.model is None:
            return
        layers = models[group.model].layers
        layer_range = target.layers
        if not 0 <= layer_range.first <= layer_range.last < layers:
            self._fail(
                f"{path}.layers",
                f"found layers {layer_range.first}..{layer_range.last},"
                f" allowed is a range within 0..{layers - 1}",
            )

    def _check_keys(self):
        owner_names = {}
        for number, customer in enumerate(self._scope_file.customers):
            for digest in customer.key_hashes:
                if digest in owner_names:
                    self._fail(
                        f"customers[{number}].key_hashes",
                        f"the same key belongs to {owner_names[digest]!r}",
                    )
                owner_names[digest] = customer.name

    def _index_by_name(self, path, records):
        table = {}
        for number, record in enumerate(records):
            if record.name in table:
                self._fail(
                    f"{path}[{number}].name",
                    f"name {record.name!r} is declared twice",
                )
            table[record.name] = record
        return table

    def _require_known(self, path, name, known):
        if name in known:
            return
        self._fail(path, unknown_name("name", name, known))

    def _fail(self, path, problem):
        raise _invalid(self._document, self._source, problem, f"$.{path}")
