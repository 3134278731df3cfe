"""Event ordering and resume handles for streamed answers."""

from apricotseam.delivery._handle import body_digest
from apricotseam.delivery._handle import HandleSigner
from apricotseam.delivery._handle import ResumeHandle
from apricotseam.delivery._reorder import ReorderBuffer

__all__ = ["HandleSigner", "ReorderBuffer", "ResumeHandle", "body_digest"]
