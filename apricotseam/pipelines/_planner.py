"""Splits the flow of tokens over chains from a maximum-flow bound."""

import msgspec

from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._decompose import decompose
from apricotseam.pipelines._decompose import expand
from apricotseam.pipelines._maxflow import FlowNetwork

PRICE_ROUNDS = 24
FIT_EVERY = 4
_OVER = 1.0 + 1e-6
UNBOUNDED = float("inf")


class ChainPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Chains with their weights in tokens per second.

    ``bound`` is at least the highest flow that the hardware allows; it is
    exact unless boundaries share a scarce link.
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
    bound, flows = solver.within_links()
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

    def solve(self, shares, prices=None):
        """Return the flow when boundaries have these shares of links.

        Parameters
        ----------
        shares : dict
            Capacity by boundary and pair of zones, both ways together;
            the whole link where it is left out.
        prices : dict of frozenset to float, optional
            Price of a crossing in tokens, by pair of zones.
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
            self._add_links(network, edges, boundary, shares, prices)
        for zone in self._zones:
            network.add_edge("source", ("in", 0, zone), UNBOUNDED)
            end = ("out", self._layers, zone)
            network.add_edge(end, "sink", UNBOUNDED)
        highest = UNBOUNDED if prices is None else 1.0
        total = network.solve("source", "sink", highest)
        self._flows = {key: network.flow(edge) for key, edge in edges.items()}
        return total

    def _add_links(self, network, edges, boundary, shares, prices):
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
                cost = _price(whole)
                if prices is not None:
                    cost = prices.get(pair, 0.0)
                edges[(boundary, zone, other)] = network.add_edge(
                    out, ("in", boundary, other), share, cost
                )

    def within_links(self):
        """Return a bound and flows that share links within bounds.

        Where boundaries together use a link too much, prices of crossings
        are raised by subgradient steps. Each round's dual value bounds the
        flow; the mean of the rounds' flows says how boundaries share.
        """
        bound = self.solve({})
        flows = self._flows
        used = self._used(flows)
        if all(used[p] <= self._links[p] * _OVER for p in used):
            return bound, flows
        total, flows = self._fit(flows)
        prices = dict.fromkeys(used, 0.0)
        mean = {}
        for number in range(1, PRICE_ROUNDS + 1):
            dual = self._dual(prices)
            bound = min(bound, dual)
            if total >= bound / _OVER:
                break
            current = self._flows
            for key, flow in current.items():
                old = mean.get(key, 0.0)
                mean[key] = old + (flow - old) * 2.0 / (number + 1)
            self._raise_prices(prices, self._used(current), dual - total)
            if number % FIT_EVERY == 0:
                fitted, fitted_flows = self._fit(mean)
                if fitted > total:
                    total, flows = fitted, fitted_flows
        return bound, flows

    def _dual(self, prices):
        """Return the flow's value less prices, plus the links' worth."""
        total = self.solve({}, prices)
        used = self._used(self._flows)
        return total + sum(
            price * (self._links[pair] - used.get(pair, 0.0))
            for pair, price in prices.items()
        )

    def _raise_prices(self, prices, used, gap):
        over = {p: used.get(p, 0.0) - self._links[p] for p in prices}
        norm = sum(excess * excess for excess in over.values())
        if norm <= 0.0:
            return
        step = max(gap, 0.0) / norm
        for pair, excess in over.items():
            prices[pair] = min(1.0, max(0.0, prices[pair] + step * excess))

    def _fit(self, flows):
        """Return value and flows when shares follow given flows."""
        total = self.solve(self._shares(flows, self._used(flows)))
        return total, self._flows

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
