"""Cheapest chain through sampled stages, layer boundary by boundary."""


def cheapest_chain(stages, layers, stage_cost, distance, zone):
    """Return the stages of the cheapest chain, or None.

    A dynamic programme over layer boundaries: the cost grows with the
    pairs of stages that meet at a boundary, not with the chains.

    Parameters
    ----------
    stages : list of Stage
        Candidates; each holds a contiguous range.
    layers : int
        Number of layers of the model.
    stage_cost : callable
        Cost of a stage in seconds.
    distance : callable
        Seconds one way between two availability zones.
    zone : str
        Availability zone of this host.

    Returns
    -------
    tuple of Stage or None
    """
    ending = {}
    for stage in sorted(stages, key=lambda s: s.first):
        before = _cheapest_start(stage, ending, distance, zone)
        if before is None:
            continue
        cost, path = before
        cost += stage_cost(stage)
        reached = ending.setdefault(stage.last + 1, [])
        reached.append((cost, (*path, stage)))
    complete = [
        (cost + distance(path[-1].availability_zone, zone), path)
        for cost, path in ending.get(layers, [])
    ]
    if not complete:
        return None
    return min(complete, key=lambda pair: pair[0])[1]


def _cheapest_start(stage, ending, distance, zone):
    if stage.first == 0:
        return distance(zone, stage.availability_zone), ()
    best = None
    for cost, path in ending.get(stage.first, []):
        cost += distance(path[-1].availability_zone, stage.availability_zone)
        if best is None or cost < best[0]:
            best = (cost, path)
    return best
