"""Shares of classes and customers in scarce room, over all hosts."""

from apricotseam.sharing._demand import DemandCount
from apricotseam.sharing._demand import DemandKey
from apricotseam.sharing._demand import DemandMeter
from apricotseam.sharing._demand import largest_entries
from apricotseam.sharing._demand import subtract_demand
from apricotseam.sharing._demand import sum_demand
from apricotseam.sharing._rules import ShareRules

__all__ = [
    "DemandCount",
    "DemandKey",
    "DemandMeter",
    "ShareRules",
    "largest_entries",
    "subtract_demand",
    "sum_demand",
]
