"""Describes both HTTP interfaces as OpenAPI documents."""

import json
import re

import msgspec

import apricotseam
from apricotseam.callers import build_callers_application
from apricotseam.callers import CallerContext
from apricotseam.operators import build_operators_application
from apricotseam.operators import OperatorContext
from apricotseam.web import ErrorBody

# Paths that need no API key.
UNAUTHENTICATED_PATHS = ("/", "/healthz", "/readyz")
# Methods documented for a route that accepts every method.
WILDCARD_METHODS = ("get", "post", "put", "delete")


def openapi_pages(settings):
    """Return the OpenAPI documents of both interfaces by file name.

    Parameters
    ----------
    settings : Settings
        Any valid settings.

    Returns
    -------
    dict of str to str
        JSON text by file name.
    """
    callers = CallerContext(
        settings=settings,
        clock=None,
        http=None,
        runner=None,
        snapshots=None,
        admission=None,
        chooser=None,
        execution=None,
        retries=None,
    )
    operators = OperatorContext(settings, None, None, None, None)
    return {
        "openapi-callers.json": _document(
            "Callers' interface", build_callers_application(callers)
        ),
        "openapi-operators.json": _document(
            "Administration interface", build_operators_application(operators)
        ),
    }


def _document(title, application):
    paths = {}
    for route in application.routes:
        path = route.pattern.replace("*}", "}")
        methods = [route.method.lower()]
        if route.method == "*":
            methods = WILDCARD_METHODS
        for method in methods:
            paths.setdefault(path, {})[method] = _operation(path, route)
    document = {
        "openapi": "3.1.0",
        "info": {"title": title, "version": apricotseam.__version__},
        "paths": paths,
        "components": {
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
            "schemas": {"Error": _error_schema()},
        },
    }
    return json.dumps(document, indent=1) + "\n"


def _operation(path, route):
    summary = (route.handler.__doc__ or "").strip().split("\n")[0]
    names = re.findall(r"\{(\w+)\}", path)
    operation = {
        "summary": summary,
        "parameters": [
            {
                "name": name,
                "in": "path",
                "required": True,
                "schema": {"type": "string"},
            }
            for name in names
        ],
        "responses": {
            "200": {"description": "Done."},
            "default": {
                "description": "A typed error; docs/ERRORS.md lists them.",
                "content": {
                    "application/json": {
                        "schema": {"$ref": "#/components/schemas/Error"}
                    }
                },
            },
        },
    }
    if path not in UNAUTHENTICATED_PATHS:
        operation["security"] = [{"key": []}]
    return operation


def _error_schema():
    _, components = msgspec.json.schema_components([ErrorBody])
    return {
        "type": "object",
        "required": ["error"],
        "properties": {"error": components["ErrorBody"]},
    }
