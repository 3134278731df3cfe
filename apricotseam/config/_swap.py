"""Swap of the root with a definite outcome where one can be had."""

from apricotseam.errors import AnswerLostError
from apricotseam.errors import ConflictError
from apricotseam.errors import OutcomeUnknownError
from apricotseam.errors import ServiceUnavailableError


class RootSwap:
    """Swaps one value until the outcome is proved.

    The swap compares the service's version of the root, which never
    comes back, so it can be repeated: at most one of the repeats takes
    effect, also if the first one lands late.

    Parameters
    ----------
    service : KeyValueService
        The platform's key-value service.
    key : str
        Key of the root.
    retry : Retry
        Clock and delays.
    """

    def __init__(self, service, key, retry):
        self._service = service
        self._key = key
        self._retry = retry

    def run(self, version, value, entry, find_winner, deadline):
        """Swap and return the entry that won.

        Parameters
        ----------
        version : int
            The service's version of the base.
        value : bytes
            The new root.
        entry : AuditEntry
            Entry of the change in the new root.
        find_winner : callable
            Returns the entry that took the place of the base, or None if
            the base is still there.
        deadline : float
            Monotonic time past which the outcome is left open.

        Returns
        -------
        AuditEntry
            The given entry, or that of another attempt at the same change.

        Raises
        ------
        ConflictError
            If it is proved that another change won.
        OutcomeUnknownError
            If the outcome cannot be had in time.
        ServiceUnavailableError
            If no attempt was ever taken.
        """
        backoff = self._retry.backoff()
        is_open = False
        while True:
            try:
                if self._service.compare_and_swap(self._key, version, value):
                    return entry
                is_open = True
            except AnswerLostError:
                is_open = True
            except ServiceUnavailableError:
                pass
            won = _try(find_winner) if is_open else None
            if won is not None:
                return _judge(won, entry)
            if not self._retry.wait(backoff, deadline):
                raise _unknown(entry) if is_open else _not_taken(entry)


def _try(find_winner):
    try:
        return find_winner()
    except (AnswerLostError, ServiceUnavailableError):
        return None


def _judge(won, entry):
    """Return the winning entry if it is of the same change."""
    if won.change_id != entry.change_id:
        raise ConflictError(
            f"another change took revision {won.revision}",
            "read it with `apricotseam diff` and apply again",
        )
    return won


def _not_taken(entry):
    return ServiceUnavailableError(
        f"the service did not take change {entry.change_id}",
        "apply it again when the service is back",
        retry_after=5,
    )


def _unknown(entry):
    return OutcomeUnknownError(
        f"the answer to change {entry.change_id} was lost",
        f"run `apricotseam change {entry.change_id}` later",
    )
