"""Benchmark tool of the repository; not part of the shipped program."""

from measure._figure import Figure

__all__ = ["Figure"]
