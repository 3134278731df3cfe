"""Keeps requests that would end targets from reaching any."""

import abc
import asyncio
import logging

from apricotseam.forwarding._answering import Refusal

_LOG = logging.getLogger(__name__)

HELD_CAUSE = "quarantined"
# Callers that ask for the next trial return at most this often.
MIN_RETURN_SECONDS = 1.0


class Trials(abc.ABC):
    """Grants trials of a trait, so that all hosts together make few."""

    @abc.abstractmethod
    async def acquire_trial(self, trait):
        """Return whether one request with a trait may be sent now.

        Parameters
        ----------
        trait : str
            Trait that is held back.
        """


class QuarantineGate:
    """Asks the quarantine before a request is sent to a target.

    Parameters
    ----------
    quarantine : Quarantine
        Traits that are held back.
    """

    def __init__(self, quarantine):
        self._quarantine = quarantine
        # `Trials`, set before the first request is accepted.
        self.trials = None

    async def admit(self, call):
        """Return the `Refusal` of a call that is held back, else None.

        A call may be admitted as a trial, which gets one attempt.
        """
        hold = self._find_hold(call)
        if hold is None:
            return None
        self._quarantine.record_held(hold.trait)
        if await self._acquire_trial(hold):
            call.is_trial = True
            _LOG.warning(
                "quarantine_trial",
                extra={"trait": hold.trait, "request": call.request_id},
            )
            return None
        return self.refusal(call)

    def stops(self, call):
        """Return whether no attempt of a call may be started now."""
        if call.is_trial:
            return call.runs > 0
        return self._find_hold(call) is not None

    def refusal(self, call):
        """Return the `Refusal` of a call that no target has run, or None.

        A caller is asked to return only if its request will be tried.
        """
        hold = None if call.is_trial else self._find_hold(call)
        if hold is None:
            return None
        retry_after = None
        if hold.trial_at is not None:
            now = asyncio.get_running_loop().time()
            retry_after = max(MIN_RETURN_SECONDS, hold.trial_at - now)
        return Refusal(cause=HELD_CAUSE, retry_after=retry_after)

    def _find_hold(self, call):
        return self._quarantine.find_hold(call.traits, call.customer)

    async def _acquire_trial(self, hold):
        now = asyncio.get_running_loop().time()
        if hold.trial_at is None or now < hold.trial_at:
            return False
        return await self.trials.acquire_trial(hold.trait)
