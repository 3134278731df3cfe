"""Free loopback ports for stand-ins, demonstrations and tests."""

import itertools
import os
import socket

# Below the range of ephemeral ports, which outgoing connections use.
FIRST_PORT = 20_000
LAST_PORT = 32_000
# Processes with consecutive IDs start 61 ports apart.
_ports = itertools.count(os.getpid() * 61)


def free_address():
    """Return a loopback address with a port that is currently free.

    Consecutive calls in a process return different ports. No outgoing
    connection can take the port before the caller binds it.
    """
    while True:
        port = FIRST_PORT + next(_ports) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
