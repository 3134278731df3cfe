"""Command line of the program."""

from apricotseam.cli._main import main

__all__ = ["main"]
