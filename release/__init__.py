"""Builds the executable and its reference pages; not itself shipped."""
