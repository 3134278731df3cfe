"""Splits the flow of tokens over chains from a maximum-flow bound."""

import msgspec

from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._decompose import decompose
from apricotseam.pipelines._decompose import expand
from apricotseam.pipelines._maxflow import EPSILON
from apricotseam.pipelines._maxflow import FlowNetwork

LINK_ROUNDS = 8
UNBOUNDED = float("inf")


class ChainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Chains with their weights in tokens per second.

    ``bound`` is the maximum flow when each layer boundary may use a link
    wholly; it is reached unless boundaries share a scarce link.
    """

    chains: tuple[tuple[Chain, float], ...] = ()
    bound: float = 0.0

    @property
    def planned(self):
        """Tokens per second of all chains together."""
        return sum(weight for _, weight in self.chains)


def plan_chains(model, version, stages, rates, links):
    """Return the chains over stages and how the flow splits over them.

    Stages in one availability zone that hold the same layers are taken
    together, so that the time grows with zones and ranges and only
    linearly with targets.

    Parameters
    ----------
    model : Model
        The model with its number of layers.
    version : str
        Version that all stages hold.
    stages : list of Stage
        Stages that are up.
    rates : dict of str to float
        Tokens per second of each target through its stage.
    links : dict of frozenset to float
        Tokens per second between pairs of zones; both directions share
        it. Pairs that are left out are unbounded.

    Returns
    -------
    ChainPlan
    """
    groups = _groups(stages, rates)
    solver = _Solver(model.layers, groups, links)
    bound = solver.solve({})
    flows = solver.within_links(bound)
    paths = decompose(flows, groups, model.layers)
    chains = expand(model.name, version, paths, groups)
    return ChainPlan(chains=tuple(chains), bound=bound)


def flow_bound(model, stages, rates, links):
    """Return the maximum flow in tokens per second; as `plan_chains`."""
    groups = _groups(stages, rates)
    return _Solver(model.layers, groups, links).solve({})


def _groups(stages, rates):
    groups = {}
    for stage in stages:
        rate = rates.get(stage.target, 0.0)
        if rate > 0.0:
            key = (stage.availability_zone, stage.first, stage.last)
            groups.setdefault(key, []).append((stage, rate))
    return groups


class _Solver:
    """Flow over groups of stages in layers of boundaries and zones."""

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
        """Return the flow when boundaries have these shares of links.

        Parameters
        ----------
        shares : dict
            Capacity by boundary and pair of zones, both ways together;
            the whole link where it is left out.
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
            out = ("out", boundary, zone)
            network.add_edge(out, ("in", boundary, zone), UNBOUNDED)
            for other in self._zones:
                if other == zone:
                    continue
                pair = frozenset((zone, other))
                whole = self._links.get(pair, UNBOUNDED)
                share = shares.get((boundary, zone, other), whole)
                if share <= 0.0:
                    continue
                edges[(boundary, zone, other)] = network.add_edge(
                    out, ("in", boundary, other), share, _price(whole)
                )

    def within_links(self, bound):
        """Return flows in which boundaries share links within bounds.

        Shares follow the use of the round before; the best round is
        kept.
        """
        best, best_flows = -1.0, {}
        total = bound
        for _ in range(LINK_ROUNDS):
            flows = self._flows
            used = self._used(flows)
            over = max(
                (used[pair] / self._links[pair] for pair in used), default=0.0
            )
            if over <= 1.0 + EPSILON:
                if total > best * (1.0 + EPSILON):
                    best, best_flows = total, flows
                if total >= bound * (1.0 - EPSILON) or best > total:
                    break
            total = self.solve(self._shares(flows, used))
        return best_flows

    def _used(self, flows):
        used = {}
        for key, flow in flows.items():
            if isinstance(key[0], int):
                pair = frozenset(key[1:])
                if pair in self._links:
                    used[pair] = used.get(pair, 0.0) + flow
        return used

    def _shares(self, flows, used):
        """Scale overused links down; hand what is free to each boundary."""
        shares = {}
        for key, flow in flows.items():
            if not isinstance(key[0], int):
                continue
            pair = frozenset(key[1:])
            if pair not in used:
                continue
            whole = self._links[pair]
            if used[pair] > whole:
                shares[key] = flow * whole / used[pair]
            else:
                ways = 2 * len(self._boundaries)
                shares[key] = flow + (whole - used[pair]) / ways
        return shares


def _price(whole):
    """Return the cost of a crossing; scarce links cost more."""
    if whole == UNBOUNDED:
        return 1.0
    return 1.0 + 1.0 / (1.0 + whole)
