"""Shares of classes and customers in scarce room, over all hosts."""

from apricotseam.sharing._demand import DemandCount

__all__ = ["DemandCount"]
