"""Admission: which request may start now, which waits, which is refused."""

from apricotseam.admission._admission import Admission
from apricotseam.admission._admission import OpenAdmission
from apricotseam.admission._admission import Permit
from apricotseam.admission._admission import Work

__all__ = ["Admission", "OpenAdmission", "Permit", "Work"]
