"""Orders to targets: leases, fencing and reconciliation."""

from apricotseam.orders._child import OrdersChild
from apricotseam.orders._controller import GroupController
from apricotseam.orders._controller import GroupSpec
from apricotseam.orders._lease import OrderLease
from apricotseam.orders._reconcile import reconcile
from apricotseam.orders._reconcile import RolloutPlan
from apricotseam.orders._reconcile import TargetSpec
from apricotseam.orders._specs import declared_group_specs
from apricotseam.orders._specs import host_rank

__all__ = [
    "GroupController",
    "GroupSpec",
    "OrderLease",
    "OrdersChild",
    "RolloutPlan",
    "TargetSpec",
    "declared_group_specs",
    "host_rank",
    "reconcile",
]
