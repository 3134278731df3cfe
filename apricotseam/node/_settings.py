"""Settings of one process."""

import msgspec
import yaml

from apricotseam.errors import InvalidFileError

# The parser written in C is some ten times faster; it may be missing.
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class NodeBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of one process; times in seconds."""

    address_valid_seconds: float = 2.0
    stop_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_seconds: float = 10.0


class NodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one process; addresses are ``ip:port``."""

    host: str
    zone: str
    region: str = ""
    callers_address: str
    readiness_address: str
    directory_address: str
    peers_address: str
    metrics_address: str = ""
    store_address: str
    seeds: list[str] = []
    bounds: NodeBounds = NodeBounds()


def load_node_settings(text, source="<settings>"):
    """Return the settings of one process; unknown fields are ignored.

    Parameters
    ----------
    text : str
        The YAML text.
    source : str
        Name of the file for messages.

    Raises
    ------
    InvalidFileError
        If a field is missing or has a wrong value.
    """
    try:
        data = yaml.load(text, Loader=_Loader)
        return msgspec.convert(data, NodeSettings, strict=False)
    except (yaml.YAMLError, msgspec.ValidationError) as error:
        raise InvalidFileError(
            f"{source}: {error}", "correct the settings and start again"
        ) from None


def is_node_settings(text):
    """Return whether settings are of a host on the users' platform.

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
