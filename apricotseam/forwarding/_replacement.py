"""Replacement of an attempt whose targets are silent or slow."""

import asyncio


class ReplacementReserver:
    """Secures the next attempt of a call before the current one is left.

    A silent target may still answer. Its attempt is therefore given up only
    for one that can take its place: the route allows another run, a target
    or chain has capacity, and the retry is taken from the budget.

    Parameters
    ----------
    context : ForwardingContext
        State shared by all requests.
    """

    def __init__(self, context):
        self._context = context

    def reserve(self, call, left):
        """Reserve the next attempt of a call; return whether there is one.

        Parameters
        ----------
        call : Call
            The request; its `Call.reserved_choice` is set.
        left : collection of str
            Identities of the targets to be left. They count as failed for
            this call only if the reservation succeeds.
        """
        if not call.may_run_again:
            return False
        added = set(left) - call.failed_targets
        call.failed_targets |= added
        choice = self._choose(call)
        if choice is None or not self._acquire_retry(call, left):
            call.failed_targets -= added
            return False
        call.reserved_choice = choice
        return True

    def _choose(self, call):
        now = asyncio.get_running_loop().time()
        target_selector = self._context.target_selector
        if call.service.engine is not None:
            return target_selector.choose_chain(call, now, True)
        choice = target_selector.choose_target(call, now)
        if choice is None or choice.head.health.is_suspect(now):
            return None
        return choice

    def _acquire_retry(self, call, left):
        """Take a retry, as for a failure if a target has surely crashed."""
        now = asyncio.get_running_loop().time()
        retry_budget = self._context.retry_budget
        targets = filter(None, map(self._context.fleet.get, left))
        if any(target.health.is_lost(now) for target in targets):
            return retry_budget.try_acquire(call.service.name, now)
        return retry_budget.try_acquire_early(call.service.name, now)
