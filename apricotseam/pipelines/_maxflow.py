"""Minimum-cost maximum flow by successive shortest paths."""

import collections

# Flows below this fraction of the largest capacity count as zero.
EPSILON = 1e-9


class FlowNetwork:
    """Directed flow network with edge capacities and costs.

    Examples
    --------
    >>> network = FlowNetwork()
    >>> edge = network.add_edge("s", "a", 3.0)
    >>> _ = network.add_edge("a", "t", 2.0)
    >>> network.solve("s", "t")
    2.0
    >>> network.flow(edge)
    2.0
    """

    __slots__ = (
        "_residual",
        "_cost",
        "_adjacency",
        "_heads",
        "_nodes",
        "_max_capacity",
    )

    def __init__(self):
        self._nodes = {}
        self._adjacency = []
        self._heads = []
        self._residual = []
        self._cost = []
        self._max_capacity = 0.0

    def add_edge(self, tail, head, capacity, cost=0.0):
        """Add an edge and its reverse and return the edge's number.

        The reverse of edge ``e`` has the number ``e ^ 1``.
        """
        edge = len(self._heads)
        for origin, destination, residual, unit_cost in (
            (tail, head, capacity, cost),
            (head, tail, 0.0, -cost),
        ):
            self._edges_of(origin).append(len(self._heads))
            self._edges_of(destination)
            self._heads.append(self._nodes[destination])
            self._residual.append(residual)
            self._cost.append(unit_cost)
        if capacity != float("inf"):
            self._max_capacity = max(self._max_capacity, capacity)
        return edge

    def flow(self, edge):
        """Return the flow on an edge."""
        return self._residual[edge ^ 1]

    def solve(self, source, sink):
        """Compute the minimum-cost maximum flow and return its value.

        Parameters
        ----------
        source, sink : hashable
            Nodes; every path between them must have an edge of finite
            capacity.
        """
        if source not in self._nodes or sink not in self._nodes:
            return 0.0
        start, end = self._nodes[source], self._nodes[sink]
        total = 0.0
        while True:
            path = self._shortest_path(start, end)
            if path is None:
                return total
            amount = min(self._residual[edge] for edge in path)
            for edge in path:
                self._residual[edge] -= amount
                self._residual[edge ^ 1] += amount
            total += amount

    def _edges_of(self, name):
        node = self._nodes.setdefault(name, len(self._adjacency))
        if node == len(self._adjacency):
            self._adjacency.append([])
        return self._adjacency[node]

    def _shortest_path(self, start, end):
        min_residual = EPSILON * max(self._max_capacity, 1.0)
        costs = [float("inf")] * len(self._adjacency)
        costs[start] = 0.0
        incoming = [-1] * len(self._adjacency)
        queued = collections.deque([start])
        is_queued = [False] * len(self._adjacency)
        while queued:
            node = queued.popleft()
            is_queued[node] = False
            for edge in self._adjacency[node]:
                if self._residual[edge] <= min_residual:
                    continue
                head = self._heads[edge]
                cost = costs[node] + self._cost[edge]
                if cost < costs[head] - EPSILON:
                    costs[head] = cost
                    incoming[head] = edge
                    if not is_queued[head]:
                        is_queued[head] = True
                        queued.append(head)
        if incoming[end] < 0:
            return None
        path = []
        node = end
        while node != start:
            path.append(incoming[node])
            node = self._heads[incoming[node] ^ 1]
        return path
