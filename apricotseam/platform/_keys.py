"""Keys in the platform's key-value store."""

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
# Prefix of the keys that the router's hosts write.
ROUTER_PREFIX = "apricotseam/"


def target_identity(key):
    """Return the identity of the target whose entry has this key."""
    return key.removeprefix(TARGETS_PREFIX)
