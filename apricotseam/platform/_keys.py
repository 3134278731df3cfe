"""Keys in the platform's store."""

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
OWN_PREFIX = "apricotseam/"


def target_identity(key):
    """Return the identity of the target that a key belongs to."""
    return key.removeprefix(TARGETS_PREFIX)
