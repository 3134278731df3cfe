"""Bound on what the answers of all servers make a process hold."""

import logging

_LOG = logging.getLogger(__name__)

MAX_HELD_BYTES = 16 << 20
# Connections that hold less are not counted.
MIN_COUNTED_BYTES = 32 << 10


class AnswerBudget:
    """Gives up the answers that hold the most once all hold too much.

    A server may send without end, in many answers at once. Those of other
    servers go on.

    Parameters
    ----------
    max_bytes : int
        Bytes that all answers under way may hold.

    Examples
    --------
    >>> class Answer:
    ...     address = "10.0.0.1:80"
    ...     is_given_up = False
    ...     def give_up(self):
    ...         self.is_given_up = True
    >>> large, small = Answer(), Answer()
    >>> budget = AnswerBudget(100_000)
    >>> budget.record(large, 70_000)
    >>> budget.record(small, 40_000)
    >>> large.is_given_up, small.is_given_up, budget.held_bytes
    (True, False, 40000)
    """

    def __init__(self, max_bytes=MAX_HELD_BYTES):
        self._max_bytes = max_bytes
        # Bytes held by connection.
        self._held = {}
        self._total = 0

    @property
    def held_bytes(self):
        """Bytes that the answers hold together."""
        return self._total

    def record(self, connection, held_bytes):
        """Record how much the answer on a connection holds at present.

        Parameters
        ----------
        connection : Connection
            The connection; its method ``give_up`` is called if its answer
            has to go.
        held_bytes : int
            Bytes that were received and not passed on.
        """
        counted = held_bytes if held_bytes >= MIN_COUNTED_BYTES else 0
        if not counted and connection not in self._held:
            return
        self._total += counted - self._held.pop(connection, 0)
        if counted:
            self._held[connection] = counted
        while self._total > self._max_bytes:
            self._give_up_largest()

    def _give_up_largest(self):
        largest = max(self._held, key=self._held.get)
        held_bytes = self._held.pop(largest)
        _LOG.warning(
            "answer_given_up",
            extra={
                "address": largest.address,
                "held_bytes": held_bytes,
                "total_bytes": self._total,
            },
        )
        self._total -= held_bytes
        largest.give_up()
