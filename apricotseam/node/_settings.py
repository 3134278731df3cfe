"""Settings of one router process."""

import msgspec
import yaml

from apricotseam.decoding import Amount
from apricotseam.errors import InvalidFileError
from apricotseam.http1 import ClientBounds
from apricotseam.routes import LoadPolicy
from apricotseam.routes import Switch

# The C loader is about ten times faster; PyYAML may be built without it.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

# Variable that states the link of the machine, which the settings need not.
LINK_VARIABLE = "APRICOTSEAM_LINK_MBPS"
SWITCH_BY_TRUTH = {True: Switch.ON, False: Switch.OFF}


class NodeBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of one process; times in seconds.

    ``address_valid_seconds`` is how long callers may cache host addresses,
    ``stop_seconds`` the time from the stop signal until the platform kills the
    process. The ``retry_*`` fields bound retries to a fraction of the requests
    in a sliding window plus a constant number.
    """

    address_valid_seconds: float = 2.0
    stop_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_seconds: float = 10.0


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process; addresses are ``ip:port``.

    At ``relay_address`` it takes requests of hosts that are cut off from the
    targets. If it is empty, this host takes none and passes none on. ``load``
    says which decisions under load are used, ``clients`` what clients may
    make the process hold. ``link_mbps`` is the bandwidth of the host's link in
    10**6 bits a second, None if it is not known.
    """

    host: str
    zone: str
    region: str = ""
    callers_address: str
    readiness_address: str
    directory_address: str
    peers_address: str
    relay_address: str = ""
    metrics_address: str = ""
    store_address: str
    link_mbps: Amount | None = None
    seeds: list[str] = []
    bounds: NodeBounds = NodeBounds()
    load: LoadPolicy = LoadPolicy()
    clients: ClientBounds = ClientBounds()


def load_node_settings(text, source="<settings>"):
    """Return the settings of one process; unknown fields are ignored.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        Name of the file, for error messages.

    Raises
    ------
    InvalidFileError
        If the text is not YAML, or a field is missing or invalid.
    """
    try:
        data = _with_named_switches(yaml.load(text, Loader=_Loader))
        return msgspec.convert(data, NodeSettings, strict=False)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise InvalidFileError(
            f"{source}: {error}", "correct the settings and start again"
        ) from None


def with_link(settings, environment):
    """Return settings with the bandwidth that the environment states.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process; what they state goes first.
    environment : mapping of str to str
        The process's environment.

    Raises
    ------
    InvalidFileError
        If the variable is no amount.

    Examples
    --------
    >>> settings = load_node_settings(
    ...     "{host: h, zone: z, callers_address: a, readiness_address: a,"
    ...     " directory_address: a, peers_address: a, store_address: a}"
    ... )
    >>> with_link(settings, {"APRICOTSEAM_LINK_MBPS": "7.0"}).link_mbps
    7.0
    """
    text = environment.get(LINK_VARIABLE)
    if settings.link_mbps is not None or not text:
        return settings
    try:
        link_mbps = msgspec.convert(text, Amount, strict=False)
    except msgspec.ValidationError as error:
        raise InvalidFileError(
            f"{LINK_VARIABLE}={text!r}: {error}",
            "state the bandwidth of the link in 10**6 bits a second",
        ) from None
    return msgspec.structs.replace(settings, link_mbps=link_mbps)


def _with_named_switches(data):
    """Return settings whose switches are words.

    YAML reads ``on`` and ``off`` without quotes as truth values.
    """
    if not isinstance(data, dict) or not isinstance(data.get("load"), dict):
        return data
    switches = {
        name: SWITCH_BY_TRUTH[value] if isinstance(value, bool) else value
        for name, value in data["load"].items()
    }
    return {**data, "load": switches}


def is_node_settings(text):
    """Return whether a text holds settings of a `Node`.

    Unlike the settings of an `EntryHost`, they have ``store_address``.

    Examples
    --------
    >>> is_node_settings("store_address: 10.0.0.1:80")
    True
    >>> is_node_settings("a: 1")
    False
    """
    try:
        data = yaml.load(text, Loader=_Loader)
    except yaml.YAMLError:
        return False
    return isinstance(data, dict) and "store_address" in data
