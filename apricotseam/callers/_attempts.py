"""Further attempts of a request at other targets, the only layer of them."""

import time

import msgspec

from apricotseam.errors import AnswerLostError
from apricotseam.errors import NoTargetError
from apricotseam.web import UnreachableError


class Attempts:
    """Tries a request at one target after the other.

    Parameters
    ----------
    policy : RetryPolicy
        Budget and start of further attempts.
    sleep : callable, optional
        Waits a number of seconds.
    """

    def __init__(self, policy, clock, sleep=time.sleep):
        self._policy = policy
        self._clock = clock
        self._sleep = sleep

    def run(self, demand, deadline, is_idempotent, attempt):
        """Return the result of the first attempt that succeeds.

        A request that is not idempotent is tried again only if nothing of
        it was sent. Once the answer of an attempt was lost, no later
        failure may be told as not run.

        Parameters
        ----------
        demand : Demand
            What the request needs; failed targets are excluded from it.
        deadline : float
            Monotonic time past which no attempt starts.
        is_idempotent : bool
            Whether a lost answer allows another attempt.
        attempt : callable
            ``attempt(demand, tried)`` makes one attempt and appends the
            names of its targets to the list `tried`.

        Raises
        ------
        UnreachableError
            If no attempt was sent.
        AnswerLostError
            If an attempt may have been run.
        """
        pool = (demand.scope, demand.group)
        lost = None
        attempts = 0
        while True:
            attempts += 1
            tried = []
            try:
                result = attempt(demand, tried)
            except UnreachableError as error:
                failure = lost or error
            except AnswerLostError as error:
                lost = failure = error
                if not is_idempotent:
                    raise
            except NoTargetError:
                if lost is not None:
                    raise lost from None
                raise
            else:
                self._policy.succeeded(pool)
                return result
            start = self._policy.next_start(pool, attempts, deadline)
            if start is None:
                raise failure
            self._sleep(max(0.0, start - self._clock.monotonic()))
            demand = msgspec.structs.replace(
                demand, excluded=demand.excluded | frozenset(tried)
            )
