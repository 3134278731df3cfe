"""A supervisor: starts children, restarts them within bounds, ends them."""

import abc
import collections
import logging
import threading
import time

_LOG = logging.getLogger(__name__)

MAX_RESTARTS = 5
RESTART_WINDOW_SECONDS = 60.0
RESTART_DELAY_SECONDS = 0.2
# What each child still gets when another one used up the time.
MIN_STOP_SECONDS = 0.5


class Child(abc.ABC):
    """A part of the process that a supervisor starts and ends."""

    name = "child"

    def start(self):
        """Prepare the child; called once before the first `run`."""

    @abc.abstractmethod
    def run(self, stopping):
        """Work until the event `stopping` is set; may raise to fail."""

    def stop(self):
        """Release what `start` took; called once after `run` ended."""


class Supervisor:
    """Runs children in order and ends them in the opposite order.

    Parameters
    ----------
    name : str
        Name in the log.
    children : list of Child
        Started first to last.
    on_failure : callable
        Called once with the child's name when it failed too often.
    """

    def __init__(self, name, children, on_failure):
        self._name = name
        self._on_failure = on_failure
        self._runs = [_Run(child, self._give_up) for child in children]
        self._given_up = threading.Event()

    def start(self):
        """Start all children, first to last."""
        for run in self._runs:
            run.start()

    def stop(self, deadline):
        """End all children, last to first.

        Parameters
        ----------
        deadline : float
            Monotonic time past which a child is left behind.

        Returns
        -------
        list of str
            Names of children that did not end in time.
        """
        left = []
        for run in reversed(self._runs):
            if not run.stop(deadline):
                left.append(run.name)
                _LOG.error("child_left_behind", extra={"child": run.name})
        return left

    def _give_up(self, name):
        if not self._given_up.is_set():
            self._given_up.set()
            self._on_failure(name)


class _Run:
    """One child in its thread, with the times of its restarts."""

    __slots__ = ("_child", "_give_up", "_restarts", "_stopping", "_thread")

    def __init__(self, child, give_up):
        self._child = child
        self._give_up = give_up
        self._restarts = collections.deque()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._loop, name=child.name, daemon=True
        )

    @property
    def name(self):
        """Name of the child."""
        return self._child.name

    def start(self):
        """Start the child and its thread."""
        self._child.start()
        self._thread.start()

    def stop(self, deadline):
        """End the child; return whether it ended by the deadline."""
        self._stopping.set()
        if self._thread.is_alive():
            left = deadline - time.monotonic()
            self._thread.join(max(MIN_STOP_SECONDS, left))
        self._child.stop()
        return not self._thread.is_alive()

    def _loop(self):
        while not self._stopping.is_set():
            try:
                self._child.run(self._stopping)
            except Exception:
                _LOG.exception("child_failed", extra={"child": self.name})
            if self._stopping.is_set():
                return
            if not self._may_restart():
                self._give_up(self.name)
                return
            self._stopping.wait(RESTART_DELAY_SECONDS)

    def _may_restart(self):
        now = time.monotonic()
        while self._restarts and self._restarts[0] <= now:
            self._restarts.popleft()
        self._restarts.append(now + RESTART_WINDOW_SECONDS)
        return len(self._restarts) <= MAX_RESTARTS
