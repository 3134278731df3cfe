"""Orders to targets: leases, fencing and reconciliation."""

from apricotseam.orders._child import OrdersChild
from apricotseam.orders._intent import declared_intents
from apricotseam.orders._intent import rank_of
from apricotseam.orders._lease import OrderLease
from apricotseam.orders._orderer import GroupIntent
from apricotseam.orders._orderer import GroupOrderer
from apricotseam.orders._reconcile import Plan
from apricotseam.orders._reconcile import reconcile
from apricotseam.orders._reconcile import Wanted

__all__ = [
    "GroupIntent",
    "GroupOrderer",
    "OrderLease",
    "OrdersChild",
    "Plan",
    "Wanted",
    "declared_intents",
    "rank_of",
    "reconcile",
]
