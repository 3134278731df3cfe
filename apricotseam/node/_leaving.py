"""A planned stop, from the signal to the end of the process."""

import asyncio
import logging

_LOG = logging.getLogger(__name__)

# Callers keep addresses this long at most after they were withdrawn.
LINGER_SECONDS = 3.0
# A stream that comes later than this might not end before the process.
MAX_TAKING_SECONDS = 2.8
MAX_TAKING_SHARE = 0.35
# Kept free at the end, so that the platform need not kill the process.
END_MARGIN_SECONDS = 0.4
CHECK_SECONDS = 0.05


class Departure:
    """Withdraws the host, ends what is in progress, then stops.

    Parameters
    ----------
    node : Node
        The process.
    seconds : float
        Time from the signal until the platform kills the process.
    """

    def __init__(self, node, seconds):
        self._node = node
        self._seconds = seconds
        self.is_under_way = False

    async def run(self):
        """Leave; returns when nothing is in progress or time is up."""
        self.is_under_way = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        end = began + self._seconds - END_MARGIN_SECONDS
        _LOG.info(
            "stop_requested",
            extra={"in_progress": self._node.callers.in_progress},
        )
        self._node.withdraw()
        while loop.time() < end:
            await asyncio.sleep(CHECK_SECONDS)
            elapsed = loop.time() - began
            if elapsed >= refuse_after(self._seconds):
                self._node.refuse_late(end)
            is_idle = self._node.callers.in_progress == 0
            if is_idle and elapsed >= LINGER_SECONDS:
                break
        _LOG.info(
            "stopped",
            extra={
                "in_progress": self._node.callers.in_progress,
                "seconds": round(loop.time() - began, 3),
            },
        )


def refuse_after(seconds):
    """Return how long after the signal all new requests are still taken.

    Parameters
    ----------
    seconds : float
        Time from the signal until the platform kills the process.

    Examples
    --------
    >>> refuse_after(4.0)
    1.4
    """
    return min(MAX_TAKING_SECONDS, MAX_TAKING_SHARE * seconds)
