"""Builds the orders to targets of one entry host."""

from apricotseam.external import HttpModelEngine
from apricotseam.external import HttpWeightStore
from apricotseam.orders import OrdersChild


def build_orders(settings, clock, http, service, snapshots):
    """Return the child that orders targets.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    http : HttpClient
        Carries the calls to targets and weight store.
    service : KeyValueService
        Grants leases.
    snapshots : Snapshots
        Configuration, targets and members in force.

    Returns
    -------
    OrdersChild
    """
    weight_store = None
    if settings.weight_store is not None:
        weight_store = HttpWeightStore(http, settings.weight_store)
    return OrdersChild(
        settings,
        clock,
        service,
        HttpModelEngine(http),
        weight_store,
        snapshots,
    )
