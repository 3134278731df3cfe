"""Retries of a request at other targets; no other layer retries."""

import time

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import NoTargetError
from apricotseam.web import UnreachableError


class AttemptRunner:
    """Tries a request at one target after another until one answers.

    Parameters
    ----------
    policy : RetryPolicy
        Decides whether and when the next attempt may start.
    clock : Clock
        Source of time.
    sleep : callable, optional
        Called with the number of seconds to wait.
    """

    def __init__(self, policy, clock, sleep=time.sleep):
        self._policy = policy
        self._clock = clock
        self._sleep = sleep

    def run(self, demand, deadline, is_idempotent, attempt):
        """Return the result of the first attempt that succeeds.

        A request that is not idempotent is retried only if nothing of it
        was sent. Once the answer of an attempt has been lost, the request
        may have run, so no later failure is reported as not run.

        Parameters
        ----------
        demand : Demand
            What the request needs. Targets that have failed are excluded
            from the next attempt.
        deadline : float
            Monotonic time in seconds after which no attempt starts.
        is_idempotent : bool
            Whether the request may be retried after a lost answer.
        attempt : callable
            ``attempt(demand, tried)`` makes one attempt and appends the
            names of its targets to the list `tried`.

        Raises
        ------
        UnreachableError
            If no attempt was sent to a target.
        AnswerLostError
            If an attempt may have been run.
        NoTargetError
            If no target is left and no attempt may have been run.
        """
        pool = (demand.scope, demand.group)
        lost_answer = None
        attempts = 0
        while True:
            attempts += 1
            tried = []
            try:
                result = attempt(demand, tried)
            except UnreachableError as error:
                last_error = lost_answer or error
            except AnswerLostError as error:
                lost_answer = last_error = error
                if not is_idempotent:
                    raise
            except NoTargetError:
                if lost_answer is not None:
                    raise lost_answer from None
                raise
            else:
                self._policy.succeeded(pool)
                return result
            start_at = self._policy.next_attempt_time(pool, attempts, deadline)
            if start_at is None:
                raise last_error
            self._sleep(max(0.0, start_at - self._clock.monotonic()))
            demand = msgspec.structs.replace(
                demand, excluded=demand.excluded | frozenset(tried)
            )
