"""Search for the cheapest chain through sampled stages."""


def cheapest_chain(stages, layers, stage_cost, distance, zone):
    """Return the stages of the cheapest chain, or None.

    Uses dynamic programming over layer boundaries: the running time grows
    with the pairs of stages that meet at a boundary, not with the number
    of chains. The cost includes the latency from this host to the first
    stage and from the last stage back.

    Parameters
    ----------
    stages : list of Stage
        Candidates; each holds a contiguous range of layers.
    layers : int
        Number of layers of the model.
    stage_cost : callable
        Returns the cost of a stage in seconds.
    distance : callable
        Returns the one-way latency between two availability zones in
        seconds.
    zone : str
        Availability zone of this host.

    Returns
    -------
    tuple of Stage or None
    """
    paths_by_end = {}
    for stage in sorted(stages, key=lambda s: s.first):
        predecessor = _cheapest_predecessor(
            stage, paths_by_end, distance, zone
        )
        if predecessor is None:
            continue
        cost, path = predecessor
        cost += stage_cost(stage)
        paths = paths_by_end.setdefault(stage.last + 1, [])
        paths.append((cost, (*path, stage)))
    complete = [
        (cost + distance(path[-1].availability_zone, zone), path)
        for cost, path in paths_by_end.get(layers, [])
    ]
    if not complete:
        return None
    return min(complete, key=lambda pair: pair[0])[1]


def _cheapest_predecessor(stage, paths_by_end, distance, zone):
    """Return cost and stages of the cheapest path to a stage, or None.

    The cost is in seconds and includes the latency up to the stage.
    """
    if stage.first == 0:
        return distance(zone, stage.availability_zone), ()
    best = None
    for cost, path in paths_by_end.get(stage.first, []):
        cost += distance(path[-1].availability_zone, stage.availability_zone)
        if best is None or cost < best[0]:
            best = (cost, path)
    return best
