"""Addresses that no other process on the machine takes."""

import itertools
import random

FIRST_PORT = 20000


class Addresses:
    """Hands out loopback addresses of one run.

    Each run has an IP address of its own in 127.0.0.0/8: a port of a host
    that is down is then never taken by another run or by the near end of
    a connection.
    """

    def __init__(self):
        source = random.SystemRandom()
        parts = [str(source.randrange(1, 255)) for _ in range(3)]
        self._ip = ".".join(["127", *parts])
        self._ports = itertools.count(FIRST_PORT)

    def take(self):
        """Return an ``ip:port`` that was not handed out before."""
        return f"{self._ip}:{next(self._ports)}"
