"""Search of logs for the events that explain a request's outcome."""

import datetime
import json

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Events of targets are included from this long before the request's first
# event until its last one.
LOOKBACK_SECONDS = 10.0


def explain(lines, request_id):
    """Return the log events that concern a request, in order of time.

    These are the events with the request's identifier, and the events of
    the targets it was sent to, from `LOOKBACK_SECONDS` before the request's
    first event until its last one.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of hosts; lines that are not events are
        ignored.
    request_id : str
        Identifier of the request.

    Returns
    -------
    list of dict
        The events as they were logged.

    Examples
    --------
    >>> lines = [
    ...     '{"time": "2026-01-01 00:00:01,000", "event": "target_silent",'
    ...     ' "target": "i-1"}',
    ...     '{"time": "2026-01-01 00:00:02,000", "event": "request_done",'
    ...     ' "request": "r", "sends": ["i-1:silent"]}',
    ... ]
    >>> [event["event"] for event in explain(lines, "r")]
    ['target_silent', 'request_done']
    """
    events = [event for event in map(_parse, lines) if event is not None]
    own = [event for event in events if event.get("request") == request_id]
    if not own:
        return []
    names = {name for event in own for name in _targets(event)}
    end = max(_seconds(event) for event in own)
    start = min(_seconds(event) for event in own) - LOOKBACK_SECONDS
    found = [
        event
        for event in events
        if event.get("request") == request_id
        or (
            names.intersection((event.get("target"), event.get("address")))
            and "request" not in event
            and start <= _seconds(event) <= end
        )
    ]
    return sorted(found, key=_seconds)


def _parse(line):
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
        _seconds(event)
    except (ValueError, KeyError, TypeError):
        return None
    return event


def _seconds(event):
    parsed = datetime.datetime.strptime(event["time"], TIME_FORMAT)
    return parsed.replace(tzinfo=datetime.timezone.utc).timestamp()


def _targets(event):
    """Return the names of the targets that a request was sent to.

    Each entry of ``sends`` holds the identity of a target, or the addresses
    of a chain of targets with their layers, followed by a result.
    """
    names = []
    for send in event.get("sends", []):
        target = send.rpartition(":")[0]
        names.extend(part.partition("=")[0] for part in target.split(","))
    return names
