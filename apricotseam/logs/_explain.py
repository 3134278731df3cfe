"""From a request's id to what decided its fate, by logs alone."""

import datetime
import json

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Events on a target count if they came this long before the request's end.
LOOK_BACK_SECONDS = 10.0


def explain(lines, request_id):
    """Return the events that touch a request, in order of time.

    These are the events with its id, and of the targets that it was sent
    to those that changed what hosts believed of them shortly before.

    Parameters
    ----------
    lines : iterable of str
        Lines of any number of hosts' logs; what is no event is passed over.
    request_id : str
        Identifier of the request.

    Returns
    -------
    list of dict
        The events, each as it was logged.

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
    start = min(_seconds(event) for event in own) - LOOK_BACK_SECONDS
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
    """Return identities and addresses of the targets of a request's sends.

    A send is named by a target's identity or by a chain of addresses.
    """
    names = []
    for send in event.get("sends", []):
        where = send.rpartition(":")[0]
        names.extend(part.partition("=")[0] for part in where.split(","))
    return names
