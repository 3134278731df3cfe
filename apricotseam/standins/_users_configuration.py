"""Configurations as the users' operators write them."""

HOST = "h.example"
KEY = "secret"
CUSTOMER = "c"
LAYERS = 4

ENGINE = {
    "Slots": 8,
    "KvTokenBytes": 4000,
    "Stride": 1,
    "Models": [{"Name": "m", "LoadS": 0.1}],
    "step_ms": 1.0,
    "read_per_s": 1e6,
    "usual": {"prompt": 10, "answer": 10},
    "Layers": LAYERS,
    "LayerMb": 10.0,
    "Kinds": [{"Name": "k", "SizeMb": 40.0, "pace": 1.0}],
}


def users_route(prefix, kind, service, **fields):
    """Return a route as the operator writes it."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "Prefix": prefix,
        "RouteKind": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 500,
        "Service": service,
        "MaxAttempts": 2,
        **fields,
    }


def users_configuration(version=1, routes=()):
    """Return a configuration of an engine and a plain service.

    Parameters
    ----------
    version : int
        Its version.
    routes : iterable of dict
        Routes besides the usual ones.
    """
    return {
        "Version": version,
        "Routes": [
            users_route(
                "/chat/", "streaming", "llm", Resumable=True, Sticky=True
            ),
            users_route("/feed/", "streaming", "plain", Resumable=True),
            users_route("/once/", "unsafe", "plain", MaxAttempts=1),
            users_route("/read/", "safe", "plain"),
            *routes,
        ],
        "Services": [{"Name": "llm", "Engine": ENGINE}, {"Name": "plain"}],
        "Tenants": [{"Name": CUSTOMER, "ApiKeys": [KEY]}],
    }


def users_headers(changes=()):
    """Return the headers of a caller, some replaced.

    Parameters
    ----------
    changes : mapping
        Values by name; underscores stand for hyphens.
    """
    values = {
        "Host": HOST,
        "Apricotseam-Request-Id": "r1",
        "Apricotseam-Key": KEY,
        "Apricotseam-Deadline-Ms": "3000",
        "Apricotseam-Token-Count": "10,10",
        "Content-Length": "0",
    }
    for name, value in dict(changes).items():
        values[name.replace("_", "-")] = value
    return [(name.encode(), value.encode()) for name, value in values.items()]
