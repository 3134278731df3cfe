"""Configuration of JSON logging with `python-json-logger`."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logging(level=logging.INFO, stream=None):
    """Log all events to one stream as JSON lines.

    Parameters
    ----------
    level : int
        Lowest level that is logged.
    stream : file, optional
        Stream to write to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(make_formatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)


def make_formatter():
    """Return the `JsonFormatter` for all events."""
    return JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"message": "event", "asctime": "time"},
    )
