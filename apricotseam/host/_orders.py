"""Builds the component of an entry host that gives orders to targets."""

from apricotseam.external import HttpModelEngine
from apricotseam.external import HttpWeightStore
from apricotseam.orders import OrdersChild


def build_orders(settings, clock, http, service, snapshots):
    """Return the component that gives orders to targets.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    clock : Clock
        Source of time.
    http : HttpClient
        Client for targets and weight store.
    service : KeyValueService
        Key-value service that grants leases.
    snapshots : Snapshots
        Current configuration, targets and members.

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
