"""Waiting, on a request's thread and on the control loop."""

import abc
import asyncio
import time


class Waiter(abc.ABC):
    """Waits a number of seconds."""

    @abc.abstractmethod
    def wait(self, seconds):
        """Wait on a request's thread."""

    @abc.abstractmethod
    async def hold(self, seconds):
        """Wait on the control loop without blocking it."""


class SystemWaiter(Waiter):
    """Waiter of the operating system."""

    def wait(self, seconds):
        """Wait on a request's thread."""
        time.sleep(seconds)

    async def hold(self, seconds):
        """Wait on the control loop without blocking it."""
        await asyncio.sleep(seconds)
