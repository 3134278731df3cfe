"""Structured logs: one JSON event a line."""

from apricotseam.logs._logging import configure_logging

__all__ = ["configure_logging"]
