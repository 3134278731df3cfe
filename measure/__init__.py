"""Measuring tool of the repository; not part of the shipped program."""
