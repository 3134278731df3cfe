"""Maximum flow of least cost by successive cheapest paths."""

import collections

EPSILON = 1e-9


class FlowNetwork:
    """Directed network with capacities and costs.

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

    __slots__ = ("_capacity", "_cost", "_edges", "_heads", "_nodes", "_scale")

    def __init__(self):
        self._nodes = {}
        self._edges = []
        self._heads = []
        self._capacity = []
        self._cost = []
        self._scale = 0.0

    def add_edge(self, tail, head, capacity, cost=0.0):
        """Add an edge and return its number."""
        edge = len(self._heads)
        for one, other, left, price in (
            (tail, head, capacity, cost),
            (head, tail, 0.0, -cost),
        ):
            self._edges_of(one).append(len(self._heads))
            self._edges_of(other)
            self._heads.append(self._nodes[other])
            self._capacity.append(left)
            self._cost.append(price)
        if capacity != float("inf"):
            self._scale = max(self._scale, capacity)
        return edge

    def flow(self, edge):
        """Return the flow on an edge."""
        return self._capacity[edge ^ 1]

    def solve(self, source, sink):
        """Send the maximum flow of least cost and return its value.

        Parameters
        ----------
        source, sink : hashable
            Nodes; at least one edge on every path must be bounded.
        """
        if source not in self._nodes or sink not in self._nodes:
            return 0.0
        start, end = self._nodes[source], self._nodes[sink]
        total = 0.0
        while True:
            path = self._cheapest_path(start, end)
            if path is None:
                return total
            amount = min(self._capacity[edge] for edge in path)
            for edge in path:
                self._capacity[edge] -= amount
                self._capacity[edge ^ 1] += amount
            total += amount

    def _edges_of(self, name):
        node = self._nodes.setdefault(name, len(self._edges))
        if node == len(self._edges):
            self._edges.append([])
        return self._edges[node]

    def _cheapest_path(self, start, end):
        least = EPSILON * max(self._scale, 1.0)
        costs = [float("inf")] * len(self._edges)
        costs[start] = 0.0
        arrived = [-1] * len(self._edges)
        waiting = collections.deque([start])
        is_waiting = [False] * len(self._edges)
        while waiting:
            node = waiting.popleft()
            is_waiting[node] = False
            for edge in self._edges[node]:
                if self._capacity[edge] <= least:
                    continue
                head = self._heads[edge]
                cost = costs[node] + self._cost[edge]
                if cost < costs[head] - EPSILON:
                    costs[head] = cost
                    arrived[head] = edge
                    if not is_waiting[head]:
                        is_waiting[head] = True
                        waiting.append(head)
        if arrived[end] < 0:
            return None
        path = []
        node = end
        while node != start:
            path.append(arrived[node])
            node = self._heads[arrived[node] ^ 1]
        return path
