"""Child that exchanges shares of customers' limits with other hosts."""

import logging

from apricotseam.admission import EXCHANGE_SECONDS
from apricotseam.supervision import Child

_LOG = logging.getLogger(__name__)


class SharesChild(Child):
    """Reports the demand of active customers to their owners.

    Parameters
    ----------
    loop : ControlLoop
        Loop that carries the messages.
    limits : SharedLimits
        The limits of this host.
    """

    name = "shares"

    def __init__(self, loop, limits):
        self._loop = loop
        self._limits = limits

    def run(self, stopping):
        """Exchange in turns until told to stop."""
        while not stopping.wait(EXCHANGE_SECONDS):
            try:
                self._loop.run(self._limits.exchange(), EXCHANGE_SECONDS * 2)
            except TimeoutError:
                _LOG.warning("shares_not_exchanged")
