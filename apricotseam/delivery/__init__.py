"""Whole answers: order of events, resume handles."""

from apricotseam.delivery._reorder import ReorderBuffer

__all__ = ["ReorderBuffer"]
