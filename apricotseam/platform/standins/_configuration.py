"""Sample configurations as operators write them."""

HOST = "h.example"
KEY = "secret"
CUSTOMER = "c"
LAYERS = 4
ENGINE_SERVICE = "llm"
PLAIN_SERVICE = "plain"
ACCELERATOR_KIND = "k"

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
    "Kinds": [{"Name": ACCELERATOR_KIND, "SizeMb": 40.0, "pace": 1.0}],
}


def sample_route(prefix, kind, service, **fields):
    """Return a route as an operator writes it.

    Parameters
    ----------
    prefix : str
        Path prefix; the name of the route is derived from it.
    kind : str
        ``safe``, ``unsafe`` or ``streaming``.
    service : str
        Name of the service.
    **fields
        Fields to add or replace, by their wire names.
    """
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


def sample_configuration(version=1, routes=()):
    """Return a configuration with an engine service and a plain service.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : iterable of dict
        Routes to add to the default ones.
    """
    return {
        "Version": version,
        "Routes": [
            sample_route(
                "/chat/",
                "streaming",
                ENGINE_SERVICE,
                Resumable=True,
                Sticky=True,
            ),
            sample_route("/feed/", "streaming", PLAIN_SERVICE, Resumable=True),
            sample_route("/once/", "unsafe", PLAIN_SERVICE, MaxAttempts=1),
            sample_route("/read/", "safe", PLAIN_SERVICE),
            *routes,
        ],
        "Services": [
            {"Name": ENGINE_SERVICE, "Engine": ENGINE},
            {"Name": PLAIN_SERVICE},
        ],
        "Tenants": [{"Name": CUSTOMER, "ApiKeys": [KEY]}],
    }
