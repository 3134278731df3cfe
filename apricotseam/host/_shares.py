"""Supervised component that exchanges shares of customers' limits."""

import logging

from apricotseam.admission import EXCHANGE_SECONDS
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)


class SharesChild(Child):
    """Reports active customers' demand to the hosts that own their limits.

    Parameters
    ----------
    loop : ControlLoop
        Event loop that runs the exchange.
    limits : SharedLimits
        This host's shares of the limits.
    """

    name = "shares"

    def __init__(self, loop, limits):
        self._loop = loop
        self._limits = limits

    def run(self, stopping):
        """Exchange periodically until told to stop."""
        while not stopping.wait(EXCHANGE_SECONDS):
            try:
                self._loop.run(self._limits.exchange(), EXCHANGE_SECONDS * 2)
            except TimeoutError:
                _LOG.warning("shares_not_exchanged")
