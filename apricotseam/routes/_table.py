"""Routes, services and customers, indexed for look-up by requests."""

import collections
import hashlib
import math

from apricotseam.http1 import Limits
from apricotseam.positions import NO_POSITION
from apricotseam.routes._routes import RepeatPolicy


class RouteTable:
    """Immutable snapshot of one configuration version.

    Parameters
    ----------
    position : Position
        Position of the configuration in the store; a higher one is newer.
    version : int
        Version number that the operators assigned.
    routes : iterable of Route
        All declared routes.
    services : iterable of Service
        All declared services.
    customers : iterable of Customer
        All declared customers. If there are none, requests need no key.
    limits : Limits
        Size and time limits for the requests of callers.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "has_customers",
        "limits",
        "_objectives",
        "position",
        "services",
        "version",
    )

    def __init__(
        self,
        position=NO_POSITION,
        version=0,
        routes=(),
        services=(),
        customers=(),
        limits=None,
    ):
        self.position = position
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits or Limits()
        self._by_host = collections.defaultdict(dict)
        # Least objective of the stream routes by service and priority.
        self._objectives = collections.defaultdict(dict)
        for route in routes:
            self._by_host[route.host.lower()][route.prefix] = route
            if route.repeat is RepeatPolicy.STREAM:
                for share in route.shares:
                    if share.weight > 0:
                        self._add_objective(share.service, route)
        self._by_key = {}
        self.has_customers = False
        for customer in customers:
            self.has_customers = True
            for key in customer.keys:
                self._by_key[key] = customer

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header.
        path : str
            Path without the query.
        """
        routes = self._by_host.get(host.lower())
        if routes is None:
            routes = self._by_host.get(host.partition(":")[0].lower())
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def stream_priorities(self, service):
        """Return the priorities of the stream routes to a service.

        Parameters
        ----------
        service : str
            Name of the service.
        """
        return set(self._objectives.get(service, ()))

    def least_objective(self, service, priority):
        """Return the least objective of classes that are as urgent or more.

        Parameters
        ----------
        service : str
            Name of the service.
        priority : int
            Priority of the class.

        Returns
        -------
        float
            Seconds until the first event; infinite if there is no such class.
        """
        objectives = self._objectives.get(service, {})
        return min(
            (o for p, o in objectives.items() if p <= priority),
            default=math.inf,
        )

    def _add_objective(self, service, route):
        objectives = self._objectives[service]
        known = objectives.get(route.priority, math.inf)
        objectives[route.priority] = min(known, route.objective_seconds)

    def find_customer(self, key):
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key)

    def pick_service(self, route, request_id):
        """Return the service that runs a request.

        The choice follows the weights and depends on the request identifier
        only, so that retries of a request go to the same service.

        Parameters
        ----------
        route : Route
            The route of the request.
        request_id : str
            Identifier of the request.

        Returns
        -------
        Service or None
            None if the route has no share with a positive weight, or the
            service is not declared.
        """
        shares = [s for s in route.shares if s.weight > 0]
        if not shares:
            return None
        if len(shares) == 1:
            return self.services.get(shares[0].service)
        total = sum(share.weight for share in shares)
        remaining_weight = _hash_fraction(request_id) * total
        for share in shares:
            remaining_weight -= share.weight
            if remaining_weight < 0:
                return self.services.get(share.service)
        return self.services.get(shares[-1].service)


def _hash_fraction(text):
    """Return a hash of a text as a number from 0 to 1."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
