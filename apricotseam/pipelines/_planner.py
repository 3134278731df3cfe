"""Distributes the token flow over chains by maximum flow."""

import msgspec

from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._decompose import assign_targets
from apricotseam.pipelines._decompose import decompose_flow
from apricotseam.pipelines._maxflow import EPSILON
from apricotseam.pipelines._maxflow import FlowNetwork

MAX_LINK_ITERATIONS = 8
UNBOUNDED = float("inf")


class ChainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Chains with their weights in tokens per second.

    ``bound`` is an upper bound on the flow: the maximum flow if every
    layer boundary could use the full capacity of each link. The chains
    reach it unless several boundaries compete for a scarce link.
    """

    chains: tuple[tuple[Chain, float], ...] = ()
    bound: float = 0.0

    @property
    def planned(self):
        """Total weight of all chains in tokens per second."""
        return sum(weight for _, weight in self.chains)


def plan_chains(model, version, stages, rates, links):
    """Return chains of stages and the share of the flow of each.

    Stages in one availability zone that hold the same layers form a
    group, and the flow is solved over groups. The running time therefore
    depends mainly on the number of zones and layer ranges, and is only
    linear in the number of targets.

    Parameters
    ----------
    model : Model
        The model with its number of layers.
    version : str
        Model version that all stages hold.
    stages : list of Stage
        Available stages.
    rates : dict of str to float
        Throughput of each target at its stage in tokens per second.
    links : dict of frozenset to float
        Capacity between pairs of zones in tokens per second, shared by
        both directions. Missing pairs are unlimited.

    Returns
    -------
    ChainPlan
    """
    groups = _group_stages(stages, rates)
    solver = _FlowSolver(model.layers, groups, links)
    bound = solver.solve({})
    flows = solver.solve_within_links(bound)
    paths = decompose_flow(flows, groups, model.layers)
    chains = assign_targets(model.name, version, paths, groups)
    return ChainPlan(chains=tuple(chains), bound=bound)


def max_flow_rate(model, stages, rates, links):
    """Return the maximum flow in tokens per second.

    The parameters are those of `plan_chains`.
    """
    groups = _group_stages(stages, rates)
    return _FlowSolver(model.layers, groups, links).solve({})


def _group_stages(stages, rates):
    groups = {}
    for stage in stages:
        rate = rates.get(stage.target, 0.0)
        if rate > 0.0:
            key = (stage.availability_zone, stage.first, stage.last)
            groups.setdefault(key, []).append((stage, rate))
    return groups


class _FlowSolver:
    """Maximum-flow solver over groups of stages.

    A node is the entry to or exit from a layer boundary in one zone; the
    edges are groups of stages and links between zones.
    """

    def __init__(self, layers, groups, links):
        self._layers = layers
        self._links = links
        self._zones = sorted({zone for zone, _, _ in groups})
        self._groups = groups
        starts = {first for _, first, _ in groups}
        ends = {last + 1 for _, _, last in groups}
        self._boundaries = sorted(starts & ends)
        self._flows = {}

    def solve(self, shares):
        """Return the maximum flow in tokens per second.

        Parameters
        ----------
        shares : dict of tuple to float
            Share of a link in tokens per second by boundary, origin zone
            and destination zone; the full capacity if it is missing.
        """
        network = FlowNetwork()
        edges = {}
        for group, members in self._groups.items():
            zone, first, last = group
            rate = sum(member_rate for _, member_rate in members)
            edges[group] = network.add_edge(
                ("in", first, zone), ("out", last + 1, zone), rate
            )
        for boundary in self._boundaries:
            self._add_links(network, edges, boundary, shares)
        for zone in self._zones:
            network.add_edge("source", ("in", 0, zone), UNBOUNDED)
            end = ("out", self._layers, zone)
            network.add_edge(end, "sink", UNBOUNDED)
        total = network.solve("source", "sink")
        self._flows = {key: network.flow(edge) for key, edge in edges.items()}
        return total

    def _add_links(self, network, edges, boundary, shares):
        for zone in self._zones:
            exit_node = ("out", boundary, zone)
            network.add_edge(exit_node, ("in", boundary, zone), UNBOUNDED)
            for other_zone in self._zones:
                if other_zone == zone:
                    continue
                pair = frozenset((zone, other_zone))
                capacity = self._links.get(pair, UNBOUNDED)
                share = shares.get((boundary, zone, other_zone), capacity)
                if share <= 0.0:
                    continue
                edges[(boundary, zone, other_zone)] = network.add_edge(
                    exit_node,
                    ("in", boundary, other_zone),
                    share,
                    _crossing_cost(capacity),
                )

    def solve_within_links(self, bound):
        """Return flows whose total use of each link is within capacity.

        Each iteration derives the shares of links from the flows of the
        iteration before; the flows of the best iteration are returned.
        """
        best_total, best_flows = -1.0, {}
        total = bound
        for _ in range(MAX_LINK_ITERATIONS):
            flows = self._flows
            usage = self._link_usage(flows)
            max_utilization = max(
                (usage[pair] / self._links[pair] for pair in usage),
                default=0.0,
            )
            if max_utilization <= 1.0 + EPSILON:
                if total > best_total * (1.0 + EPSILON):
                    best_total, best_flows = total, flows
                if total >= bound * (1.0 - EPSILON) or best_total > total:
                    break
            total = self.solve(self._adjusted_shares(flows, usage))
        return best_flows

    def _link_usage(self, flows):
        usage = {}
        for key, flow in flows.items():
            if isinstance(key[0], int):
                pair = frozenset(key[1:])
                if pair in self._links:
                    usage[pair] = usage.get(pair, 0.0) + flow
        return usage

    def _adjusted_shares(self, flows, usage):
        """Scale shares of overused links down and spread spare capacity."""
        shares = {}
        for key, flow in flows.items():
            if not isinstance(key[0], int):
                continue
            pair = frozenset(key[1:])
            if pair not in usage:
                continue
            capacity = self._links[pair]
            if usage[pair] > capacity:
                shares[key] = flow * capacity / usage[pair]
            else:
                share_count = 2 * len(self._boundaries)
                shares[key] = flow + (capacity - usage[pair]) / share_count
        return shares


def _crossing_cost(capacity):
    """Return the cost of crossing a link; slower links cost more."""
    if capacity == UNBOUNDED:
        return 1.0
    return 1.0 + 1.0 / (1.0 + capacity)
