"""Command-line interface."""

from apricotseam.cli._main import main

__all__ = ["main"]
