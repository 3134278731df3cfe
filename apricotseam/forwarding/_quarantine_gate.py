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

        A call may be admitted as a trial of all its traits that are held
        back, which gets one attempt.
        """
        holds = self._find_holds(call)
        if not holds:
            return None
        for hold in holds:
            self._quarantine.record_held(hold.trait)
        if not await self._acquire_trials(holds):
            return self.refusal(call)
        call.trial_traits = frozenset(hold.trait for hold in holds)
        for hold in holds:
            _LOG.warning(
                "quarantine_trial",
                extra={"trait": hold.trait, "request": call.request_id},
            )
        return None

    def stops(self, call):
        """Return whether no attempt of a call may be started now."""
        if call.trial_traits and call.runs > 0:
            return True
        return bool(self._find_holds(call))

    def refusal(self, call):
        """Return the `Refusal` of a call that no target has run, or None.

        A caller is asked to return only if its request will be tried.
        """
        holds = self._find_holds(call)
        if not holds:
            return None
        trials = [hold.trial_at for hold in holds]
        retry_after = None
        if None not in trials:
            now = asyncio.get_running_loop().time()
            retry_after = max(MIN_RETURN_SECONDS, max(trials) - now)
        return Refusal(cause=HELD_CAUSE, retry_after=retry_after)

    def _find_holds(self, call):
        """Return the holds of a call, but for those that it is to try."""
        holds = self._quarantine.find_holds(call.traits, call.customer)
        return [h for h in holds if h.trait not in call.trial_traits]

    async def _acquire_trials(self, holds):
        """Return whether one request may be sent despite some holds."""
        now = asyncio.get_running_loop().time()
        if any(h.trial_at is None or now < h.trial_at for h in holds):
            return False
        for hold in holds:
            if not await self.trials.acquire_trial(hold.trait):
                return False
        return True
