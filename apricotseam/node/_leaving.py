"""Graceful shutdown, from the stop signal to process exit."""

import asyncio
import logging

_LOG = logging.getLogger(__name__)

# Callers may still use a withdrawn address for up to this long, so the
# process runs at least until then.
MIN_SHUTDOWN_SECONDS = 3.0
# A stream that starts later than this after the signal might not finish
# before the process exits.
MAX_FULL_SERVICE_SECONDS = 2.8
# The same bound as a fraction of the grace period, for short grace periods.
MAX_FULL_SERVICE_FRACTION = 0.35
# The process exits this long before the platform would kill it.
KILL_MARGIN_SECONDS = 0.4
CHECK_PERIOD_SECONDS = 0.05
# Some callers keep addresses for this multiple of the time that they are told.
CACHE_OVERSTAY_FACTOR = 3.0
# The process accepts no connection in this last part of its time, since a
# request on it might be read and not answered.
CLOSING_SECONDS = 0.3
# Requests in progress get their final answers this long before the process
# exits.
ANSWER_SECONDS = 0.15


class GracefulShutdown:
    """Withdraws the host and waits for the requests in progress.

    Parameters
    ----------
    node : Node
        The process to shut down.
    grace_seconds : float
        Time from the signal until the platform kills the process.
    """

    def __init__(self, node, grace_seconds):
        self._node = node
        self._grace_seconds = grace_seconds

    async def run(self):
        """Shut down; return once idle or when the grace period is over."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        deadline = started_at + self._grace_seconds - KILL_MARGIN_SECONDS
        server = self._node.caller_server
        relays = self._node.relay_server
        _LOG.info("stop_requested", extra={"in_progress": server.in_progress})
        _run_step(self._node.withdraw)
        await self._serve_until_idle(started_at, deadline)
        # From here on no request is read that could not be answered.
        server.stop_listening()
        relays.stop_listening()
        await self._wait_until_idle(deadline - ANSWER_SECONDS)
        if self._has_unfinished():
            _LOG.warning(
                "requests_ended", extra={"in_progress": server.in_progress}
            )
            _run_step(self._node.end_requests)
            await self._wait_until_idle(deadline)
        _LOG.info(
            "stopped",
            extra={
                "in_progress": server.in_progress,
                "seconds": round(loop.time() - started_at, 3),
            },
        )

    async def _serve_until_idle(self, started_at, deadline):
        """Serve callers that still use the address of this host.

        Parameters
        ----------
        started_at, deadline : float
            Loop times in seconds of the signal and of the end of the process.
        """
        loop = asyncio.get_running_loop()
        full_service_until = started_at + full_service_seconds(
            self._grace_seconds
        )
        closing_at = deadline - CLOSING_SECONDS
        while loop.time() < closing_at:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            if loop.time() >= full_service_until:
                _run_step(self._node.refuse_unfinishable, closing_at)
            has_stayed = loop.time() >= started_at + MIN_SHUTDOWN_SECONDS
            if has_stayed and not self._has_unfinished():
                return

    async def _wait_until_idle(self, deadline):
        """Wait until all requests are answered, or until a loop time."""
        loop = asyncio.get_running_loop()
        while self._has_unfinished() and loop.time() < deadline:
            await asyncio.sleep(CHECK_PERIOD_SECONDS)
            self._node.caller_server.close_idle()
            self._node.relay_server.close_idle()

    def _has_unfinished(self):
        """Return whether a request of a caller or a host is unanswered."""
        node = self._node
        return (
            node.caller_server.has_unfinished
            or node.relay_server.has_unfinished
        )


def _run_step(step, *arguments):
    """Run one step of the shutdown; the shutdown goes on if it fails."""
    try:
        step(*arguments)
    except Exception:
        _LOG.exception("shutdown_step_failed", extra={"step": str(step)})


def full_service_seconds(grace_seconds):
    """Return how long after the signal every new request is still accepted.

    Later requests are accepted only if they should finish in time.

    Parameters
    ----------
    grace_seconds : float
        Time from the signal until the platform kills the process.

    Examples
    --------
    >>> full_service_seconds(4.0)
    1.4
    """
    return min(
        MAX_FULL_SERVICE_SECONDS, MAX_FULL_SERVICE_FRACTION * grace_seconds
    )


def address_lifetime_seconds(bounds):
    """Return for how long callers may cache the address of a host.

    An address that was given out just before the stop signal lapses, also
    for callers that keep it longer than they are told, while the host still
    accepts every request.

    Parameters
    ----------
    bounds : NodeBounds
        ``address_valid_seconds`` is the longest time to return.

    Examples
    --------
    >>> from apricotseam.node._settings import NodeBounds
    >>> bounds = NodeBounds(address_valid_seconds=5.0, stop_seconds=8.0)
    >>> round(address_lifetime_seconds(bounds), 2)
    0.93
    """
    return min(
        bounds.address_valid_seconds,
        full_service_seconds(bounds.stop_seconds) / CACHE_OVERSTAY_FACTOR,
    )
