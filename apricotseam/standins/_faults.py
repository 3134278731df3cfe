"""Faults that every stand-in can be told to show."""

import threading
import time

import msgspec


class FaultOrder(msgspec.Struct, kw_only=True):
    """What a stand-in is told; each field left out stays as it is.

    ``drop_answers`` is how many of the next calls take effect without an
    answer; ``refuse_calls`` how many are refused before any effect.
    ``drop_path`` is the beginning of the paths whose answers are dropped.
    """

    delay_seconds: float | None = None
    drop_answers: int | None = None
    drop_path: str | None = None
    refuse_calls: int | None = None
    paused: bool | None = None
    down: bool | None = None


class DroppedAnswer(Exception):
    """The call took effect and its connection is cut."""


class Faults:
    """Faults in force at one stand-in."""

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
        """Take a `FaultOrder`."""
        with self._changed:
            for name in order.__struct_fields__:
                value = getattr(order, name)
                if value is not None:
                    setattr(self, "_" + name, value)
            self._changed.notify_all()

    def before(self):
        """Wait out delay and pause; return whether to refuse the call."""
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

    def take_drop(self, path):
        """Return whether the answer to a call of a path is to be dropped."""
        with self._changed:
            if self._drop_answers <= 0 or not path.startswith(self._drop_path):
                return False
            self._drop_answers -= 1
            return True
