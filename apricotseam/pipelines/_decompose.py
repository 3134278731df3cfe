"""Cuts a flow over groups of stages into chains of targets."""

from apricotseam.pipelines._chain import Chain
from apricotseam.pipelines._maxflow import EPSILON


def decompose(flows, groups, layers):
    """Return pairs of a path of groups and its flow."""
    left = dict(flows)
    paths = []
    while True:
        path = _path(left, groups, layers)
        if path is None:
            return paths
        amount = min(left[edge] for edge in path)
        for edge in path:
            left[edge] -= amount
        paths.append(([e for e in path if e in groups], amount))


def _path(left, groups, layers):
    """Return edges with flow from layer 0 to the end, or None."""
    least = EPSILON * max(left.values(), default=0.0)
    by_start = {}
    for key, flow in left.items():
        if flow <= least:
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
        path = _walk(("in", 0, zone), by_start, layers, set())
        if path is not None:
            return path
    return None


def _walk(node, by_start, layers, tried):
    if node[0] == "out" and node[1] == layers:
        return []
    if node in tried:
        return None
    tried.add(node)
    following = list(by_start.get(node, ()))
    if node[0] == "out":
        following.insert(0, (None, ("in", *node[1:])))
    for edge, head in following:
        rest = _walk(head, by_start, layers, tried)
        if rest is not None:
            return rest if edge is None else [edge, *rest]
    return None


def expand(model, version, paths, groups):
    """Yield chains of targets; each target takes its share of its group.

    Members of a group are filled one after another, so that the number
    of chains stays under that of paths and targets together.
    """
    queues = {}
    flows = {}
    for path, amount in paths:
        for group in path:
            flows[group] = flows.get(group, 0.0) + amount
    for group, flow in flows.items():
        whole = sum(rate for _, rate in groups[group])
        queues[group] = [
            [stage, rate * flow / whole] for stage, rate in groups[group]
        ]
    least = EPSILON * max(flows.values(), default=0.0)
    for path, amount in paths:
        left = amount
        while left > least:
            heads = [_head(queues[group], least) for group in path]
            if any(head is None for head in heads):
                break
            step = min([left, *(head[1] for head in heads)])
            for head in heads:
                head[1] -= step
            left -= step
            stages = tuple(head[0] for head in heads)
            yield Chain(model, version, stages), step


def _head(queue, least):
    while queue and queue[0][1] <= least:
        queue.pop(0)
    return queue[0] if queue else None
