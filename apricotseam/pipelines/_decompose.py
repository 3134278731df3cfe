"""Decomposes a flow over groups of stages into chains of targets."""

from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._maxflow import EPSILON


def decompose_flow(flows, groups, layers):
    """Decompose a flow into paths over all layers.

    Parameters
    ----------
    flows : dict of tuple to float
        Flow in tokens per second of each group ``(zone, first, last)`` and
        of each crossing ``(boundary, origin zone, destination zone)``.
    groups : dict of tuple to list of (Stage, float)
        Stages of each group with their rates in tokens per second.
    layers : int
        Number of layers of the model.

    Returns
    -------
    list of (list of tuple, float)
        Groups of each path in layer order and the flow of the path in
        tokens per second.
    """
    remaining = dict(flows)
    paths = []
    while True:
        path = _find_path(remaining, groups, layers)
        if path is None:
            return paths
        amount = min(remaining[edge] for edge in path)
        for edge in path:
            remaining[edge] -= amount
        paths.append(([e for e in path if e in groups], amount))


def _find_path(remaining, groups, layers):
    """Return the edges of a path with flow over all layers, or None."""
    threshold = EPSILON * max(remaining.values(), default=0.0)
    by_start = {}
    for key, flow in remaining.items():
        if flow <= threshold:
            continue
        if key in groups:
            zone, first, last = key
            by_start.setdefault(("in", first, zone), []).append(
                (key, ("out", last + 1, zone))
            )
        else:
            boundary, zone, other = key
            by_start.setdefault(("out", boundary, zone), []).append(
                (key, ("in", boundary, other))
            )
    zones = sorted({zone for zone, _, _ in groups})
    for zone in zones:
        path = _find_path_from(("in", 0, zone), by_start, layers, set())
        if path is not None:
            return path
    return None


def _find_path_from(node, by_start, layers, visited):
    if node[0] == "out" and node[1] == layers:
        return []
    if node in visited:
        return None
    visited.add(node)
    next_edges = list(by_start.get(node, ()))
    if node[0] == "out":
        next_edges.insert(0, (None, ("in", *node[1:])))
    for edge, head in next_edges:
        rest = _find_path_from(head, by_start, layers, visited)
        if rest is not None:
            return rest if edge is None else [edge, *rest]
    return None


def assign_targets(model, version, paths, groups):
    """Yield chains of targets and their flow from paths of groups.

    A target carries the flow of its group in proportion to its rate.
    Members of a group are filled one after another, so that there are
    fewer chains than paths and targets together.

    Parameters
    ----------
    model, version : str
        Name and version of the model.
    paths : list of (list of tuple, float)
        Result of `decompose_flow`.
    groups : dict of tuple to list of (Stage, float)
        Stages of each group with their rates in tokens per second.

    Yields
    ------
    (Chain, float)
        A chain and its flow in tokens per second.
    """
    queues = {}
    flows = {}
    for path, amount in paths:
        for group in path:
            flows[group] = flows.get(group, 0.0) + amount
    for group, flow in flows.items():
        group_rate = sum(rate for _, rate in groups[group])
        queues[group] = [
            [stage, rate * flow / group_rate] for stage, rate in groups[group]
        ]
    threshold = EPSILON * max(flows.values(), default=0.0)
    for path, amount in paths:
        remaining = amount
        while remaining > threshold:
            members = [
                _first_unfilled(queues[group], threshold) for group in path
            ]
            if any(member is None for member in members):
                break
            portion = min([remaining, *(member[1] for member in members)])
            for member in members:
                member[1] -= portion
            remaining -= portion
            stages = tuple(member[0] for member in members)
            yield Chain(model, version, stages), portion


def _first_unfilled(queue, threshold):
    while queue and queue[0][1] <= threshold:
        queue.pop(0)
    return queue[0] if queue else None
