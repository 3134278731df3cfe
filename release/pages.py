"""Generates the documentation pages that are derived from the code.

``python -m release.pages`` writes them; a test checks that they are up to
date.
"""

import json
import pathlib

import msgspec

import apricotseam.cli  # noqa: F401 - defines all error classes
from apricotseam.config import load_settings
from apricotseam.config import ScopeFile
from apricotseam.config import Settings
from apricotseam.errors import ApricotseamError
from release.openapi import openapi_pages

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
EXAMPLE_SETTINGS = ROOT / "examples" / "settings.yaml"

_ERRORS_HEADER = """# Errors

Every error that a caller or operator reads has a code that stays the same, a
message that says what was found, and a remedy. `outcome` says whether the
request was run: `not_run` is said only where that is proved, `outcome_unknown`
where it may have been run, `failed` where it was run without success. HTTP
status and exit code follow from the kind. This page is made by
`python -m release.pages`.

| kind | code | HTTP status | exit code | outcome | meaning |
|---|---|---|---|---|---|
"""


def error_kinds(base=ApricotseamError):
    """Yield an error class and all its subclasses in the package."""
    yield base
    for child in base.__subclasses__():
        if child.__module__.startswith("apricotseam."):
            yield from error_kinds(child)


def errors_page():
    """Return the page that lists all error classes, sorted by code."""
    rows = {kind.code: _error_row(kind) for kind in error_kinds()}
    return (
        _ERRORS_HEADER + "\n".join(rows[code] for code in sorted(rows)) + "\n"
    )


def _error_row(kind):
    meaning = kind.__doc__.strip().split("\n")[0]
    return (
        f"| `{kind.__name__}` | `{kind.code}` | {kind.http_status}"
        f" | {kind.exit_code} | `{kind.outcome.value}` | {meaning} |"
    )


def schema_page(struct_type):
    """Return the JSON Schema of a `msgspec.Struct` class as text."""
    schema = msgspec.json.schema(struct_type)
    return json.dumps(schema, indent=1, sort_keys=True) + "\n"


def reference_page(title, struct_type):
    """Return a page that documents a `msgspec.Struct` class.

    It has a table of fields for the class and for each class that the
    fields refer to.
    """
    _, components = msgspec.json.schema_components([struct_type])
    parts = [f"# {title}\n\nMade by `python -m release.pages`.\n"]
    for name in _section_order(struct_type.__name__, components):
        parts.append(_section(name, components[name]))
    return "\n".join(parts)


def _section_order(first, components):
    others = sorted(name for name in components if name != first)
    return [first, *others]


def _section(name, schema):
    lines = [f"## {name}\n", schema.get("description", ""), ""]
    if "properties" not in schema:
        allowed = ", ".join(f"`{value}`" for value in schema.get("enum", []))
        return "\n".join([*lines, f"One of {allowed}.", ""])
    lines += ["| field | value | default |", "|---|---|---|"]
    required = set(schema.get("required", []))
    for field, value in schema["properties"].items():
        default = "required" if field in required else _default(value)
        lines.append(f"| `{field}` | {_describe(value)} | {default} |")
    return "\n".join([*lines, ""])


def _default(value):
    return f"`{json.dumps(value.get('default'))}`"


def _describe(value):
    if "$ref" in value:
        name = value["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if "anyOf" in value:
        return " or ".join(_describe(part) for part in value["anyOf"])
    if value.get("type") == "array":
        return f"list of {_describe(value['items'])}{_constraints(value)}"
    return f"{value.get('type', 'any')}{_constraints(value)}"


def _constraints(value):
    labels = {
        "minimum": "at least",
        "exclusiveMinimum": "over",
        "maximum": "at most",
        "minLength": "length at least",
        "maxLength": "length at most",
        "minItems": "items at least",
        "maxItems": "items at most",
        "pattern": "pattern",
    }
    constraints = [
        f"{label} `{str(value[key]).replace('|', chr(92) + '|')}`"
        for key, label in labels.items()
        if key in value
    ]
    return f", {', '.join(constraints)}" if constraints else ""


def pages():
    """Return the text of each generated page by its path under docs/."""
    return {
        **openapi_pages(load_settings(EXAMPLE_SETTINGS.read_text())),
        "ERRORS.md": errors_page(),
        "schema/scope-file.json": schema_page(ScopeFile),
        "schema/settings.json": schema_page(Settings),
        "reference-scope-file.md": reference_page(
            "Operators' file", ScopeFile
        ),
        "reference-settings.md": reference_page(
            "Settings of a process", Settings
        ),
    }


def main():
    """Write every generated page."""
    for name, text in pages().items():
        path = DOCS / name
        path.parent.mkdir(exist_ok=True)
        path.write_text(text)


if __name__ == "__main__":
    main()
