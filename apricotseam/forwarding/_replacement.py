"""Reservation of a second attempt while the first one is silent."""

import asyncio


class ReplacementReserver:
    """Reserves a second attempt of a call beside a silent one.

    A silent target may still answer, so its attempt goes on until another
    one has answered. A second attempt is started only if the route allows
    another run, a target or chain has capacity, and the budget has a retry.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context

    def reserve(self, call, silent):
        """Return the `Choice` of a second attempt, or None.

        Parameters
        ----------
        call : Call
            The request. Its attempts are counted up if there is a choice.
        silent : collection of tuple
            Incarnations of the targets that the choice must not use. They
            count as failed for this call if there is a choice.
        """
        if not call.may_run_again:
            return None
        if self._context.quarantine_gate.stops(call):
            return None
        added = set(silent) - call.failed_targets
        call.failed_targets |= added
        choice = self._choose(call)
        if choice is None or not self._acquire_retry(call, silent):
            call.failed_targets -= added
            return None
        call.attempts += 1
        return choice

    def _choose(self, call):
        now = asyncio.get_running_loop().time()
        target_selector = self._context.target_selector
        if call.service.engine is not None:
            return target_selector.choose_chain(call, now, True)
        choice = target_selector.choose_target(call, now)
        if choice is None or choice.head.health.is_suspect(now):
            return None
        return choice

    def _acquire_retry(self, call, silent):
        """Take a retry, as for a failure if a target has surely crashed."""
        now = asyncio.get_running_loop().time()
        retry_budget = self._context.retry_budget
        if any(self._is_lost(incarnation, now) for incarnation in silent):
            return retry_budget.try_acquire(call.service.name, now)
        return retry_budget.try_acquire_early(call.service.name, now)

    def _is_lost(self, incarnation, now):
        """Return whether a process has surely ended."""
        target = self._context.fleet.get(incarnation[0])
        if target is None:
            return False
        if target.incarnation != incarnation:
            return True
        return target.health.is_lost(now)
