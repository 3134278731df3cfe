"""The declared routes, indexed for look-ups by requests."""

import collections
import hashlib

from apricotseam.http1 import Limits


class RouteTable:
    """One version of what operators declared; never changed.

    Parameters
    ----------
    revision : int
        Revision in the store; a higher one is newer.
    version : int
        The operators' own number.
    routes : iterable of Route
        All routes.
    services : iterable of Service
        All services.
    customers : iterable of Customer
        All customers; without any, requests need no key.
    limits : Limits
        What callers may send.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "has_customers",
        "limits",
        "revision",
        "services",
        "version",
    )

    def __init__(
        self,
        revision=0,
        version=0,
        routes=(),
        services=(),
        customers=(),
        limits=None,
    ):
        self.revision = revision
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits or Limits()
        self._by_host = collections.defaultdict(dict)
        for route in routes:
            self._by_host[route.host.lower()][route.prefix] = route
        self._by_key = {}
        self.has_customers = False
        for customer in customers:
            self.has_customers = True
            for key in customer.keys:
                self._by_key[key] = customer

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or None.

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

    def find_customer(self, key):
        """Return the customer that holds a key, or None."""
        return self._by_key.get(key)

    def pick_service(self, route, request_id):
        """Return the service for a request, the same for each repeat.

        Parameters
        ----------
        route : Route
            The route of the request.
        request_id : str
            Identifier of the request.

        Returns
        -------
        Service or None
            None if the route names a service that is not declared.
        """
        shares = [s for s in route.shares if s.weight > 0]
        if not shares:
            return None
        if len(shares) == 1:
            return self.services.get(shares[0].service)
        total = sum(share.weight for share in shares)
        point = _fraction(request_id) * total
        for share in shares:
            point -= share.weight
            if point < 0:
                return self.services.get(share.service)
        return self.services.get(shares[-1].service)


def _fraction(text):
    """Return a number from 0 to 1 that depends on the text alone."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
