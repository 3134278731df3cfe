"""Assembly of one entry host from all parts."""

from apricotseam.host._entry import EntryHost

__all__ = ["EntryHost"]
