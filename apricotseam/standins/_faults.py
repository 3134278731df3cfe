"""Faults that can be injected into every stand-in."""

import threading
import time

import msgspec


class FaultOrder(msgspec.Struct, kw_only=True):
    """Faults to inject; a field that is left out keeps its present value.

    ``delay_seconds`` is added to every call. ``drop_answers`` is the number
    of further calls that take effect but get no response, and ``drop_path``
    the prefix of their paths. ``refuse_calls`` is the number of further calls
    that are refused without any effect. While ``paused`` is set, calls wait;
    while ``down`` is set, all calls are refused.
    """

    delay_seconds: float | None = None
    drop_answers: int | None = None
    drop_path: str | None = None
    refuse_calls: int | None = None
    paused: bool | None = None
    down: bool | None = None


class DroppedAnswer(Exception):
    """The call took effect, but its connection was closed."""


class Faults:
    """Faults currently injected into one stand-in."""

    __slots__ = (
        "_changed",
        "_delay_seconds",
        "_down",
        "_drop_answers",
        "_drop_path",
        "_paused",
        "_refuse_calls",
    )

    def __init__(self):
        self._changed = threading.Condition()
        self._delay_seconds = 0.0
        self._drop_answers = 0
        self._drop_path = ""
        self._refuse_calls = 0
        self._paused = False
        self._down = False

    def set(self, order):
        """Apply the fields of a `FaultOrder` that are given."""
        with self._changed:
            for name in order.__struct_fields__:
                value = getattr(order, name)
                if value is not None:
                    setattr(self, "_" + name, value)
            self._changed.notify_all()

    def apply_before_call(self):
        """Wait while paused, then for the delay.

        Returns
        -------
        bool
            Whether to refuse the call.
        """
        with self._changed:
            while self._paused:
                self._changed.wait()
            delay = self._delay_seconds
            refuse = self._down
            if not refuse and self._refuse_calls > 0:
                self._refuse_calls -= 1
                refuse = True
        if delay:
            time.sleep(delay)
        return refuse

    def consume_drop(self, path):
        """Return whether to drop the response to a call.

        Each dropped response reduces the number of those still to drop.

        Parameters
        ----------
        path : str
            Path of the call.
        """
        with self._changed:
            if self._drop_answers <= 0 or not path.startswith(self._drop_path):
                return False
            self._drop_answers -= 1
            return True
