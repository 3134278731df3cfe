"""Free loopback ports for stand-ins, demonstrations and tests."""

import itertools
import os
import socket

# Below the range that outgoing connections take their ports from.
FIRST_PORT = 20_000
LAST_PORT = 32_000
_ports = itertools.count(os.getpid() * 61)


def free_address():
    """Return a loopback address whose port is free now.

    Each call takes another port, and none that an outgoing connection
    could take before the address is used.
    """
    while True:
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
