"""Addresses that no other process on the machine takes."""

import itertools
import random
import socket

IP = "127.0.0.1"
# Below the ports that the near ends of connections get.
FIRST_PORT = 10000
LAST_PORT = 32000
PORTS_A_RUN = 100


class Addresses:
    """Hands out the loopback addresses of one run.

    A run holds a block of ports by listening on the first of them: the
    port of a host that is down is then taken neither by another run nor
    by the near end of a connection.
    """

    def __init__(self):
        self._guard = _guard_block()
        first = self._guard.getsockname()[1] + 1
        self._ports = itertools.count(first)

    def take(self):
        """Return an ``ip:port`` that was not handed out before."""
        return f"{IP}:{next(self._ports)}"

    def release(self):
        """Give the block back."""
        self._guard.close()


def _guard_block():
    """Return a socket that listens on the first port of a free block."""
    blocks = list(range(FIRST_PORT, LAST_PORT, PORTS_A_RUN))
    random.SystemRandom().shuffle(blocks)
    for port in blocks:
        guard = socket.socket()
        try:
            guard.bind((IP, port))
            guard.listen()
        except OSError:
            # Another run holds this block.
            guard.close()
            continue
        return guard
    raise OSError(f"no block of {PORTS_A_RUN} free ports on {IP}")
