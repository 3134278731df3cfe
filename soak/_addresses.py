"""Allocation of loopback addresses that no concurrent run uses."""

import itertools
import random
import socket

IP = "127.0.0.1"
# The range lies below Linux's default ephemeral ports (32768 and above), so
# that outgoing connections do not take its ports.
FIRST_PORT = 10000
LAST_PORT = 32000
PORTS_PER_RUN = 100


class AddressAllocator:
    """Allocates the loopback addresses of one run from a block of ports.

    Listening on the first port reserves the block, so that no other run
    takes the port of a host that is down. Nor does an outgoing connection,
    as the block lies below the ephemeral ports.
    """

    def __init__(self):
        self._reservation = _reserve_block()
        first = self._reservation.getsockname()[1] + 1
        self._ports = itertools.count(first)

    def allocate(self):
        """Return an ``ip:port`` that was not returned before."""
        return f"{IP}:{next(self._ports)}"

    def release(self):
        """Release the block for other runs."""
        self._reservation.close()


def _reserve_block():
    """Return a socket that listens on the first port of a free block."""
    first_ports = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_RUN))
    random.SystemRandom().shuffle(first_ports)
    for port in first_ports:
        reservation = socket.socket()
        try:
            reservation.bind((IP, port))
            reservation.listen()
        except OSError:
            # Another run has reserved this block.
            reservation.close()
            continue
        return reservation
    raise OSError(f"no block of {PORTS_PER_RUN} free ports on {IP}")
